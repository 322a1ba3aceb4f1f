package plat_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/order"
	"hickoryrail/core/result"
	"hickoryrail/io/plat"
	"hickoryrail/io/stub"
)

// init sets rapid's seed, so that every run tests the same cases. A -rapid.seed on
// the command line takes precedence.
func init() {
	err := errors.Join(flag.Set("rapid.seed", "20261204"), flag.Set("rapid.nofailfile", "true"), flag.Set("rapid.checks", "400"))
	if err != nil {
		panic(err)
	}
}

// configurationOf returns a configuration with the given slots per service; 0 omits the
// service.
func configurationOf(slots ...int) model.Configuration {
	var c model.Configuration
	for i, n := range slots {
		if n == 0 {
			continue
		}
		name := ident.ServiceName(fmt.Sprintf("s%d", i))
		c.Inventory.Services = append(c.Inventory.Services, model.Service{Name: name, Slots: ident.Slots(n), Connections: 10})
	}
	return c
}

// submitter returns a Submitter that advances its clock instead of waiting.
func submitter(s plat.Store, c *clock.Manual) *plat.Submitter {
	return &plat.Submitter{Store: s, Clock: c, Sleep: func(ctx context.Context, d clock.Millis) error {
		c.Advance(d)
		return ctx.Err()
	}}
}

// TestSubmit guards against rows and objects that do not match the release, and
// against a second acceptance of an edit that is submitted again.
func TestSubmit(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := &stub.Table{}
	s := submitter(table, clock.NewManual(1000))
	first, err := s.Submit(ctx, order.Edit{ID: "a", Operator: "ann", Configuration: configurationOf(1, 1)})
	is.NoErr(err)
	is.Equal(first.State, order.Released)
	is.Equal(first.Head.Version, ident.Version(1))
	plan, err := s.Plan(ctx, order.Edit{ID: "b", Base: 1, Configuration: configurationOf(2, 1)})
	is.NoErr(err)
	second, err := s.Submit(ctx, order.Edit{ID: "b", Base: 1, Configuration: configurationOf(2, 1)})
	is.NoErr(err)
	is.Equal(plan.Changes, []model.Change{{Field: "Service/s0/Slots", Old: "1", New: "2"}})
	is.Equal(plan.Changes, second.Changes)
	refused, err := s.Submit(ctx, order.Edit{ID: "c", Base: 1, Configuration: configurationOf(3, 1)})
	is.NoErr(err)
	is.Equal(refused.State, order.Refused)
	is.Equal(refused.Clashes, []string{"Service/s0/Slots"})
	again, err := s.Submit(ctx, order.Edit{ID: "a", Configuration: configurationOf(1, 1)})
	is.NoErr(err)
	is.Equal(again.Version, ident.Version(1)) // the second submission returns the outcome of the first

	history, err := plat.ReadHistory(ctx, table, 10)
	is.NoErr(err)
	is.Equal(len(history), 2)
	is.Equal(history[1].Operator, "ann")
	is.Equal(history[1].AcceptedMillis, clock.Millis(1000))
	r, err := plat.ReadVersion(ctx, table, 1)
	is.NoErr(err)
	is.Equal(r, first.Release)
	head, _, err := plat.ReadHead(ctx, table)
	is.NoErr(err)
	r, err = plat.ReadRelease(ctx, table, order.HistoryOf(head))
	is.NoErr(err)
	is.Equal(r, second.Release)
	_, err = plat.ReadVersion(ctx, table, 3)
	is.True(errors.Is(err, plat.ErrNotFound))
	row, _, err := plat.ReadEdit(ctx, table, "c")
	is.NoErr(err)
	is.Equal(row.State, order.Refused)
	is.Equal(row.Clashes, refused.Clashes)
}

// TestSubmitDuringOutage guards against an unbounded wait and a wrong verdict during
// an outage, and against an edit that cannot be submitted again after it.
func TestSubmitDuringOutage(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := &stub.Table{}
	s := submitter(table, clock.NewManual(0))
	table.SetDown(true)
	_, err := s.Submit(ctx, order.Edit{ID: "a", Configuration: configurationOf(1)})
	is.Equal(result.Of(err), result.NotRun)
	table.SetDown(false)
	o, err := s.Submit(ctx, order.Edit{ID: "a", Configuration: configurationOf(1)})
	is.NoErr(err)
	is.Equal(o.Version, ident.Version(1))
}

// loseHeadResponse returns a store that loses the response to the first Head write and
// is down afterwards.
func loseHeadResponse() *stub.Table {
	table, lost := &stub.Table{}, false
	table.Before = func(method, name string) {
		if lost {
			table.SetDown(true)
		}
		if method == "WriteRow" && name == order.HeadKey && !lost {
			lost = true
			table.LoseAnswers(1)
		}
	}
	return table
}

// TestLostHeadWrite guards against an acceptance that is reported as NotRun when the
// response to the Head write is lost and the store goes down before the outcome can be
// read, and against a schedule row that is removed before the outcome of its edit is
// known.
func TestLostHeadWrite(t *testing.T) {
	ctx := context.Background()
	for _, scheduled := range []bool{false, true} {
		is := is.New(t)
		store := loseHeadResponse()
		s := submitter(store, clock.NewManual(100))
		e := order.Edit{ID: "a", Configuration: configurationOf(1)}
		submit := func() ([]plat.Outcome, error) {
			o, err := s.Submit(ctx, e)
			return []plat.Outcome{o}, err
		}
		if scheduled {
			is.NoErr(s.Schedule(ctx, e, 1))
			submit = func() ([]plat.Outcome, error) { return s.AcceptDue(ctx) }
		}
		_, err := submit()
		is.Equal(result.Of(err), result.MayHaveRun)
		store.Before = nil
		store.SetDown(false)
		rows, err := plat.ReadSchedule(ctx, store)
		is.NoErr(err)
		is.Equal(len(rows) == 1, scheduled)
		outcomes, err := submit()
		is.NoErr(err)
		is.Equal(len(outcomes), 1)
		is.Equal(outcomes[0].State, order.Released)
		is.Equal(outcomes[0].Version, ident.Version(1))
		rows, err = plat.ReadSchedule(ctx, store)
		is.NoErr(err)
		is.Equal(len(rows), 0)
	}
}

// TestRacingSubmitters guards against a lost update when several operators submit
// concurrently over HTTP while responses are lost.
func TestRacingSubmitters(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	server, client := startStub(t, 0)
	const operators = 6
	s := &plat.Submitter{Store: client, Clock: clock.NewSystem()}
	_, err := s.Submit(ctx, order.Edit{ID: "base", Configuration: configurationOf(1, 1, 1, 1, 1, 1)})
	is.NoErr(err)
	server.SetFaults(stub.Faults{SlowMillis: 5, LoseAnswers: 2}) // the delay makes calls overlap
	var wg sync.WaitGroup
	outcomes := make([]plat.Outcome, operators)
	failures := make([]error, operators)
	for i := range operators {
		wg.Go(func() {
			slots := []int{1, 1, 1, 1, 1, 1}
			slots[i] = 2
			e := order.Edit{ID: ident.EditID(fmt.Sprintf("e%d", i)), Base: 1, Configuration: configurationOf(slots...)}
			outcomes[i], failures[i] = s.Submit(ctx, e)
		})
	}
	wg.Wait()
	var versions []ident.Version
	for i, o := range outcomes {
		is.NoErr(failures[i])
		is.Equal(o.State, order.Released)
		versions = append(versions, o.Version)
	}
	slices.Sort(versions)
	is.Equal(versions, []ident.Version{2, 3, 4, 5, 6, 7})
	r, err := plat.ReadVersion(ctx, client, 7)
	is.NoErr(err)
	is.Equal(r.Digest, configurationOf(2, 2, 2, 2, 2, 2).Digest())
}

// TestPausedAcceptor guards against a lease holder that is paused before any one of
// its store calls in AcceptDue and continues after another node has acquired the
// lease. It must not accept an edit twice, accept edits in an order other than (time,
// edit id), or replace a newer release.
func TestPausedAcceptor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		ctx := context.Background()
		table := &stub.Table{}
		now := clock.NewManual(100)
		successor := submitter(table, now)
		_, err := successor.Submit(ctx, order.Edit{ID: "base", Configuration: configurationOf(1, 1, 1)})
		is.NoErr(err)
		is.NoErr(successor.Schedule(ctx, order.Edit{ID: "a", Base: 1, Configuration: configurationOf(2, 1, 1)}, 10))
		is.NoErr(successor.Schedule(ctx, order.Edit{ID: "b", Base: 1, Configuration: configurationOf(1, 2, 1)}, 20))
		is.NoErr(successor.Schedule(ctx, order.Edit{ID: "clash", Base: 1, Configuration: configurationOf(9, 1, 1)}, 30))

		direct, calls := rapid.Bool().Draw(t, "direct"), rapid.IntRange(1, 60).Draw(t, "call")
		table.Before = func(string, string) {
			if calls--; calls != 0 {
				return
			}
			_, err := successor.AcceptDue(ctx)
			is.NoErr(err)
			if direct {
				_, err = successor.Submit(ctx, order.Edit{ID: "d", Base: 1, Configuration: configurationOf(1, 1, 3)})
				is.NoErr(err)
			}
		}
		outcomes, err := submitter(table, now).AcceptDue(ctx)
		is.NoErr(err)
		direct = direct && calls <= 0 // calls > 0: AcceptDue made fewer calls, so there was no pause

		want := []ident.EditID{"base", "a", "b"}
		configuration := configurationOf(2, 2, 1)
		if direct {
			want, configuration = append(want, "d"), configurationOf(2, 2, 3)
		}
		history, err := plat.ReadHistory(ctx, table, 10)
		is.NoErr(err)
		is.Equal(len(history), len(want))
		for i, id := range want {
			is.Equal(history[len(want)-1-i].EditID, id)
		}
		is.Equal(history[0].Digest, configuration.Digest())
		for _, o := range outcomes {
			is.Equal(o.State == order.Refused, o.EditID == "clash") // a paused holder reports the real outcome
		}
		rows, err := plat.ReadSchedule(ctx, table)
		is.NoErr(err)
		is.Equal(len(rows), 0)
	})
}
