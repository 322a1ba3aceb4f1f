package plat_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/order"
	"hickoryrail/core/result"
	"hickoryrail/io/plat"
	"hickoryrail/io/stub"
)

// TestScheduleOrder guards against scheduled edits that are accepted early,
// twice, never or in an order other than (time, edit id), while responses are lost,
// the store goes down, the scheduler changes times before and after acceptance,
// and two nodes accept due edits alternately.
func TestScheduleOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		table := &stub.Table{}
		now := clock.NewManual(100)
		nodes := []*plat.Submitter{submitter(table, now), submitter(table, now)}
		if _, err := nodes[0].Submit(ctx, order.Edit{ID: "base", Configuration: configurationOf(1, 1, 1, 1, 1)}); err != nil {
			t.Fatal(err)
		}
		times := make(map[ident.EditID]clock.Millis)
		for i := range rapid.IntRange(1, 5).Draw(t, "edits") {
			slots := []int{1, 1, 1, 1, 1}
			slots[i] = 2
			e := order.Edit{ID: ident.EditID(fmt.Sprintf("e%d", i)), Base: 1, Configuration: configurationOf(slots...)}
			at := clock.Millis(rapid.SampledFrom([]int{-50, 50, 100, 300, 300, 500, 1_000_000}).Draw(t, "at"))
			if err := nodes[0].Schedule(ctx, e, at); err != nil {
				t.Fatal(err)
			}
			times[e.ID] = at
		}
		for range 20 {
			id := rapid.SampledFrom([]ident.EditID{"e0", "e1", "none"}).Draw(t, "change")
			at := now.Now() + clock.Millis(rapid.IntRange(-50, 200).Draw(t, "to"))
			if err := nodes[0].Reschedule(ctx, id, at); err == nil {
				times[id] = at
			}
			table.SetFaults(stub.Faults{
				Down:         rapid.IntRange(0, 5).Draw(t, "down") == 0,
				LoseAnswers:  rapid.IntRange(0, 3).Draw(t, "answers"),
				LoseRequests: rapid.IntRange(0, 3).Draw(t, "requests"),
			})
			outcomes, _ := rapid.SampledFrom(nodes).Draw(t, "node").AcceptDue(ctx)
			checkDue(t, outcomes, times, now.Now())
			table.SetFaults(stub.Faults{})
			now.Advance(clock.Millis(rapid.IntRange(0, 100).Draw(t, "advance")))
		}
		now.Advance(2_000_000)
		outcomes, err := nodes[1].AcceptDue(ctx)
		checkDue(t, outcomes, times, now.Now())
		rows, listErr := plat.ReadSchedule(ctx, table)
		if err != nil || listErr != nil || len(rows) > 0 {
			t.Fatalf("%v are still scheduled: %v, %v", rows, err, listErr)
		}
		history, err := plat.ReadHistory(ctx, table, 100)
		if err != nil || len(history) != len(times)+1 {
			t.Fatalf("history is %v: %v", history, err)
		}
		for _, h := range history {
			delete(times, h.EditID)
		}
		if len(times) > 0 {
			t.Fatalf("%v were not accepted", times)
		}
	})
}

// checkDue checks the times and the order of the outcomes of one call of AcceptDue.
func checkDue(t *rapid.T, outcomes []plat.Outcome, times map[ident.EditID]clock.Millis, now clock.Millis) {
	for i, o := range outcomes {
		if o.State != order.Released || times[o.EditID] > now {
			t.Fatalf("edit %s is %s before %s: %s", o.EditID, o.State, times[o.EditID], o.Reason)
		}
		if i == 0 {
			continue
		}
		previous := outcomes[i-1].EditID
		if times[previous] > times[o.EditID] || times[previous] == times[o.EditID] && previous > o.EditID {
			t.Fatalf("%s is accepted before %s", previous, o.EditID)
		}
	}
}

// TestScheduleClash guards against a scheduled edit that overwrites a release newer
// than its base, against an edit that waits for one with a later time, and against a
// refusal that is not recorded.
func TestScheduleClash(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := &stub.Table{}
	now := clock.NewManual(100)
	s := submitter(table, now)
	_, err := s.Submit(ctx, order.Edit{ID: "base", Configuration: configurationOf(1, 1, 1)})
	is.NoErr(err)
	is.NoErr(s.Schedule(ctx, order.Edit{ID: "far", Base: 1, Configuration: configurationOf(5, 1, 1)}, 900))
	is.NoErr(s.Schedule(ctx, order.Edit{ID: "near", Base: 1, Configuration: configurationOf(4, 1, 1)}, 300))
	is.NoErr(s.Schedule(ctx, order.Edit{ID: "past", Base: 1, Configuration: configurationOf(1, 1, 7)}, -5))

	outcomes, err := s.AcceptDue(ctx)
	is.NoErr(err)
	is.Equal(len(outcomes), 1)
	is.Equal(outcomes[0].EditID, ident.EditID("past"))
	now.Advance(300)
	outcomes, err = s.AcceptDue(ctx)
	is.NoErr(err)
	is.Equal(len(outcomes), 1)
	is.Equal(outcomes[0].Version, ident.Version(3))
	is.Equal(result.Of(s.Reschedule(ctx, "near", 5000)), result.NotRun) // already accepted
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
	is.Equal(r.Digest, configurationOf(4, 1, 7).Digest())
}

// TestScheduleGivesUp guards against an edit that is never accepted, or only after a
// later one, because the store failed until the submission gave up.
func TestScheduleGivesUp(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := &stub.Table{}
	s := submitter(table, clock.NewManual(100))
	is.NoErr(s.Schedule(ctx, order.Edit{ID: "a", Configuration: configurationOf(1)}, 1))
	is.NoErr(s.Schedule(ctx, order.Edit{ID: "b", Configuration: configurationOf(1)}, 2))
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

// TestScheduleLateWrite guards against a second acceptance of an edit whose row the
// scheduler writes again after the acceptance, and against malformed rows and missing
// objects that block other edits.
func TestScheduleLateWrite(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := &stub.Table{}
	s := submitter(table, clock.NewManual(100))
	e := order.Edit{ID: "e", Configuration: configurationOf(1)}
	is.NoErr(s.Schedule(ctx, e, 0))
	_, err := s.AcceptDue(ctx)
	is.NoErr(err)
	late := order.EncodeSchedule(order.ScheduleRow{ReleaseMillis: 50, Object: order.EditKey("e")})
	_, err = table.WriteRow(ctx, order.ScheduleKey("e"), late, 0)
	is.NoErr(err)
	orphan := order.EncodeSchedule(order.ScheduleRow{ReleaseMillis: 50, Object: order.EditKey("lost")})
	_, err = table.WriteRow(ctx, order.ScheduleKey("lost"), orphan, 0)
	is.NoErr(err)
	_, err = table.WriteRow(ctx, order.ScheduleKey("bad"), []byte("{"), 0)
	is.NoErr(err)

	outcomes, err := s.AcceptDue(ctx)
	is.True(err != nil) // reports the malformed row
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
