package plat

import (
	"context"
	"errors"
	"fmt"

	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/order"
	"hickoryrail/core/result"
)

var (
	// ErrInvalidRelease reports a stored release that is incomplete, invalid or not
	// the one that its row refers to.
	ErrInvalidRelease = errors.New("stored release is invalid")
	// errMismatch reports a row or an object whose content does not match the key or
	// the row that refers to it.
	errMismatch = errors.New("object is not the one that its row names")
)

// ReadHead makes a strongly consistent read of the row Head. If there is no release
// yet, it returns the zero Head and revision 0.
func ReadHead(ctx context.Context, s Store) (order.Head, ident.Revision, error) {
	row, err := s.ReadRow(ctx, order.HeadKey)
	if err != nil || row.Revision == 0 {
		return order.Head{}, 0, err
	}
	h, err := order.DecodeHead(row.Value)
	if err != nil {
		return order.Head{}, 0, notRun("row is malformed", err)
	}
	return h, row.Revision, nil
}

// ReadHistory returns up to n releases, newest first.
func ReadHistory(ctx context.Context, s Store, n int) ([]order.History, error) {
	head, revision, err := ReadHead(ctx, s)
	if err != nil || revision == 0 {
		return nil, err
	}
	var list []order.History
	for v := head.Version; v > 0 && len(list) < n; v-- {
		h, ok, err := readHistoryRow(ctx, s, v)
		if err != nil {
			return nil, err
		}
		if !ok && v == head.Version {
			h, ok = order.HistoryOf(head), true // the newest release may not be in the history yet
		}
		if !ok {
			return nil, notRun("history row is missing", fmt.Errorf("version %d", v))
		}
		list = append(list, h)
	}
	return list, nil
}

// readHistoryRow returns the history row of version v and whether it exists.
func readHistoryRow(ctx context.Context, s Store, v ident.Version) (order.History, bool, error) {
	row, err := s.ReadRow(ctx, order.HistoryKey(v))
	if err != nil || row.Revision == 0 {
		return order.History{}, false, err
	}
	h, err := order.DecodeHistory(row.Value)
	if err == nil && h.Version != v {
		err = errMismatch
	}
	if err != nil {
		return order.History{}, false, notRun("row is malformed", err)
	}
	return h, true, nil
}

// ReadRelease returns the release that h refers to; order.HistoryOf converts a Head
// to h. The edit id comes from h, because two edits that result in the same
// configuration share one object.
func ReadRelease(ctx context.Context, s Store, h order.History) (model.Release, error) {
	body, err := s.GetObject(ctx, h.Object)
	if err != nil {
		return model.Release{}, err
	}
	r, err := model.DecodeRelease(body)
	if err == nil && (r.Version != h.Version || r.Digest != h.Digest) {
		err = errMismatch
	}
	if err != nil {
		return model.Release{}, notRun("release is malformed", errors.Join(ErrInvalidRelease, err))
	}
	r.EditID = h.EditID
	return r, nil
}

// ReadVersion returns the release with version v, or ErrNotFound if it does not
// exist.
func ReadVersion(ctx context.Context, s Store, v ident.Version) (model.Release, error) {
	h, ok, err := readHistoryRow(ctx, s, v)
	if err != nil {
		return model.Release{}, err
	}
	if !ok {
		head, _, err := ReadHead(ctx, s)
		if err != nil {
			return model.Release{}, err
		}
		if head.Version != v || v == 0 {
			return model.Release{}, notRun("release does not exist", ErrNotFound)
		}
		h = order.HistoryOf(head)
	}
	return ReadRelease(ctx, s, h)
}

// ReadEdit returns the row of an edit; revision 0 means that there is none.
func ReadEdit(ctx context.Context, s Store, id ident.EditID) (order.EditRow, ident.Revision, error) {
	row, err := s.ReadRow(ctx, order.EditKey(id))
	if err != nil || row.Revision == 0 {
		return order.EditRow{}, 0, err
	}
	e, err := order.DecodeEditRow(row.Value)
	if err != nil {
		return order.EditRow{}, 0, notRun("row is malformed", err)
	}
	return e, row.Revision, nil
}

// ReadSchedule returns the scheduled edits in the order in which they will be
// accepted. It skips malformed rows and reports them in the error, so that they do
// not block the valid ones.
func ReadSchedule(ctx context.Context, s Store) ([]order.Pending, error) {
	rows, err := s.ListRows(ctx, order.SchedulePrefix)
	if err != nil {
		return nil, err
	}
	var list []order.Pending
	var faults []error
	for _, row := range rows {
		p, err := order.DecodePending(row.Key, row.Value, row.Revision)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		list = append(list, p)
	}
	order.SortPending(list)
	if len(faults) > 0 {
		return list, notRun("schedule row is malformed", errors.Join(faults...))
	}
	return list, nil
}

// replyOf converts an error of a Store to an order.Reply.
func replyOf(err error) order.Reply {
	switch {
	case err == nil:
		return order.OK
	case errors.Is(err, ErrConflict):
		return order.Conflict
	case errors.Is(err, ErrNotFound):
		return order.Missing
	case result.Of(err) == result.NotRun:
		return order.Failed
	}
	return order.Unknown
}
