// Package stub provides a stand-in for the platform's table service and object
// store, for tests, demonstrations and measurements. It keeps everything in
// memory and can be told to fail.
package stub

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/result"
	"hickoryrail/io/plat"
)

type (
	// Faults are the failures that a Table shows until they are changed.
	Faults struct {
		// Down refuses every call without effect.
		Down bool
		// SlowMillis delays every call before it takes effect.
		SlowMillis clock.Millis
		// LoseAnswers is the number of coming writes that take effect and whose
		// answers are lost.
		LoseAnswers int
		// LoseRequests is the number of coming writes that are lost without
		// effect; the caller cannot tell them from lost answers. They come
		// before LoseAnswers.
		LoseRequests int
	}

	// Counts are the calls that reached a Table and were not refused by Down.
	Counts struct {
		RowReads, RowLists, RowWrites, RowConflicts uint64
		ObjectReads, ObjectWrites                   uint64
	}

	// Table is an in-memory plat.Store. It is safe for concurrent use, and the
	// zero value is empty and ready.
	Table struct {
		// Before, if set, is called before each call with the name of its method
		// and the key, prefix or object name. It may call the table itself, so a
		// test can let others act while a caller is paused at any point. It is set
		// before the first call.
		Before func(method, name string)

		mu     sync.Mutex
		faults Faults
		counts Counts
		// revision is the last one given out. It is shared by all rows, so a row
		// that is deleted and written again gets a revision it never had.
		revision ident.Revision
		rows     map[string]plat.Row
		objects  map[string][]byte
	}
)

var (
	// errDown is the cause of refusals while the table is down.
	errDown = errors.New("table is down")
	// errLost is the cause of a lost answer or request.
	errLost = errors.New("connection closed before the answer")
)

var _ plat.Store = (*Table)(nil)

// SetFaults replaces all faults.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults returns the faults in force.
func (t *Table) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// SetDown switches the outage on or off and keeps the other faults.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults.Down = down
}

// SetSlow sets the delay of every call and keeps the other faults.
func (t *Table) SetSlow(delay clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults.SlowMillis = delay
}

// LoseAnswers makes the next n writes take effect and lose their answers.
func (t *Table) LoseAnswers(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults.LoseAnswers = n
}

// LoseRequests loses the next n writes before they take effect.
func (t *Table) LoseRequests(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults.LoseRequests = n
}

// Counts returns the calls so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// ReadRow returns the row; every read is strong.
func (t *Table) ReadRow(ctx context.Context, key string) (plat.Row, error) {
	t.before("ReadRow", key)
	var row plat.Row
	err := t.read(ctx, func() error {
		t.counts.RowReads++
		row = t.rows[key]
		row.Key, row.Value = key, slices.Clone(row.Value)
		return nil
	})
	return row, err
}

// ListRows returns the rows whose keys start with prefix, in order of key.
func (t *Table) ListRows(ctx context.Context, prefix string) ([]plat.Row, error) {
	t.before("ListRows", prefix)
	var rows []plat.Row
	err := t.read(ctx, func() error {
		t.counts.RowLists++
		for key, row := range t.rows {
			if strings.HasPrefix(key, prefix) {
				row.Value = slices.Clone(row.Value)
				rows = append(rows, row)
			}
		}
		return nil
	})
	slices.SortFunc(rows, func(a, b plat.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows, err
}

// WriteRow writes or deletes the row if it has revision ifRevision.
func (t *Table) WriteRow(ctx context.Context, key string, value []byte, ifRevision ident.Revision) (plat.Row, error) {
	t.before("WriteRow", key)
	row := plat.Row{Key: key, Value: slices.Clone(value)}
	err := t.write(ctx, func() error {
		t.counts.RowWrites++
		if t.rows[key].Revision != ifRevision {
			t.counts.RowConflicts++
			return result.NewError(result.NotRun, "row has another revision", plat.ErrConflict)
		}
		if value == nil {
			delete(t.rows, key)
			return nil
		}
		if t.rows == nil {
			t.rows = make(map[string]plat.Row)
		}
		t.revision++
		row.Revision = t.revision
		t.rows[key] = row
		return nil
	})
	if err != nil {
		return plat.Row{}, err
	}
	row.Value = slices.Clone(value)
	return row, nil
}

// PutObject stores an object.
func (t *Table) PutObject(ctx context.Context, name string, body []byte) error {
	t.before("PutObject", name)
	return t.write(ctx, func() error {
		t.counts.ObjectWrites++
		if t.objects == nil {
			t.objects = make(map[string][]byte)
		}
		t.objects[name] = slices.Clone(body)
		return nil
	})
}

// GetObject returns an object or plat.ErrNotFound.
func (t *Table) GetObject(ctx context.Context, name string) ([]byte, error) {
	t.before("GetObject", name)
	var body []byte
	err := t.read(ctx, func() error {
		t.counts.ObjectReads++
		stored, ok := t.objects[name]
		if !ok {
			return result.NewError(result.NotRun, "object does not exist", plat.ErrNotFound)
		}
		body = slices.Clone(stored)
		return nil
	})
	return body, err
}

// before calls Before.
func (t *Table) before(method, name string) {
	if t.Before != nil {
		t.Before(method, name)
	}
}

// read runs a read under the lock, unless a fault or the end of ctx prevents it.
func (t *Table) read(ctx context.Context, f func() error) error {
	if !t.wait(ctx) {
		return result.NewError(result.NotRun, "platform read timed out", ctx.Err())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.Down {
		return result.NewError(result.NotRun, "platform is down", errDown)
	}
	return f()
}

// write runs a write under the lock. A write whose caller has given up still
// takes effect, as it would at a slow platform.
func (t *Table) write(ctx context.Context, f func() error) error {
	waited := t.wait(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.Down {
		return result.NewError(result.NotRun, "platform is down", errDown)
	}
	if t.faults.LoseRequests > 0 {
		t.faults.LoseRequests--
		return result.NewError(result.MayHaveRun, "platform did not answer", errLost)
	}
	err := f()
	if !waited {
		return result.NewError(result.MayHaveRun, "platform write timed out", ctx.Err())
	}
	if t.faults.LoseAnswers > 0 {
		t.faults.LoseAnswers--
		return result.NewError(result.MayHaveRun, "platform did not answer", errLost)
	}
	return err
}

// wait delays a call by SlowMillis and reports whether ctx outlived the delay.
func (t *Table) wait(ctx context.Context) bool {
	delay := t.Faults().SlowMillis
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
