package trial

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/canary"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// outcomes returns the status rows other than Running.
func outcomes(f *Fleet) []canary.Status {
	var out []canary.Status
	for _, s := range f.Store.History {
		if s.Phase.Final() {
			out = append(out, s)
		}
	}
	return out
}

// TestOrderRepeated guards against a second rollout, or a changed outcome, when the same
// order is written again while it runs or after its end.
func TestOrderRepeated(t *testing.T) {
	is := is.New(t)
	for _, p := range []float64{0, 0.5} {
		for _, at := range []clock.Millis{100, 1000, 8000, 15_000, 18_000} {
			o := options(1)
			o.NewFails = constant(p)
			f := rollOut(o, func(f *Fleet) {
				ordered := f.Now
				f.After(at, func() {
					f.Order(New, testDuration)
					f.Ordered = ordered
				})
			})
			checkHistory(t, f)
			is.Equal(len(outcomes(f)), 1)
			is.Equal(outcomes(f)[0].Phase == canary.Completed, p == 0)
		}
	}
}

// TestOrderChanged guards against a rollout that misses a deadline which was brought
// forward, and against one without an outcome after its time became 0.
func TestOrderChanged(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		at, d clock.Millis
		want  canary.Phase
	}{
		{1000, 12_000, canary.Completed},
		{4000, 10_000, canary.Completed},
		{2000, 60_000, canary.Completed},
		{5000, 0, canary.RolledBack},
		{12_500, 0, canary.RolledBack},
	} {
		f := NewFleet(options(2))
		f.Run(warmUp)
		f.Order(New, testDuration)
		f.Run(c.at)
		f.Order(New, c.d)
		f.Run(max(c.d, clock.Second))
		is.Equal(f.Store.Status().Phase, c.want)
		checkHistory(t, f)
	}
}

// TestOrderReplaced guards against a rollout that has no outcome because another version
// was ordered while it ran, and against an outcome for the wrong version.
func TestOrderReplaced(t *testing.T) {
	is := is.New(t)
	for _, at := range []clock.Millis{100, 3000, 12_000} {
		f := NewFleet(options(3))
		f.Run(warmUp)
		f.Order(New, testDuration)
		f.Run(at)
		for _, target := range f.Targets[27+14:] {
			target.Software = "v3"
		}
		f.Order("v3", testDuration)
		f.Run(testDuration)
		is.Equal(f.Store.Status().Phase, canary.Completed)
		is.Equal(f.Store.Status().To, ident.SoftwareVersion("v3"))
		is.Equal(outcomes(f)[0].Phase, canary.RolledBack)
		is.Equal(outcomes(f)[0].To, New)
		is.Equal(len(outcomes(f)), 2)
	}
}

// TestOrderWithdrawn guards against a rollout that goes on after its order was removed.
func TestOrderWithdrawn(t *testing.T) {
	is := is.New(t)
	f := NewFleet(options(4))
	f.Run(warmUp)
	f.Order(New, testDuration)
	f.Run(3 * clock.Second)
	f.Withdraw()
	f.Run(clock.Second)
	is.Equal(f.Store.Status().Phase, canary.RolledBack)
	sent := f.Result.LastNewAt
	f.Run(5 * clock.Second)
	is.Equal(f.Result.LastNewAt, sent)
}

// TestUnusableOrders guards against orders that can never be completed and stay without an
// outcome, and against one for the version in force that is rolled back.
func TestUnusableOrders(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		to   ident.SoftwareVersion
		d    clock.Millis
		news int
		want canary.Phase
	}{
		{"v9", testDuration, 27, canary.RolledBack}, // no targets
		{New, 0, 27, canary.RolledBack},
		{New, 1, 27, canary.RolledBack},
		{Old, testDuration, 0, canary.Completed}, // in force
		{Old, 0, 0, canary.Completed},
	} {
		o := options(6)
		o.NewTargets = c.news
		f := NewFleet(o)
		f.Run(warmUp)
		f.Order(c.to, c.d)
		f.Run(testDuration)
		is.Equal(f.Store.Status().Phase, c.want)
		checkHistory(t, f)
		is.Equal(f.Result.New, 0)
		is.Equal(f.Result.Refused, 0)
	}
}

// TestVersionInForceFails guards against a version that is rolled back, and then gets no
// requests, although there is no other one.
func TestVersionInForceFails(t *testing.T) {
	is := is.New(t)
	o := options(12)
	o.NewTargets = 0
	o.Trouble = func(clock.Millis) (float64, float64) { return 0.5, 4 }
	f := NewFleet(o)
	f.Run(warmUp)
	f.Order(Old, testDuration)
	f.Run(testDuration)
	if f.Store.Status().Phase != canary.Completed {
		t.Fatalf("%+v", f.Result.Notes)
	}
	is.Equal(f.Result.Refused, 0)
}

// TestEarlierOutcome guards against the outcome of an earlier version that is taken for
// that of a new order.
func TestEarlierOutcome(t *testing.T) {
	is := is.New(t)
	for _, p := range []canary.Phase{canary.Completed, canary.RolledBack} {
		f := NewFleet(options(7))
		f.Store.SetStatus(canary.Status{Phase: p, To: "v0"})
		f.Run(warmUp)
		f.Order(New, testDuration)
		f.Run(testDuration)
		is.Equal(f.Store.Status().Phase, canary.Completed)
		is.Equal(f.Store.Status().To, New)
	}
}

// TestTargetsChange guards against a wrong outcome when targets restart, are scaled in, or
// are replaced by targets of the other version at the same place during a rollout.
func TestTargetsChange(t *testing.T) {
	for name, change := range map[string]func(f *Fleet){
		"restart": func(f *Fleet) {
			for _, target := range f.Targets[27:33] {
				target.StartedAt = f.Now
			}
		},
		"scaled in": func(f *Fleet) {
			for _, target := range append(f.Targets[:5], f.Targets[30:40]...) {
				target.Stopped = true
			}
			f.Changed()
		},
		"replaced": func(f *Fleet) {
			for _, target := range f.Targets[:9] {
				target.Software, target.StartedAt = New, f.Now
				f.Relabel(target)
			}
		},
		"one new target fails": func(f *Fleet) {
			f.NewFails = nil
			f.Targets[30].Broken = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, at := range []clock.Millis{2000, 8000, 11_500} {
				f := rollOut(options(8), func(f *Fleet) { f.After(at, func() { change(f) }) })
				checkHistory(t, f)
				if f.Store.Status().Phase != canary.Completed {
					t.Fatalf("%v: %v: %v", at, f.Store.Status().Phase, reasons(f))
				}
			}
		})
	}
}

// TestNodesRestart guards against nodes that send requests to the new version beyond its
// share because they have lost what they knew.
func TestNodesRestart(t *testing.T) {
	is := is.New(t)
	for _, all := range []bool{false, true} {
		for _, at := range phaseTimes[1:5] {
			o := options(9)
			o.NewFails = func(_, _ int, since clock.Millis) float64 {
				if since > at {
					return 0.5
				}
				return 0
			}
			f := rollOut(o, func(f *Fleet) {
				f.After(at, func() {
					for i, h := range f.Nodes {
						if all || i%3 == 0 {
							f.Restart(h)
						}
					}
				})
			})
			is.Equal(f.Store.Status().Phase, canary.RolledBack)
			checkHistory(t, f)
			checkExposure(t, f)
		}
	}
}

// TestRandomFaults guards against two outcomes, a completed faulty version and exposure
// beyond the bound under several faults at random times.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 11))
		o := options(seed)
		o.Nodes, o.OldTargets, o.NewTargets = 24, 10, 10
		faulty := seed%2 == 0
		if faulty {
			o.NewFails = constant(0.3)
		}
		f := rollOut(o, func(f *Fleet) {
			for range 4 {
				h := f.Nodes[r.IntN(6)]
				d := clock.Millis(500 + r.Float64()*3000)
				faults := []func(){
					func() { f.Kill(h) },
					func() { f.Restart(h) },
					func() { f.Pause(h, d) },
					func() { f.CutOff(f.Nodes[:1+r.IntN(20)]...); f.After(d, f.Heal) },
					func() { f.Store.Down = true; f.After(d, func() { f.Store.Down = false; f.tellWatchers() }) },
					func() { h.Refused = true },
					func() { f.Store.LosesAnswers = true; f.After(d, func() { f.Store.LosesAnswers = false }) },
					func() { f.Store.Slow = d / 2; f.After(d, func() { f.Store.Slow = 0 }) },
				}
				fault := faults[r.IntN(len(faults))]
				f.After(clock.Millis(r.Float64())*testDuration, fault)
			}
		})
		checkHistory(t, f)
		if phase := f.Store.Status().Phase; faulty && phase == canary.Completed {
			t.Fatalf("seed %d: faulty version completed: %v", seed, reasons(f))
		}
		if faulty {
			checkExposure(t, f)
		}
	}
}

// TestOrderedAgain guards against an outcome that changes when the same version is ordered
// again after it.
func TestOrderedAgain(t *testing.T) {
	is := is.New(t)
	o := options(10)
	o.NewFails = constant(0.5)
	f := rollOut(o, nil)
	is.Equal(f.Store.Status().Phase, canary.RolledBack)
	writes, sent := len(f.Store.History), f.Result.LastNewAt
	f.Order(New, testDuration)
	f.Run(testDuration)
	is.Equal(len(f.Store.History), writes)
	is.True(f.Result.LastNewAt == sent || f.Result.LastNewAt == 0)
}

// TestStoreAwayAtDeadline guards against a rollout without an outcome, against one that is
// completed after its deadline, and against a share that grows while the store is away until
// after the deadline.
func TestStoreAwayAtDeadline(t *testing.T) {
	is := is.New(t)
	for _, at := range []clock.Millis{0, 5000, 10_800, 11_800, 13_000} {
		f := NewFleet(options(11))
		f.Run(warmUp)
		f.Order(New, testDuration)
		f.Run(at)
		f.Store.Down = true
		f.Run(testDuration + 2*clock.Second - at)
		if at <= 5000 {
			checkExposure(t, f)
		}
		f.Store.Down = false
		f.Run(10 * clock.Second)
		checkHistory(t, f)
		is.Equal(f.Store.Status().Phase, canary.RolledBack)
	}
}

// TestSuspectVersion guards against a version that fails rarely and gets more than its
// requests while the test is undecided.
func TestSuspectVersion(t *testing.T) {
	for seed := range uint64(10) {
		o := options(seed)
		o.Nodes, o.OldTargets, o.NewTargets, o.PerSecond = 16, 7, 7, 128
		o.NewFails = constant(0.05)
		f := rollOut(o, nil)
		if f.Store.Status().Phase == canary.RolledBack {
			checkExposure(t, f)
		}
	}
}
