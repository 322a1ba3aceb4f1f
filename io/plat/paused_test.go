package plat_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/order"
	"hickoryrail/io/plat"
	"hickoryrail/io/stub"
)

// pausing is the store of a process that is paused before its nth call.
type pausing struct {
	plat.Store
	// calls counts down to the pause.
	calls int
	// meanwhile is what the others do during the pause.
	meanwhile func()
}

// pause runs meanwhile before the nth call.
func (p *pausing) pause() {
	if p.calls--; p.calls == 0 {
		p.meanwhile()
	}
}

// ReadRow reads a row.
func (p *pausing) ReadRow(ctx context.Context, key string) (plat.Row, error) {
	p.pause()
	return p.Store.ReadRow(ctx, key)
}

// WriteRow writes a row.
func (p *pausing) WriteRow(ctx context.Context, key string, value []byte, ifRevision ident.Revision) (plat.Row, error) {
	p.pause()
	return p.Store.WriteRow(ctx, key, value, ifRevision)
}

// PutObject stores an object.
func (p *pausing) PutObject(ctx context.Context, name string, body []byte) error {
	p.pause()
	return p.Store.PutObject(ctx, name, body)
}

// GetObject returns an object.
func (p *pausing) GetObject(ctx context.Context, name string) ([]byte, error) {
	p.pause()
	return p.Store.GetObject(ctx, name)
}

// TestPausedAcceptor guards against harm by a lease holder that is paused at any
// call of AcceptDue and acts on after another node has taken over: an edit that
// is accepted twice, an order that is not (time, edit id), or a release that
// replaces a newer one.
func TestPausedAcceptor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		ctx := context.Background()
		table := &stub.Table{}
		now := clock.NewManual(100)
		successor := submitter(table, now)
		_, err := successor.Submit(ctx, order.Edit{ID: "base", Configuration: services(1, 1, 1)})
		is.NoErr(err)
		is.NoErr(successor.Schedule(ctx, order.Edit{ID: "a", Base: 1, Configuration: services(2, 1, 1)}, 10))
		is.NoErr(successor.Schedule(ctx, order.Edit{ID: "b", Base: 1, Configuration: services(1, 2, 1)}, 20))
		is.NoErr(successor.Schedule(ctx, order.Edit{ID: "clash", Base: 1, Configuration: services(9, 1, 1)}, 30))

		direct := rapid.Bool().Draw(t, "direct")
		store := &pausing{Store: table, calls: rapid.IntRange(1, 60).Draw(t, "call")}
		store.meanwhile = func() {
			_, err := successor.AcceptDue(ctx)
			is.NoErr(err)
			if direct {
				_, err = successor.Submit(ctx, order.Edit{ID: "d", Base: 1, Configuration: services(1, 1, 3)})
				is.NoErr(err)
			}
		}
		outcomes, err := submitter(store, now).AcceptDue(ctx)
		is.NoErr(err)
		if store.calls > 0 {
			direct = false // the pause came after the last call
		}

		want := []ident.EditID{"base", "a", "b"}
		configuration := services(2, 2, 1)
		if direct {
			want, configuration = append(want, "d"), services(2, 2, 3)
		}
		history, err := plat.ReadHistory(ctx, table, 10)
		is.NoErr(err)
		is.Equal(len(history), len(want))
		for i, id := range want {
			is.Equal(history[len(want)-1-i].EditID, id)
		}
		is.Equal(history[0].Digest, configuration.Digest())
		for _, o := range outcomes {
			is.Equal(o.State == order.Refused, o.EditID == "clash") // it tells what is true
		}
		rows, err := plat.ReadSchedule(ctx, table)
		is.NoErr(err)
		is.Equal(len(rows), 0)
	})
}
