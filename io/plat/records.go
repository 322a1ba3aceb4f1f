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
	// ErrBadRelease reports a stored release that is not whole and valid or not
	// the one that its row names.
	ErrBadRelease = errors.New("stored release is refused")
	// errMismatch reports an object that is not the one its row names.
	errMismatch = errors.New("object is not the one that its row names")
)

// ReadHead is a strong read of the row Head. Without any release it returns the
// zero Head and revision 0.
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
			h, ok = order.HistoryOf(head), true // not recorded yet
		}
		if !ok {
			return nil, notRun("history row is missing", fmt.Errorf("version %d", v))
		}
		list = append(list, h)
	}
	return list, nil
}

// readHistoryRow returns the history row of a version and whether it exists.
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

// ReadRelease returns the release that h names; order.HistoryOf makes h from a
// Head. The edit id comes from h, because two edits that lead to the same
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
		return model.Release{}, notRun("release is malformed", errors.Join(ErrBadRelease, err))
	}
	r.EditID = h.EditID
	return r, nil
}

// ReadVersion returns the release with version v, or ErrNotFound.
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
// accepted. Malformed rows are left out and reported in the error, so that one
// of them does not hold up the others.
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

// replyOf returns the reply that an error of a Store stands for.
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
