// Package stub provides an in-memory stub of the platform's table service and object
// store, with fault injection, for tests, demonstrations and benchmarks.
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
	// Faults are the faults that a Table injects until SetFaults replaces them.
	Faults struct {
		// Down makes every call fail without effect.
		Down bool
		// SlowMillis delays every call before it takes effect.
		SlowMillis clock.Millis
		// LoseAnswers is the number of future writes that take effect but whose
		// responses are lost.
		LoseAnswers int
		// LoseRequests is the number of future writes that are lost without
		// effect; the caller cannot distinguish them from lost responses. They
		// precede the writes of LoseAnswers.
		LoseRequests int
	}

	// Counts are the numbers of calls that a Table has executed, by kind. Calls that
	// failed because of Down or LoseRequests are not included.
	Counts struct {
		RowReads, RowLists, RowWrites, RowConflicts uint64
		ObjectReads, ObjectWrites                   uint64
	}

	// Table is an in-memory plat.Store. It is safe for concurrent use, and the
	// zero value is an empty store.
	Table struct {
		// Before, unless nil, is called before each call with the name of its method
		// and the key, prefix or object name. It may call the table itself, so that
		// a test can pause one caller at any call while others continue. Set it
		// before the first call or while no call is in progress.
		Before func(method, name string)

		mu     sync.Mutex
		faults Faults
		counts Counts
		// revision is the last assigned revision. All rows share it, so that a row
		// that is deleted and written again gets a revision that it never had before.
		revision ident.Revision
		rows     map[string]plat.Row
		objects  map[string][]byte
	}
)

var (
	// errDown is the cause of errors while the table is down.
	errDown = errors.New("table is down")
	// errLost is the cause of errors for a lost response or request.
	errLost = errors.New("connection closed before the response")
)

var _ plat.Store = (*Table)(nil)

// SetFaults replaces all faults.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults returns the current faults.
func (t *Table) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// SetDown sets Faults.Down and keeps the other faults.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults.Down = down
}

// SetSlow sets Faults.SlowMillis and keeps the other faults.
func (t *Table) SetSlow(delay clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults.SlowMillis = delay
}

// LoseAnswers sets Faults.LoseAnswers and keeps the other faults.
func (t *Table) LoseAnswers(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults.LoseAnswers = n
}

// LoseRequests sets Faults.LoseRequests and keeps the other faults.
func (t *Table) LoseRequests(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults.LoseRequests = n
}

// Counts returns the numbers of calls so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// ReadRow makes a strongly consistent read of one row.
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

// WriteRow writes or deletes a row on condition that it has revision ifRevision.
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

// PutObject stores an object and replaces an existing one of the same name.
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

// GetObject returns an object, or plat.ErrNotFound if it does not exist.
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

// before calls Before unless it is nil.
func (t *Table) before(method, name string) {
	if t.Before != nil {
		t.Before(method, name)
	}
}

// read runs f under the lock after the delay. It returns an error instead if the table
// is down or ctx ends first.
func (t *Table) read(ctx context.Context, f func() error) error {
	if !t.delay(ctx) {
		return result.NewError(result.NotRun, "platform read timed out", ctx.Err())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.Down {
		return result.NewError(result.NotRun, "platform is down", errDown)
	}
	return f()
}

// write runs f under the lock after the delay. A write whose caller has given up still
// takes effect, as it would on a slow platform.
func (t *Table) write(ctx context.Context, f func() error) error {
	inTime := t.delay(ctx)
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
	if !inTime {
		return result.NewError(result.MayHaveRun, "platform write timed out", ctx.Err())
	}
	if t.faults.LoseAnswers > 0 {
		t.faults.LoseAnswers--
		return result.NewError(result.MayHaveRun, "platform did not answer", errLost)
	}
	return err
}

// delay waits for SlowMillis. It reports whether the delay passed before ctx ended.
func (t *Table) delay(ctx context.Context) bool {
	d := t.Faults().SlowMillis
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
