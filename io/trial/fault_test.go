package trial

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/canary"
	"hickoryrail/core/clock"
)

// phaseTimes are times after the order in each phase: before it is seen, in the first
// step, in the growth of the share and at the end.
var phaseTimes = []clock.Millis{0, 300, 3000, 9000, 10_500, 11_500, 12_500, 13_500}

// atEach runs a rollout for each time in phaseTimes, with a good and a faulty version, and
// a fault at that time. It fails the test unless a faulty version is kept within its bounds
// and never completed. A good version must be completed if completes returns true.
func atEach(t *testing.T, fault func(f *Fleet), completes func(at clock.Millis) bool) {
	for _, at := range phaseTimes {
		for _, faulty := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v %v", at, faulty), func(t *testing.T) {
				for seed := range uint64(2) {
					o := options(seed)
					o.Nodes, o.OldTargets, o.NewTargets = 24, 10, 10
					if faulty {
						o.NewFails = func(_, _ int, since clock.Millis) float64 {
							if since >= at-500 {
								return 0.5
							}
							return 0
						}
					}
					f := rollOut(o, func(f *Fleet) { f.After(at, func() { fault(f) }) })
					checkHistory(t, f)
					phase := f.Store.Status().Phase
					if faulty {
						checkExposure(t, f)
						if phase == canary.Completed && at < 12_000 {
							t.Fatalf("seed %d: faulty version completed", seed)
						}
					} else if completes(at) && phase != canary.Completed {
						t.Fatalf("seed %d: good version %v: %v", seed, phase, reasons(f))
					}
				}
			})
		}
	}
}

// reasons returns the reasons of the decisions of a run.
func reasons(f *Fleet) []string {
	var out []string
	for _, n := range f.Result.Notes {
		out = append(out, fmt.Sprintf("%.0f %s", float64(n.LeftMillis), n.Reason))
	}
	return out
}

func always(clock.Millis) bool { return true }

// TestDeciderKilled guards against a rollout that stays without an outcome when the node
// that decides is killed.
func TestDeciderKilled(t *testing.T) {
	atEach(t, func(f *Fleet) {
		if h := f.Decider(); h != nil {
			f.Kill(h)
		} else {
			f.Kill(f.Nodes[0])
		}
	}, func(at clock.Millis) bool { return at < 12_000 })
}

// TestDeciderPaused guards against a paused node that ends a rollout with old evidence.
func TestDeciderPaused(t *testing.T) {
	atEach(t, func(f *Fleet) {
		h := f.Decider()
		if h == nil {
			h = f.Nodes[0]
		}
		f.Pause(h, 3*clock.Second)
	}, func(at clock.Millis) bool { return at < 10_000 })
}

// TestDeciderCutOff guards against two nodes that decide differently while they cannot
// reach each other, both of them with access to the store.
func TestDeciderCutOff(t *testing.T) {
	atEach(t, func(f *Fleet) {
		h := f.Decider()
		if h == nil {
			h = f.Nodes[0]
		}
		f.CutOff(h)
		f.After(4*clock.Second, f.Heal)
	}, func(at clock.Millis) bool { return at < 9000 })
}

// TestHalvesApart guards against exposure beyond the bound, and two outcomes, when the
// fleet falls into halves.
func TestHalvesApart(t *testing.T) {
	atEach(t, func(f *Fleet) {
		f.CutOff(f.Nodes[:len(f.Nodes)/2]...)
		f.After(4*clock.Second, f.Heal)
	}, func(at clock.Millis) bool { return false })
}

// TestStoreAway guards against a share that grows, or an outcome that changes, while the
// store does not answer.
func TestStoreAway(t *testing.T) {
	atEach(t, func(f *Fleet) {
		f.Store.Down = true
		f.After(2*clock.Second, func() {
			f.Store.Down = false
			f.tellWatchers()
		})
	}, func(at clock.Millis) bool { return at < 10_000 })
}

// TestStoreSlow guards against a good version that is not completed because each call to
// the store takes half a second.
func TestStoreSlow(t *testing.T) {
	atEach(t, func(f *Fleet) { f.Store.Slow = 500 }, always)
}

// TestStoreLosesAnswers guards against a write that was done and is taken for one that was
// not.
func TestStoreLosesAnswers(t *testing.T) {
	atEach(t, func(f *Fleet) {
		f.Store.LosesAnswers = true
		f.After(2*clock.Second, func() { f.Store.LosesAnswers = false })
	}, always)
}

// TestStoreRefusesDecider guards against a rollout that stays as it is because the store
// refuses just the nodes that would decide first.
func TestStoreRefusesDecider(t *testing.T) {
	atEach(t, func(f *Fleet) {
		for _, h := range f.Nodes[:3] {
			h.Refused = true
		}
	}, always)
}

// TestStoreRestored guards against an outcome that changes, or is lost, when the store is
// restored from a copy from before the rollout.
func TestStoreRestored(t *testing.T) {
	is := is.New(t)
	for _, at := range append(phaseTimes, 15_500) {
		for _, p := range []float64{0, 1} {
			o := options(5)
			o.NewFails = constant(p)
			var before canary.Status
			f := rollOut(o, func(f *Fleet) {
				f.After(at, func() {
					before = f.Store.Status()
					f.Store.Restore(canary.Status{})
				})
			})
			after := f.Store.Status()
			want := canary.Completed
			if p > 0 {
				want = canary.RolledBack
			}
			if f.Store.Calls() > 40 {
				t.Fatalf("%v: %d calls to the store", at, f.Store.Calls())
			}
			if before.Phase.Final() {
				is.Equal(before.Phase, after.Phase)
			}
			if after.Phase != want {
				t.Fatalf("%v: %v, not %v: %v", at, after.Phase, want, reasons(f))
			}
		}
	}
}
