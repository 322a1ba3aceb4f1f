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
	// Submitter brings edits to acceptance or refusal against a Store. It is
	// safe for concurrent use, also by several processes on one store.
	Submitter struct {
		Store Store
		Clock clock.Clock
		// Seed spreads retries; it differs between processes.
		Seed uint64
		// Sleep waits for a duration or until ctx ends; nil is a timer.
		Sleep func(ctx context.Context, d clock.Millis) error
	}

	// Outcome is the end of a submission or of a dry run.
	Outcome struct {
		EditID ident.EditID
		// State is order.Released, order.Refused or, for a dry run that would be
		// accepted, empty.
		State order.State
		// Version is that of the release, or the one that a dry run would get.
		Version ident.Version
		// Head is the row after the acceptance; its Version is 0 if a later
		// release is known already.
		Head order.Head
		// Release is what was accepted or planned; its Version is 0 if the edit
		// had been accepted before this submission.
		Release model.Release
		// Changes are the fields that Release changes in its predecessor.
		Changes []model.Change
		// Clashes are the fields for which the edit was refused.
		Clashes []string
		// Reason says why the edit was refused.
		Reason string
	}
)

// errUnscheduled reports an edit that is not scheduled, or no longer.
var errUnscheduled = errors.New("edit is not scheduled")

// Submit brings an edit to acceptance or refusal. An error has the verdict NotRun
// if the edit was surely not accepted, and MayHaveRun if it may be accepted
// still; submitting it again with the same id then tells the outcome.
func (s *Submitter) Submit(ctx context.Context, e order.Edit) (Outcome, error) {
	return s.run(ctx, &order.Submission{Edit: e})
}

// Plan returns what Submit would do at this moment, and writes nothing.
func (s *Submitter) Plan(ctx context.Context, e order.Edit) (Outcome, error) {
	return s.run(ctx, &order.Submission{Edit: e, DryRun: true})
}

// run answers each action of the submission until it ends.
func (s *Submitter) run(ctx context.Context, m *order.Submission) (Outcome, error) {
	m.Rand = rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(string(m.Edit.ID))))
	var last error
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
			return Outcome{}, result.NewError(a.Verdict, "submission gave up", last)
		}
		if a, err = s.step(ctx, m, a); err != nil {
			last = err
		}
	}
}

// step carries out one action against the store and returns the next one, with
// the error of the store if there was one.
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
	panic("plat: submission asks for an unknown action")
}

// readRelease reads the release of the newest or of an earlier version.
func (s *Submitter) readRelease(ctx context.Context, a order.Action) (model.Release, error) {
	if a.Head.Version == a.Version {
		return ReadRelease(ctx, s.Store, order.HistoryOf(a.Head))
	}
	return ReadVersion(ctx, s.Store, a.Version)
}

// recordAccepted writes the rows of an own release. A failure does no harm: the
// submitter of the next release writes them before its own acceptance.
func (s *Submitter) recordAccepted(ctx context.Context, e order.Edit, a order.Action) {
	if a.Head.Version != a.Version || a.Version == 0 {
		return
	}
	h := order.HistoryOf(a.Head)
	h.Operator, h.AcceptedMillis = e.Operator, s.Clock.Now()
	row := order.EditRow{State: order.Released, Version: a.Version, Base: e.Base, Operator: e.Operator}
	_ = s.recordHead(ctx, h, row)
}

// recordHead writes the history row and the edit row of a release unless they
// exist. An acceptance replaces any other state in the edit row.
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
		return nil // recorded already
	}
	return err
}

// outcomeOf returns the outcome that the last action of a submission stands for.
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
