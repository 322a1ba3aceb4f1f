package plat_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
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

// TestMain fixes rapid's seed, so that every run tries the same cases. A
// -rapid.seed on the command line takes precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.checks": "200"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// services returns a configuration with the given slots per service.
func services(slots ...int) model.Configuration {
	var c model.Configuration
	for i, n := range slots {
		name := ident.ServiceName(fmt.Sprintf("s%d", i))
		c.Inventory.Services = append(c.Inventory.Services, model.Service{Name: name, Slots: ident.Slots(n), Connections: 10})
	}
	return c
}

// submitter returns a Submitter whose waits advance its clock.
func submitter(s plat.Store, c *clock.Manual) *plat.Submitter {
	return &plat.Submitter{Store: s, Clock: c, Sleep: func(ctx context.Context, d clock.Millis) error {
		c.Advance(d)
		return ctx.Err()
	}}
}

// TestSubmit guards against rows and objects that do not match the release.
func TestSubmit(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := &stub.Table{}
	s := submitter(table, clock.NewManual(1000))
	first, err := s.Submit(ctx, order.Edit{ID: "a", Operator: "ann", Configuration: services(1, 1)})
	is.NoErr(err)
	is.Equal(first.State, order.Released)
	is.Equal(first.Head.Version, ident.Version(1))
	plan, err := s.Plan(ctx, order.Edit{ID: "b", Base: 1, Configuration: services(2, 1)})
	is.NoErr(err)
	second, err := s.Submit(ctx, order.Edit{ID: "b", Base: 1, Configuration: services(2, 1)})
	is.NoErr(err)
	is.Equal(plan.Changes, []model.Change{{Field: "Service/s0/Slots", Old: "1", New: "2"}})
	is.Equal(plan.Changes, second.Changes)
	refused, err := s.Submit(ctx, order.Edit{ID: "c", Base: 1, Configuration: services(3, 1)})
	is.NoErr(err)
	is.Equal(refused.State, order.Refused)
	is.Equal(refused.Clashes, []string{"Service/s0/Slots"})
	again, err := s.Submit(ctx, order.Edit{ID: "a", Configuration: services(1, 1)})
	is.NoErr(err)
	is.Equal(again.Version, ident.Version(1)) // submitted again, not accepted again

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

// TestSubmitDuringOutage guards against an unbounded wait, a wrong verdict and an
// edit that cannot be submitted again after the outage.
func TestSubmitDuringOutage(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := &stub.Table{}
	s := submitter(table, clock.NewManual(0))
	table.SetDown(true)
	_, err := s.Submit(ctx, order.Edit{ID: "a", Configuration: services(1)})
	is.Equal(result.Of(err), result.NotRun)
	table.SetDown(false)
	o, err := s.Submit(ctx, order.Edit{ID: "a", Configuration: services(1)})
	is.NoErr(err)
	is.Equal(o.Version, ident.Version(1))
}

// lostHead is a store that loses the answer of the first Head write and goes down.
type lostHead struct {
	*stub.Table
}

// WriteRow writes the row and reports a Head write as lost.
func (l lostHead) WriteRow(ctx context.Context, key string, value []byte, ifRevision ident.Revision) (plat.Row, error) {
	row, err := l.Table.WriteRow(ctx, key, value, ifRevision)
	if err == nil && key == order.HeadKey {
		l.SetDown(true)
		return plat.Row{}, result.NewError(result.MayHaveRun, "platform did not answer", nil)
	}
	return row, err
}

// TestLostHeadWrite guards against an acceptance that is reported as NotRun when
// the store goes down before the lost answer can be settled.
func TestLostHeadWrite(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := lostHead{&stub.Table{}}
	s := submitter(store, clock.NewManual(0))
	e := order.Edit{ID: "a", Configuration: services(1)}
	_, err := s.Submit(ctx, e)
	is.Equal(result.Of(err), result.MayHaveRun)
	store.SetDown(false)
	o, err := s.Submit(ctx, e)
	is.NoErr(err)
	is.Equal(o.State, order.Released)
	is.Equal(o.Version, ident.Version(1))
}

// TestRacingSubmitters guards against a lost update when operators on many nodes
// submit at once over HTTP while answers are lost.
func TestRacingSubmitters(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	server, client := serve(t, 0)
	const operators = 6
	s := &plat.Submitter{Store: client, Clock: clock.NewSystem()}
	_, err := s.Submit(ctx, order.Edit{ID: "base", Configuration: services(1, 1, 1, 1, 1, 1)})
	is.NoErr(err)
	server.SetFaults(stub.Faults{SlowMillis: 5, LoseAnswers: 2}) // slow calls overlap
	var wg sync.WaitGroup
	outcomes := make([]plat.Outcome, operators)
	failures := make([]error, operators)
	for i := range operators {
		wg.Go(func() {
			slots := []int{1, 1, 1, 1, 1, 1}
			slots[i] = 2
			e := order.Edit{ID: ident.EditID(fmt.Sprintf("e%d", i)), Base: 1, Configuration: services(slots...)}
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
	is.Equal(r.Digest, services(2, 2, 2, 2, 2, 2).Digest())
}

// TestScheduleOrder guards against scheduled edits that are accepted early,
// twice, never or in another order than (time, edit id), while answers are lost,
// the store goes down, the scheduler changes times before and after acceptance,
// and two nodes accept due edits in turn.
func TestScheduleOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		table := &stub.Table{}
		now := clock.NewManual(100)
		nodes := []*plat.Submitter{submitter(table, now), submitter(table, now)}
		if _, err := nodes[0].Submit(ctx, order.Edit{ID: "base", Configuration: services(1, 1, 1, 1, 1)}); err != nil {
			t.Fatal(err)
		}
		times := make(map[ident.EditID]clock.Millis)
		for i := range rapid.IntRange(1, 5).Draw(t, "edits") {
			slots := []int{1, 1, 1, 1, 1}
			slots[i] = 2
			e := order.Edit{ID: ident.EditID(fmt.Sprintf("e%d", i)), Base: 1, Configuration: services(slots...)}
			at := clock.Millis(rapid.SampledFrom([]int{-50, 50, 100, 300, 300, 500, 1_000_000}).Draw(t, "at"))
			if err := nodes[0].Schedule(ctx, e, at); err != nil {
				t.Fatal(err)
			}
			times[e.ID] = at
		}
		accepted := acceptAll(t, table, now, nodes, times)
		checkAccepted(t, table, accepted, len(times))
	})
}

// acceptance is one accepted edit with the time that was in force.
type acceptance struct {
	id ident.EditID
	at clock.Millis
	// round is the call of AcceptDue that accepted the edit.
	round int
}

// acceptAll runs AcceptDue with faults until no edit is scheduled. It returns
// the acceptances in the order of their versions.
func acceptAll(
	t *rapid.T, table *stub.Table, now *clock.Manual, nodes []*plat.Submitter, times map[ident.EditID]clock.Millis,
) []acceptance {
	ctx := context.Background()
	byVersion := make(map[ident.Version]acceptance)
	for round := range 60 {
		faulty := round < 20
		if faulty {
			if id := rapid.SampledFrom([]ident.EditID{"e0", "e1", "none"}).Draw(t, "change"); id != "none" {
				at := now.Now() + clock.Millis(rapid.IntRange(-50, 200).Draw(t, "to"))
				if err := nodes[0].Reschedule(ctx, id, at); err == nil {
					times[id] = at
				}
			}
			table.SetFaults(stub.Faults{
				Down:         rapid.IntRange(0, 5).Draw(t, "down") == 0,
				LoseAnswers:  rapid.IntRange(0, 3).Draw(t, "answers"),
				LoseRequests: rapid.IntRange(0, 3).Draw(t, "requests"),
			})
		} else {
			now.Advance(100_000)
		}
		outcomes, err := rapid.SampledFrom(nodes).Draw(t, "node").AcceptDue(ctx)
		if err != nil && !faulty {
			t.Fatal(err)
		}
		table.SetFaults(stub.Faults{})
		for _, o := range outcomes {
			if o.State != order.Released {
				t.Fatalf("edit %s is %s: %s", o.EditID, o.State, o.Reason)
			}
			if times[o.EditID] > now.Now() {
				t.Fatalf("edit %s is accepted before %s", o.EditID, times[o.EditID])
			}
			if _, known := byVersion[o.Version]; !known {
				byVersion[o.Version] = acceptance{id: o.EditID, at: times[o.EditID], round: round}
			}
		}
		now.Advance(clock.Millis(rapid.IntRange(0, 100).Draw(t, "advance")))
	}
	if rows, err := plat.ReadSchedule(ctx, table); err != nil || len(rows) > 0 {
		t.Fatalf("%v are scheduled still: %v", rows, err)
	}
	var list []acceptance
	for v := ident.Version(2); len(list) < len(byVersion); v++ {
		list = append(list, byVersion[v])
	}
	return list
}

// checkAccepted compares the acceptances with the store's history.
func checkAccepted(t *rapid.T, table *stub.Table, accepted []acceptance, edits int) {
	if len(accepted) != edits {
		t.Fatalf("%d of %d edits were accepted: %v", len(accepted), edits, accepted)
	}
	history, err := plat.ReadHistory(context.Background(), table, 100)
	if err != nil || len(history) != edits+1 {
		t.Fatalf("history is %v: %v", history, err)
	}
	for i, a := range accepted {
		if h := history[len(history)-2-i]; h.EditID != a.id {
			t.Fatalf("version %d is edit %s, not %s", h.Version, h.EditID, a.id)
		}
		if i == 0 || accepted[i-1].round != a.round {
			continue
		}
		p := accepted[i-1]
		if p.at > a.at || p.at == a.at && p.id > a.id {
			t.Fatalf("%v is accepted before %v", p, a)
		}
	}
}

// TestScheduleClash guards against a scheduled edit that overwrites a release
// made since its base, against one with an earlier time that waits for one with a
// later time, and against a refusal that leaves no record.
func TestScheduleClash(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := &stub.Table{}
	now := clock.NewManual(100)
	s := submitter(table, now)
	_, err := s.Submit(ctx, order.Edit{ID: "base", Configuration: services(1, 1, 1)})
	is.NoErr(err)
	is.NoErr(s.Schedule(ctx, order.Edit{ID: "far", Base: 1, Configuration: services(5, 1, 1)}, 900))
	is.NoErr(s.Schedule(ctx, order.Edit{ID: "near", Base: 1, Configuration: services(4, 1, 1)}, 300))
	is.NoErr(s.Schedule(ctx, order.Edit{ID: "past", Base: 1, Configuration: services(1, 1, 7)}, -5))

	outcomes, err := s.AcceptDue(ctx)
	is.NoErr(err)
	is.Equal(len(outcomes), 1)
	is.Equal(outcomes[0].EditID, ident.EditID("past"))
	now.Advance(300)
	outcomes, err = s.AcceptDue(ctx)
	is.NoErr(err)
	is.Equal(len(outcomes), 1)
	is.Equal(outcomes[0].Version, ident.Version(3))
	is.Equal(result.Of(s.Reschedule(ctx, "near", 5000)), result.NotRun) // accepted already
	now.Advance(600)
	outcomes, err = s.AcceptDue(ctx)
	is.NoErr(err)
	is.Equal(len(outcomes), 1)
	is.Equal(outcomes[0].State, order.Refused)
	is.Equal(outcomes[0].Clashes, []string{"Service/s0/Slots"})
	row, _, err := plat.ReadEdit(ctx, table, "far")
	is.NoErr(err)
	is.Equal(row.State, order.Refused)
	is.Equal(row.Clashes, []string{"Service/s0/Slots"})
	r, err := plat.ReadVersion(ctx, table, 3)
	is.NoErr(err)
	is.Equal(r.Digest, services(4, 1, 7).Digest())
}

// TestScheduleGivesUp guards against an edit that is overtaken or forgotten because
// the store failed for as long as it was tried.
func TestScheduleGivesUp(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := &stub.Table{}
	s := submitter(table, clock.NewManual(100))
	is.NoErr(s.Schedule(ctx, order.Edit{ID: "a", Configuration: services(1)}, 1))
	is.NoErr(s.Schedule(ctx, order.Edit{ID: "b", Configuration: services(1)}, 2))
	table.LoseRequests(order.DefaultAttempts + 1)
	outcomes, err := s.AcceptDue(ctx)
	is.Equal(result.Of(err), result.NotRun)
	is.Equal(len(outcomes), 0)
	outcomes, err = s.AcceptDue(ctx)
	is.NoErr(err)
	is.Equal(len(outcomes), 2)
	is.Equal(outcomes[0].EditID, ident.EditID("a"))
	is.Equal(outcomes[0].Version, ident.Version(1))
	is.Equal(outcomes[1].Version, ident.Version(2))
}

// TestScheduleLostHeadWrite guards against a schedule row that is removed before
// the outcome of its edit is known.
func TestScheduleLostHeadWrite(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := lostHead{&stub.Table{}}
	s := submitter(store, clock.NewManual(100))
	is.NoErr(s.Schedule(ctx, order.Edit{ID: "a", Configuration: services(1)}, 1))
	_, err := s.AcceptDue(ctx)
	is.Equal(result.Of(err), result.MayHaveRun)
	store.SetDown(false)
	rows, err := plat.ReadSchedule(ctx, store)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	outcomes, err := s.AcceptDue(ctx)
	is.NoErr(err)
	is.Equal(len(outcomes), 1)
	is.Equal(outcomes[0].Version, ident.Version(1))
	rows, err = plat.ReadSchedule(ctx, store)
	is.NoErr(err)
	is.Equal(len(rows), 0)
}

// TestScheduleLateWrite guards against a row that the scheduler writes after the
// acceptance, and against damaged rows and objects that hold up other edits.
func TestScheduleLateWrite(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := &stub.Table{}
	s := submitter(table, clock.NewManual(100))
	e := order.Edit{ID: "e", Configuration: services(1)}
	is.NoErr(s.Schedule(ctx, e, 0))
	_, err := s.AcceptDue(ctx)
	is.NoErr(err)
	late := order.EncodeSchedule(order.ScheduleRow{ReleaseMillis: 50, Object: order.EditKey("e")})
	_, err = table.WriteRow(ctx, order.ScheduleKey("e"), late, 0)
	is.NoErr(err)
	lost := order.EncodeSchedule(order.ScheduleRow{ReleaseMillis: 50, Object: order.EditKey("lost")})
	_, err = table.WriteRow(ctx, order.ScheduleKey("lost"), lost, 0)
	is.NoErr(err)
	_, err = table.WriteRow(ctx, order.ScheduleKey("bad"), []byte("{"), 0)
	is.NoErr(err)

	outcomes, err := s.AcceptDue(ctx)
	is.True(err != nil) // names the damaged row
	is.Equal(len(outcomes), 2)
	is.Equal(outcomes[0].Version, ident.Version(1))
	is.Equal(outcomes[1].EditID, ident.EditID("lost"))
	is.Equal(outcomes[1].State, order.Refused)
	head, _, err := plat.ReadHead(ctx, table)
	is.NoErr(err)
	is.Equal(head.Version, ident.Version(1))
	rows, err := plat.ReadSchedule(ctx, table)
	is.True(err != nil)
	is.Equal(len(rows), 0)
}
