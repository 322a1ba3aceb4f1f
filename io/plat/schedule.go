package plat

import (
	"context"
	"errors"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/order"
)

// Schedule stores an edit that AcceptDue submits at its release time. If the time
// is in the past, the next call of AcceptDue submits it. Scheduling the same edit
// again is not an error and does not change the release time.
func (s *Submitter) Schedule(ctx context.Context, e order.Edit, at clock.Millis) error {
	if !order.ValidEditID(e.ID) {
		return notRun("edit id is malformed", nil)
	}
	if err := e.Configuration.Validate(); err != nil {
		return notRun("edit is invalid", err)
	}
	if err := s.Store.PutObject(ctx, order.EditKey(e.ID), order.EncodeEdit(e)); err != nil {
		return err
	}
	edit := order.EditRow{State: order.Scheduled, Base: e.Base, Operator: e.Operator}
	if err := s.create(ctx, order.EditKey(e.ID), order.EncodeEditRow(edit)); err != nil {
		return err
	}
	row := order.ScheduleRow{ReleaseMillis: at, Object: order.EditKey(e.ID), Base: e.Base}
	return s.create(ctx, order.ScheduleKey(e.ID), order.EncodeSchedule(row))
}

// create writes a row if it is absent, and leaves an existing row unchanged.
func (s *Submitter) create(ctx context.Context, key string, value []byte) error {
	_, err := s.Store.WriteRow(ctx, key, value, 0)
	if errors.Is(err, ErrConflict) {
		return nil
	}
	return err
}

// Reschedule changes the release time of an edit that has not been accepted or
// refused yet.
func (s *Submitter) Reschedule(ctx context.Context, id ident.EditID, at clock.Millis) error {
	row, err := s.Store.ReadRow(ctx, order.ScheduleKey(id))
	if err != nil {
		return err
	}
	if row.Revision == 0 {
		return notRun("edit is not scheduled", errNotScheduled)
	}
	p, err := order.DecodePending(row.Key, row.Value, row.Revision)
	if err != nil {
		return notRun("row is malformed", err)
	}
	p.ReleaseMillis = at
	_, err = s.Store.WriteRow(ctx, row.Key, order.EncodeSchedule(p.ScheduleRow), row.Revision)
	return err
}

// AcceptDue submits the scheduled edits whose release time has been reached, in the
// order of time and edit id. It stops at the first edit whose outcome is unknown,
// so that no later edit is accepted before it, and returns the outcomes so far with
// the error. Malformed rows are skipped and reported in the error.
func (s *Submitter) AcceptDue(ctx context.Context) ([]Outcome, error) {
	pending, listErr := ReadSchedule(ctx, s.Store)
	var outcomes []Outcome
	for _, p := range order.Due(s.Clock.Now(), pending) {
		o, err := s.acceptPending(ctx, p)
		if err != nil {
			return outcomes, err
		}
		outcomes = append(outcomes, o)
	}
	return outcomes, listErr
}

// acceptPending submits one scheduled edit and removes its row. If the removal
// fails, the next call finds the recorded outcome and removes the row.
func (s *Submitter) acceptPending(ctx context.Context, p order.Pending) (Outcome, error) {
	m, err := s.readPending(ctx, p)
	if err != nil {
		return Outcome{}, err
	}
	o, err := s.run(ctx, m)
	if err != nil {
		return Outcome{}, err
	}
	_, _ = s.Store.WriteRow(ctx, order.ScheduleKey(p.EditID), nil, p.Revision) // a failure does not change the outcome
	return o, nil
}

// readPending returns the submission of a scheduled edit. The submission refuses
// the edit if its object is missing or does not match the row.
func (s *Submitter) readPending(ctx context.Context, p order.Pending) (*order.Submission, error) {
	body, err := s.Store.GetObject(ctx, p.Object)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return nil, err
	}
	var e order.Edit
	if err == nil {
		e, err = order.DecodeEdit(body)
	}
	if err == nil && (e.ID != p.EditID || e.Base != p.Base) {
		err = errMismatch
	}
	if err != nil {
		edit := order.Edit{ID: p.EditID, Base: p.Base}
		return &order.Submission{Edit: edit, InvalidReason: "the scheduled edit is unreadable: " + err.Error()}, nil
	}
	return &order.Submission{Edit: e}, nil
}
