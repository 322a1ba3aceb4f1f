package trial

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/canary"
	"hickoryrail/core/clock"
)

const (
	// testDuration is the duration of the rollouts.
	testDuration = 16 * clock.Second
	// warmUp is the time of a test before the order, and after the time after its deadline.
	warmUp, after = 1 * clock.Second, 4 * clock.Second
)

// config holds the platform's bounds.
var config = canary.Config{Share: 0.1, Slack: 50, RollbackMillis: 5 * clock.Second}

// options returns the settings of a fleet with a good new version.
func options(seed uint64) Options {
	return Options{Seed: seed, Nodes: 61, OldTargets: 27, NewTargets: 27, PerSecond: 500, WorkMillis: 100, Config: config}
}

// constant returns a rate of failures that does not change.
func constant(p float64) func(int, int, clock.Millis) float64 {
	return func(int, int, clock.Millis) float64 { return p }
}

// checkHistory fails the test unless the status rows are running and then at most one
// outcome.
func checkHistory(t *testing.T, f *Fleet) {
	t.Helper()
	outcome := canary.Pending
	for i, s := range f.Store.History {
		switch {
		case i == 0 && s.Phase != canary.Running:
			t.Fatalf("first status is %v", s.Phase)
		case outcome != canary.Pending:
			t.Fatalf("status %v after %v", s.Phase, outcome)
		case s.Phase.Final():
			outcome = s.Phase
		}
	}
}

// checkExposure fails the test if a faulty version has got more requests than it may.
func checkExposure(t *testing.T, f *Fleet) {
	t.Helper()
	r := f.Result
	if limit := config.Share*float64(r.Old+r.New) + config.Slack; float64(r.New) > limit {
		t.Fatalf("seed %d: %d of %d requests reached the new version, more than %.0f", f.Seed, r.New, r.Old+r.New, limit)
	}
	if r.FiftiethBadAt > 0 && r.LastNewAt > r.FiftiethBadAt+config.RollbackMillis {
		t.Fatalf("seed %d: request %v after the 50th bad answer", f.Seed, r.LastNewAt-r.FiftiethBadAt)
	}
}

// rollOut runs a rollout to its deadline and some time more.
func rollOut(o Options, change func(f *Fleet)) *Fleet {
	f := NewFleet(o)
	f.Run(warmUp)
	f.Order(New, testDuration)
	if change != nil {
		change(f)
	}
	f.Run(testDuration + after)
	return f
}

// TestGoodVersion guards against a good version that is not completed by its deadline,
// with cold targets, with noise, with few requests and in fleets of other sizes.
func TestGoodVersion(t *testing.T) {
	for name, change := range map[string]func(o *Options){
		"usual":        func(*Options) {},
		"noise":        func(o *Options) { o.Trouble = func(clock.Millis) (float64, float64) { return 0.15, 1 } },
		"few requests": func(o *Options) { o.PerSecond = 5 },
		"no requests":  func(o *Options) { o.PerSecond = 0 },
		"few targets":  func(o *Options) { o.NewTargets = 2 },
		"small fleet":  func(o *Options) { o.Nodes, o.OldTargets, o.NewTargets = 16, 8, 8 },
		"trouble": func(o *Options) {
			o.Trouble = func(since clock.Millis) (float64, float64) {
				if since > 3*clock.Second && since < 5*clock.Second {
					return 0.5, 3
				}
				return 0, 1
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(3) {
				o := options(seed)
				change(&o)
				f := NewFleet(o)
				f.Run(warmUp)
				f.Order(New, testDuration)
				f.Run(testDuration)
				is.Equal(f.Store.Status().Phase, canary.Completed)
				checkHistory(t, f)
				is.Equal(f.Result.Refused, 0)
			}
		})
	}
}

// TestFaultyVersion guards against a faulty version that gets more requests than it may,
// that is completed, or that is found late.
func TestFaultyVersion(t *testing.T) {
	for name, change := range map[string]func(o *Options){
		"100 in 100": func(o *Options) { o.NewFails = constant(1) },
		"20 in 100":  func(o *Options) { o.NewFails = constant(0.2) },
		"5 in 100":   func(o *Options) { o.NewFails = constant(0.05) },
		"3 x slow":   func(o *Options) { o.NewFactor = 3 },
		"5 x slow":   func(o *Options) { o.NewFactor = 5 },
		"one route": func(o *Options) {
			o.NewFails = func(route, _ int, _ clock.Millis) float64 {
				if route == 1 {
					return 0.3
				}
				return 0
			}
		},
		"later": func(o *Options) {
			o.NewFails = func(_, _ int, since clock.Millis) float64 {
				if since > 8*clock.Second {
					return 0.5
				}
				return 0
			}
		},
		"under load": func(o *Options) {
			o.NewFails = func(_, calls int, _ clock.Millis) float64 {
				if calls > 2 {
					return 0.5
				}
				return 0
			}
		},
		"small fleet": func(o *Options) {
			o.Nodes, o.OldTargets, o.NewTargets = 16, 8, 8
			o.NewFails = constant(1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(3) {
				o := options(seed)
				change(&o)
				f := rollOut(o, nil)
				is.Equal(f.Store.Status().Phase, canary.RolledBack)
				checkHistory(t, f)
				checkExposure(t, f)
			}
		})
	}
}

// TestWithoutOrder guards against messages, calls to the store and decisions while there is
// no order.
func TestWithoutOrder(t *testing.T) {
	is := is.New(t)
	f := NewFleet(options(1))
	for _, h := range f.Nodes {
		f.ReadOrders(h)
	}
	f.Run(10 * clock.Second)
	is.Equal(f.Result.Messages, 0)
	is.Equal(f.Store.Calls(), 0)
	is.Equal(len(f.Result.Notes), 0)
	is.Equal(f.Result.Refused, 0)
	for _, h := range f.Nodes {
		is.True(!h.Node.Active())
		_, labelled := h.Node.Label(Service)
		is.True(!labelled)
	}
	is.Equal(fmt.Sprint(f.Store.Status()), fmt.Sprint(canary.Status{}))
}
