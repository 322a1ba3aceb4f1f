package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/result"
	"hickoryrail/core/view"
)

// drawOutcome draws an outcome of any kind.
func drawOutcome(t *rapid.T) Outcome {
	return Outcome{
		Delay: clock.Millis(rapid.Float64Range(0, 500).Draw(t, "Delay")), Verdict: result.Verdict(rapid.IntRange(0, 2).Draw(t, "Verdict")),
		Failed: rapid.Bool().Draw(t, "Failed"), HasLoad: rapid.Bool().Draw(t, "HasLoad"),
		Load: admit.Load{Free: rapid.IntRange(-1, 9).Draw(t, "Free"), Queued: rapid.IntRange(-1, 1000).Draw(t, "Queued")},
		Gate: ident.Incarnation(rapid.IntRange(0, 3).Draw(t, "Gate")),
	}
}

// drawView draws which targets are present and whether their gates restart, which
// gives a gate its next incarnation.
func drawView(t *rapid.T, gates []ident.Incarnation) (*view.View, []member.Record) {
	var records []member.Record
	for i := range gates {
		if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
			gates[i]++
		}
		if rapid.IntRange(0, 3).Draw(t, "present") > 0 {
			records = append(records, record("orders", i, gates[i]))
		}
	}
	return viewOf(records...), records
}

// TestGeneratedEvents guards against calls in flight that are lost or counted
// twice, more than half of the targets ejected, and choices that are excluded or
// not in the view.
func TestGeneratedEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPicker(rapid.Uint64().Draw(t, "seed"))
		p.Limits.EjectAfter = rapid.IntRange(1, 5).Draw(t, "EjectAfter")
		mostFail := rapid.Bool().Draw(t, "mostFail")
		gates := make([]ident.Incarnation, rapid.IntRange(1, 24).Draw(t, "targets"))
		now := clock.Millis(0)
		v, records := drawView(t, gates)
		p.SetView(now, v)
		var open []ident.TargetID
		wantInFlight := map[ident.TargetID]int{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += clock.Millis(rapid.Float64Range(0, 400).Draw(t, "pause"))
			if rapid.IntRange(0, 49).Draw(t, "long") == 0 {
				now += 2 * p.Limits.EjectMaxMillis
			}
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step == 0:
				v, records = drawView(t, gates)
				p.SetView(now, v)
			case step < 6 || len(open) == 0:
				var exclude []ident.TargetID
				if len(records) > 0 && rapid.Bool().Draw(t, "excludes") {
					exclude = append(exclude, records[rapid.IntRange(0, len(records)-1).Draw(t, "exclude")].Target)
				}
				c, ok := p.Pick(now, "orders", exclude)
				if !ok && len(exclude) == 0 && len(records) > 0 {
					t.Fatalf("no choice among %d targets: %s", len(records), c.Reason)
				}
				if ok {
					checkChoice(t, c, records, exclude)
					open = append(open, c.Target.ID)
					wantInFlight[c.Target.ID]++
				}
			default:
				i := rapid.IntRange(0, len(open)-1).Draw(t, "done")
				o := drawOutcome(t)
				if mostFail && targetIndex(open[i])%4 > 0 {
					o.Failed, o.Gate = true, 0
				}
				p.Done(now, open[i], o)
				wantInFlight[open[i]]--
				open = append(open[:i], open[i+1:]...)
			}
			checkState(t, p, wantInFlight)
		}
		for _, id := range open {
			p.Done(now, id, drawOutcome(t))
			p.Done(now, "unknown", drawOutcome(t))
			wantInFlight[id]--
		}
		checkState(t, p, wantInFlight)
		p.SetView(now, viewOf())
		p.SetView(now+p.Limits.EjectMaxMillis+1, viewOf())
		if len(p.targets) > 0 {
			t.Fatalf("state of %d departed targets is never deleted", len(p.targets))
		}
	})
}

// checkChoice fails unless the target is in the view with its current gate
// incarnation and is not excluded.
func checkChoice(t *rapid.T, c Choice, records []member.Record, exclude []ident.TargetID) {
	if len(exclude) > 0 && exclude[0] == c.Target.ID {
		t.Fatalf("excluded target %s was chosen", c.Target.ID)
	}
	for _, r := range records {
		if r.Target == c.Target.ID && r.GateIncarnation == c.Target.GateIncarnation {
			return
		}
	}
	t.Fatalf("target %s is not in the view", c.Target.ID)
}

// checkState fails unless the calls in flight are as wanted and at most half of the
// targets are ejected.
func checkState(t *rapid.T, p *Picker, wantInFlight map[ident.TargetID]int) {
	for id, n := range wantInFlight {
		if p.InFlight(id) != n {
			t.Fatalf("%s has %d calls in flight, want %d", id, p.InFlight(id), n)
		}
	}
	for _, g := range p.services {
		if 2*countEjected(g) > len(g.candidates) {
			t.Fatalf("%d of %d targets are ejected", countEjected(g), len(g.candidates))
		}
	}
}

// TestEveryTargetGetsTrafficAgain guards against starving a target that was slow,
// failed, refused calls, reported a false load or restarted, once it is healthy.
func TestEveryTargetGetsTrafficAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPicker(rapid.Uint64().Draw(t, "seed"))
		n := rapid.IntRange(2, 16).Draw(t, "targets")
		p.SetView(0, viewOfSize(n))
		now := clock.Millis(0)
		faults := make([]Outcome, n)
		for i := range faults {
			faults[i] = drawOutcome(t)
			faults[i].Gate = 0
		}
		send := func(healthy bool) ident.TargetID {
			now += 20
			c, ok := p.Pick(now, "orders", nil)
			if !ok {
				t.Fatal("no target can be chosen")
			}
			o := Outcome{Delay: 10, Verdict: result.Ran}
			if !healthy {
				o = faults[targetIndex(c.Target.ID)]
			}
			p.Done(now, c.Target.ID, o)
			return c.Target.ID
		}
		for range rapid.IntRange(0, 1000).Draw(t, "faulty") {
			send(false)
		}
		seen := map[ident.TargetID]int{}
		for end := now + 2*p.Limits.EjectMaxMillis; now < end; {
			seen[send(true)]++
		}
		if len(seen) != n {
			t.Fatalf("%d of %d targets got calls", len(seen), n)
		}
		for id, calls := range seen {
			if calls < 4 { // one per StaleMillis, less one for an ejection
				t.Fatalf("%s got %d calls", id, calls)
			}
		}
	})
}

// targetIndex returns the number in a target's id.
func targetIndex(id ident.TargetID) int {
	var i int
	_, _ = fmt.Sscanf(string(id), "orders-%d", &i)
	return i
}

// TestFalseLoadReportDoesNotWin guards against a load report that outweighs the measured
// delays: a slow target that reports itself idle must not get more than its even share,
// and a fast one that reports itself full must still get calls.
func TestFalseLoadReportDoesNotWin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPicker(rapid.Uint64().Draw(t, "seed"))
		n := rapid.IntRange(3, 16).Draw(t, "targets")
		p.SetView(0, viewOfSize(n))
		calls := make([]int, n)
		now := clock.Millis(0)
		for range 2000 {
			now += 5
			c, _ := p.Pick(now, "orders", nil)
			i := targetIndex(c.Target.ID)
			calls[i]++
			o := Outcome{Delay: 10, Verdict: result.Ran, HasLoad: true, Load: admit.Load{Free: 3}}
			switch i {
			case 0:
				o.Delay, o.Load = 60, admit.Load{Free: 1 << 30}
			case 1:
				o.Load = admit.Load{Queued: 1 << 30}
			}
			p.Done(now, c.Target.ID, o)
		}
		if calls[0] > 2000/n {
			t.Fatalf("slow target that reports itself idle got %d of 2000 calls among %d targets", calls[0], n)
		}
		if calls[1] < 2000/n/20 {
			t.Fatalf("fast target that reports itself full got %d of 2000 calls among %d targets", calls[1], n)
		}
	})
}

// TestPickAllocatesNothing guards against heap allocations on the request path.
func TestPickAllocatesNothing(t *testing.T) {
	p := newPicker(1)
	p.SetView(0, viewOfSize(790))
	exclude := []ident.TargetID{"orders-01", "orders-02"}
	allocations := testing.AllocsPerRun(1000, func() {
		c, _ := p.Pick(5, "orders", exclude)
		p.Done(6, c.Target.ID, Outcome{Delay: 3, Verdict: result.Ran})
	})
	if allocations > 0 {
		t.Fatalf("%v allocations", allocations)
	}
}

// BenchmarkPick measures one Pick and one Done with 790 targets.
func BenchmarkPick(b *testing.B) {
	p := newPicker(1)
	p.SetView(0, viewOfSize(790))
	p.Rand = rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for i := range b.N {
		now := clock.Millis(i)
		c, _ := p.Pick(now, "orders", nil)
		p.Done(now, c.Target.ID, Outcome{Delay: 3, Verdict: result.Ran})
	}
}
