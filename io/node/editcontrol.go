package node

import (
	"context"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/order"
	"hickoryrail/io/admin"
	"hickoryrail/io/plat"
)

// editControl implements admin.EditControl with the release store of the platform.
type editControl struct {
	clock     clock.Clock
	store     plat.Store
	submitter *plat.Submitter
	// onAccepted is called with the head that an accepted edit wrote, so that the fleet
	// learns of it before the reader's next poll.
	onAccepted func(order.Head)
}

// Submit accepts, schedules, refuses or dry-runs an edit.
func (e *editControl) Submit(ctx context.Context, edit admin.Edit) (admin.Outcome, error) {
	proposal := order.Edit{ID: edit.EditID, Base: edit.Base, Operator: edit.Operator, Configuration: edit.Configuration}
	if err := edit.Configuration.Validate(); err != nil {
		return admin.Outcome{}, err
	}
	if edit.DryRun {
		out, err := e.submitter.Plan(ctx, proposal)
		return outcomeOf(out, admin.Valid), err
	}
	if edit.ReleaseMillis > e.clock.Now() {
		if err := e.submitter.Schedule(ctx, proposal, edit.ReleaseMillis); err != nil {
			return admin.Outcome{}, err
		}
		return admin.Outcome{EditID: edit.EditID, State: admin.Scheduled, ReleaseMillis: edit.ReleaseMillis}, nil
	}
	out, err := e.submitter.Submit(ctx, proposal)
	if err == nil && out.Head.Version > 0 {
		e.onAccepted(out.Head)
	}
	return outcomeOf(out, admin.Accepted), err
}

// outcomeOf converts an outcome of the submitter. The state is success unless the edit
// was refused.
func outcomeOf(o plat.Outcome, success admin.State) admin.Outcome {
	state := success
	if o.State == order.Refused {
		state = admin.Refused
	}
	return admin.Outcome{
		EditID: o.EditID, State: state, Version: o.Version,
		Reason: o.Reason, Clashes: o.Clashes, Changes: o.Changes,
	}
}

// History returns at most limit releases, newest first.
func (e *editControl) History(ctx context.Context, limit int) ([]admin.HistoryEntry, error) {
	rows, err := plat.ReadHistory(ctx, e.store, limit)
	if err != nil {
		return nil, err
	}
	out := make([]admin.HistoryEntry, len(rows))
	for i, r := range rows {
		out[i] = admin.HistoryEntry{
			Version: r.Version, EditID: r.EditID, Digest: r.Digest,
			Operator: r.Operator, AcceptedMillis: r.AcceptedMillis,
		}
	}
	return out, nil
}

// Configuration returns the newest release with strong consistency, or a release of
// version 0 if there is none.
func (e *editControl) Configuration(ctx context.Context) (model.Release, error) {
	head, revision, err := plat.ReadHead(ctx, e.store)
	if err != nil || revision == ident.Revision(0) {
		return model.Release{}, err
	}
	return plat.ReadRelease(ctx, e.store, order.HistoryOf(head))
}
