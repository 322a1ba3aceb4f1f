package plat

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/order"
	"hickoryrail/core/result"
)

type (
	// Submitter submits edits to a Store until each is accepted or refused. It is
	// safe for concurrent use, and several processes may use one store.
	Submitter struct {
		Store Store
		Clock clock.Clock
		// Seed is the seed of the retry jitter; it must differ between processes.
		Seed uint64
		// Sleep waits for a duration or until ctx ends; nil means a timer.
		Sleep func(ctx context.Context, d clock.Millis) error
	}

	// Outcome is the result of a submission or of a dry run.
	Outcome struct {
		EditID ident.EditID
		// State is order.Released, order.Refused or, for a dry run that would be
		// accepted, empty.
		State order.State
		// Version is that of the release; for a dry run, that of the release it
		// would create.
		Version ident.Version
		// Head is the row Head after the acceptance; its Version is 0 if a later
		// release is already known.
		Head order.Head
		// Release is the accepted or planned release; its Version is 0 if the edit
		// was accepted before this submission.
		Release model.Release
		// Changes are the fields that differ between Release and its predecessor.
		Changes []model.Change
		// Clashes are the conflicting fields because of which the edit was refused.
		Clashes []string
		// Reason is why the edit was refused.
		Reason string
	}
)

// errNotScheduled reports an edit without a schedule row: it was never scheduled, or
// it has been accepted or refused.
var errNotScheduled = errors.New("edit is not scheduled")

// Submit submits an edit until it is accepted or refused. An error has the verdict
// NotRun if the edit was certainly not accepted, and MayHaveRun if it may still be
// accepted; another submission with the same id then returns the outcome.
func (s *Submitter) Submit(ctx context.Context, e order.Edit) (Outcome, error) {
	return s.run(ctx, &order.Submission{Edit: e})
}

// Plan returns the outcome that Submit would have now, and writes nothing.
func (s *Submitter) Plan(ctx context.Context, e order.Edit) (Outcome, error) {
	return s.run(ctx, &order.Submission{Edit: e, DryRun: true})
}

// run carries out the actions of the submission until it ends.
func (s *Submitter) run(ctx context.Context, m *order.Submission) (Outcome, error) {
	m.Rand = rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(string(m.Edit.ID))))
	var lastErr error
	a := m.Begin(s.Clock.Now())
	for {
		var err error
		switch a.Kind {
		case order.Wait:
			err = s.sleep(ctx, a.Until-s.Clock.Now())
			if err != nil {
				return Outcome{}, result.NewError(m.Verdict(), "submission was abandoned", err)
			}
			a = m.Tick(s.Clock.Now())
			continue
		case order.Accept:
			s.recordAccepted(ctx, m.Edit, a)
			return outcomeOf(m.Edit.ID, order.Released, a), nil
		case order.Refuse:
			return outcomeOf(m.Edit.ID, order.Refused, a), nil
		case order.Plan:
			return outcomeOf(m.Edit.ID, "", a), nil
		case order.GiveUp:
			return Outcome{}, result.NewError(a.Verdict, "submission gave up", lastErr)
		}
		if a, err = s.step(ctx, m, a); err != nil {
			lastErr = err
		}
	}
}

// step makes one action's call to the store. It returns the next action and the
// error of the call.
func (s *Submitter) step(ctx context.Context, m *order.Submission, a order.Action) (order.Action, error) {
	switch a.Kind {
	case order.ReadHead:
		h, revision, err := ReadHead(ctx, s.Store)
		return m.HeadRead(s.Clock.Now(), replyOf(err), h, revision), err
	case order.ReadEdit:
		row, revision, err := ReadEdit(ctx, s.Store, m.Edit.ID)
		return m.EditRead(s.Clock.Now(), replyOf(err), row, revision), err
	case order.ReadRelease:
		r, err := s.readRelease(ctx, a)
		return m.ReleaseRead(s.Clock.Now(), replyOf(err), r), err
	case order.PutObject:
		err := s.Store.PutObject(ctx, a.Object, model.EncodeRelease(a.Release))
		return m.ObjectWritten(s.Clock.Now(), replyOf(err)), err
	case order.RecordHead:
		err := s.recordHead(ctx, order.HistoryOf(a.Head), order.EditRow{State: order.Released, Version: a.Head.Version})
		return m.HeadRecorded(s.Clock.Now(), replyOf(err)), err
	case order.WriteHead:
		_, err := s.Store.WriteRow(ctx, order.HeadKey, order.EncodeHead(a.Head), a.Revision)
		return m.HeadWritten(s.Clock.Now(), replyOf(err)), err
	case order.FenceHead:
		_, err := s.Store.WriteRow(ctx, order.HeadKey, order.EncodeHead(a.Head), a.Revision)
		return m.HeadFenced(s.Clock.Now(), replyOf(err)), err
	case order.RecordRefusal:
		_, err := s.Store.WriteRow(ctx, order.EditKey(m.Edit.ID), order.EncodeEditRow(a.Row), a.Revision)
		return m.RefusalRecorded(s.Clock.Now(), replyOf(err)), err
	}
	panic("plat: submission requested an unknown action")
}

// readRelease reads the release with version a.Version, the newest or an earlier
// one.
func (s *Submitter) readRelease(ctx context.Context, a order.Action) (model.Release, error) {
	if a.Head.Version == a.Version {
		return ReadRelease(ctx, s.Store, order.HistoryOf(a.Head))
	}
	return ReadVersion(ctx, s.Store, a.Version)
}

// recordAccepted writes the edit and history rows of a release of this submission.
// Errors are ignored, because the submitter of the next release writes missing rows
// before it writes Head.
func (s *Submitter) recordAccepted(ctx context.Context, e order.Edit, a order.Action) {
	if a.Head.Version != a.Version || a.Version == 0 {
		return
	}
	h := order.HistoryOf(a.Head)
	h.Operator, h.AcceptedMillis = e.Operator, s.Clock.Now()
	row := order.EditRow{State: order.Released, Version: a.Version, Base: e.Base, Operator: e.Operator}
	_ = s.recordHead(ctx, h, row)
}

// recordHead writes the edit row and the history row of a release unless they
// exist. The state Released replaces any other state in the edit row.
func (s *Submitter) recordHead(ctx context.Context, h order.History, row order.EditRow) error {
	old, revision, err := ReadEdit(ctx, s.Store, h.EditID)
	if err != nil {
		return err
	}
	if old.State != order.Released {
		if revision > 0 && row.Operator == "" {
			row.Base, row.Operator = old.Base, old.Operator
		}
		if _, err := s.Store.WriteRow(ctx, order.EditKey(h.EditID), order.EncodeEditRow(row), revision); err != nil {
			return err
		}
	}
	_, err = s.Store.WriteRow(ctx, order.HistoryKey(h.Version), order.EncodeHistory(h), 0)
	if errors.Is(err, ErrConflict) {
		return nil // already recorded
	}
	return err
}

// outcomeOf converts the last action of a submission to an outcome.
func outcomeOf(id ident.EditID, state order.State, a order.Action) Outcome {
	return Outcome{
		EditID: id, State: state, Version: a.Version, Head: a.Head, Release: a.Release,
		Changes: a.Changes, Clashes: a.Row.Clashes, Reason: a.Row.Reason,
	}
}

// sleep waits for d or until ctx ends.
func (s *Submitter) sleep(ctx context.Context, d clock.Millis) error {
	if s.Sleep != nil {
		return s.Sleep(ctx, d)
	}
	timer := time.NewTimer(max(d, 0).Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
