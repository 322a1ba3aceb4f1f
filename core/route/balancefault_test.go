package route

import (
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/result"
)

// fairShare is the share of the picks of one of 4 targets in the picker's domain, if those
// of the other domain get none.
const fairShare = 1.0 / 4

// readyPicker returns a picker that knows 8 equal targets, 4 of them in its own failure
// domain, at the returned instant.
func readyPicker(mode BalanceMode) (*Picker, clock.Millis) {
	p := newBalancePicker(mode, 8)
	now := clock.Millis(0)
	for range 30 {
		now += 500
		report(p, now, 8)
	}
	return p, now
}

// TestSlowMachineGetsFewerCalls replays a machine that is slowed by a factor of 2.5 for
// some 600 ms, and guards against calls to it in this time and against their lack after it.
func TestSlowMachineGetsFewerCalls(t *testing.T) {
	is := is.New(t)
	p, now := readyPicker(BalanceAuto)
	p.targets["t02"].startCall(now, ReasonOnly)
	answer(p, now, "t02", balanceRun, balanceSlots-usualCalls, 2.5)
	is.True(shareOf(p, now, "t02", 1000) < 0.02)
	is.True(shareOf(p, now+600, "t02", 1000) > 0.5*fairShare)
}

// TestSwitch guards against a setting without effect: off keeps the choice of two, and on
// balances targets that state nothing.
func TestSwitch(t *testing.T) {
	is := is.New(t)
	for mode, want := range map[BalanceMode]bool{BalanceAuto: true, BalanceOn: true, BalanceOff: false} {
		p, now := readyPicker(mode)
		is.Equal(p.balances(now, p.services["s"]), want)
		// The targets stop stating a pace.
		is.Equal(p.balances(now+2*paceKnownMillis, p.services["s"]), mode == BalanceOn)
		p = newBalancePicker(mode, 4)
		is.Equal(p.balances(0, p.services["s"]), mode == BalanceOn)
		c, ok := p.Pick(0, "s", nil)
		is.True(ok && c.Target.ID != "")
	}
}

// TestFalsePace replays targets that state a very low or a very high pace, always or only
// now, and guards against one that gets nearly all calls or none for good.
func TestFalsePace(t *testing.T) {
	for _, pace := range []float64{0.1, 20} {
		is := is.New(t)
		p, now := readyPicker(BalanceAuto)
		for range 200 {
			now += 300
			report(p, now, 2)
			p.targets["t02"].startCall(now, ReasonOnly)
			answer(p, now, "t02", balanceRun, balanceSlots-usualCalls, pace)
		}
		report(p, now, 2)
		share := shareOf(p, now, "t02", 2000)
		is.True(share > 0.3*fairShare && share < 2.5*fairShare)

		p, now = readyPicker(BalanceAuto)
		p.targets["t02"].startCall(now, ReasonOnly)
		answer(p, now, "t02", balanceRun, balanceSlots-usualCalls, pace)
		share = shareOf(p, now+paceMillis, "t02", 2000)
		is.True(share > 0.3*fairShare && share < 2.5*fairShare)
	}
}

// TestFalseIdle replays a target that takes five times as long while its reports are those
// of an idle one, and guards against calls that go to it because of the reports.
func TestFalseIdle(t *testing.T) {
	is := is.New(t)
	p, now := readyPicker(BalanceAuto)
	for range 30 {
		now += 500
		report(p, now, 8)
		p.targets["t02"].startCall(now, ReasonOnly)
		answer(p, now, "t02", 5*balanceRun, balanceSlots, 1)
	}
	is.True(shareOf(p, now, "t02", 1000) < 0.02)
}

// TestStaleReport replays a full target whose report is some seconds old, and guards
// against a target that gets no calls until one happens to renew its report.
func TestStaleReport(t *testing.T) {
	is := is.New(t)
	p, now := readyPicker(BalanceAuto)
	p.targets["t02"].startCall(now, ReasonOnly)
	p.Done(now, "t02", Outcome{Delay: 3, Verdict: result.NotRun, HasLoad: true, Load: admit.Load{Queued: 9}})
	is.True(shareOf(p, now, "t02", 1000) < 0.02)
	is.True(shareOf(p, now+3*clock.Second, "t02", 1000) > 0.5*fairShare)
}

// TestMissingReports replays answers without a load, and guards against a target that gets
// all calls or none because its load is unknown.
func TestMissingReports(t *testing.T) {
	is := is.New(t)
	p := newBalancePicker(BalanceOn, 8)
	now := clock.Millis(0)
	for range 200 {
		now += 100
		for range 4 {
			c, ok := p.Pick(now, "s", nil)
			is.True(ok)
			p.Done(now, c.Target.ID, Outcome{Delay: balanceRun, Verdict: result.Ran})
		}
	}
	for _, id := range []ident.TargetID{"t00", "t02", "t04", "t06"} {
		share := shareOf(p, now, id, 2000)
		is.True(share > 0.5*fairShare && share < 1.5*fairShare)
	}
}

// TestHangingTarget replays a target that answers nothing any more, and guards against
// calls that still go to it once they have not been answered for long.
func TestHangingTarget(t *testing.T) {
	is := is.New(t)
	p, now := readyPicker(BalanceAuto)
	for range 3 {
		p.targets["t02"].startCall(now, ReasonOnly)
	}
	for range 10 {
		now += 300
		for _, id := range []ident.TargetID{"t00", "t01", "t03", "t04", "t05", "t06", "t07"} {
			p.targets[id].startCall(now, ReasonOnly)
			answer(p, now, id, balanceRun, balanceSlots-usualCalls, 1)
		}
	}
	is.True(shareOf(p, now, "t02", 1000) < 0.02)
}

// TestColdTarget replays a target that joins, and guards against a new target that gets
// its full share at once because nothing bad is known of it, and against one that gets
// none once slow start is over, or when it has not been called for Limits.StaleMillis.
func TestColdTarget(t *testing.T) {
	is := is.New(t)
	p, now := readyPicker(BalanceAuto)
	p.SetView(now, balanceView(9))
	is.True(shareOf(p, now+100, "t08", 4000) < 0.6/5)
	later := now + p.Limits.SlowStartMillis - 1
	share := shareOf(p, later, "t08", 4000)
	is.True(share > 0.1 && share < 0.4)

	p, now = readyPicker(BalanceAuto)
	p.SetView(now, balanceView(9))
	later = now + p.Limits.StaleMillis
	report(p, later, 8)
	is.True(shareOf(p, later, "t08", 120) > 0)
}

// TestDepartedTarget replays a target that leaves and returns as another incarnation, and
// guards against calls to it in between and against measurements of the earlier one.
func TestDepartedTarget(t *testing.T) {
	is := is.New(t)
	p, now := readyPicker(BalanceAuto)
	p.SetView(now, balanceView(7))
	is.Equal(shareOf(p, now, "t07", 1000), 0.0)
	e := p.targets["t06"]
	e.restart(now)
	is.Equal(e.balance.reported, false)
	is.Equal(e.balance.distanceFactor, 1.0)
}

// TestNearTargetsFirst guards against calls to another failure domain while the targets of
// the own one have room, against calls that wait at busy near targets while far ones are
// idle, and against large answers from far targets in the same case.
func TestNearTargetsFirst(t *testing.T) {
	is := is.New(t)
	far := func(p *Picker, now clock.Millis) (share float64) {
		for _, id := range []ident.TargetID{"t01", "t03", "t05", "t07"} {
			share += shareOf(p, now, id, 1000)
		}
		return share
	}
	p, now := readyPicker(BalanceAuto)
	is.True(far(p, now) < 0.01)
	fill := func(occupied int) {
		for _, id := range []ident.TargetID{"t00", "t02", "t04", "t06"} {
			p.targets[id].startCall(now, ReasonOnly)
			answer(p, now, id, balanceRun, balanceSlots-occupied, 1)
		}
	}
	fill(balanceSlots)
	is.True(far(p, now) > 0.9)
	small, large := 0.0, 0.0
	for occupied := 6; occupied < balanceSlots+9; occupied++ {
		fill(occupied)
		p.services["s"].balance.answerBytes = 2 << 10
		small += far(p, now)
		p.services["s"].balance.answerBytes = 90 << 10
		large += far(p, now)
	}
	t.Logf("sum of the shares of far targets: %.2f with small answers, %.2f with large ones", small, large)
	is.True(large < small)
}

// TestHerdAfterRestart replays the first 200 ms after a restart of 30 nodes, in which no
// call is answered, and guards against nodes that all send their calls to the same target.
func TestHerdAfterRestart(t *testing.T) {
	is := is.New(t)
	const nodes, targets, calls = 30, 8, 12
	load := make(map[ident.TargetID]int)
	for n := range nodes {
		p := newBalancePicker(BalanceOn, targets)
		p.Self = ident.NodeID(rune('a' + n))
		for range n {
			p.Rand.Uint64()
		}
		for i := range calls {
			c, ok := p.Pick(clock.Millis(i)*15, "s", nil)
			is.True(ok)
			load[c.Target.ID]++
		}
	}
	for _, id := range []ident.TargetID{"t00", "t02", "t04", "t06"} {
		is.True(load[id] < 2*nodes*calls/4)
	}
}

// TestBalancedPickAllocatesNothing guards against memory that a balanced pick or its outcome
// allocates, since nodes have little processor time.
func TestBalancedPickAllocatesNothing(t *testing.T) {
	is := is.New(t)
	p, now := readyPicker(BalanceAuto)
	is.Equal(testing.AllocsPerRun(1000, func() {
		now++
		c, _ := p.Pick(now, "s", nil)
		answer(p, now, c.Target.ID, balanceRun, 9, 1)
	}), 0.0)
}

// TestCallsWithoutReport replays calls that end without a report because their callers left
// or the connection was lost, and guards against a target that gets no calls any more
// because they still count, and against run times that they change.
func TestCallsWithoutReport(t *testing.T) {
	is := is.New(t)
	p, now := readyPicker(BalanceAuto)
	run := p.targets["t02"].balance.run
	for range 100 {
		p.targets["t02"].startCall(now, ReasonOnly)
		p.Done(now, "t02", Outcome{Delay: 1, Verdict: result.MayHaveRun})
	}
	is.Equal(p.targets["t02"].balance.run, run)
	is.True(shareOf(p, now, "t02", 1000) > 0.3*fairShare)
}
