package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/canary"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// rolloutFleet is a fleet of three hosted nodes: a has a target of the version v1, b one of
// v2, and c none.
type rolloutFleet struct {
	platform *fakePlatform
	nodes    []*Node
	// requests counts the requests of each target, and status is the answer of b's.
	requests [2]atomic.Int64
	status   atomic.Int64
}

// newRolloutFleet starts the nodes; they stop with the test.
func newRolloutFleet(t *testing.T, config canary.Config) *rolloutFleet {
	t.Helper()
	f := &rolloutFleet{platform: newFakePlatform(t)}
	f.platform.rollouts = config
	f.status.Store(http.StatusOK)
	for _, id := range []ident.NodeID{"a", "b", "c"} {
		n, _ := f.platform.start(t, id)
		f.nodes = append(f.nodes, n)
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			if err := n.Stop(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	for i := range f.requests {
		target := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			f.requests[i].Add(1)
			if i == 1 {
				w.WriteHeader(int(f.status.Load()))
			}
		})}
		l := listen(t)
		go func() { _ = target.Serve(l) }()
		t.Cleanup(func() { _ = target.Close() })
		r := targetReport(ident.TargetID(f.nodes[i].ID()), l.Addr().String(), 1)
		r.Software = []ident.SoftwareVersion{"v1", "v2"}[i]
		if err := f.platform.controls[i].Report(r); err != nil {
			t.Fatal(err)
		}
	}
	await(t, "two targets at all nodes", func() bool {
		for _, n := range f.nodes {
			if n.RoutableTargets() != 2 || !n.Ready() {
				return false
			}
		}
		return true
	})
	return f
}

// phase returns the phase of the status row.
func (f *rolloutFleet) phase() canary.Phase {
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	return f.platform.statuses["orders"].Phase
}

// TestRollout guards against a rollout of which a part is not connected: a good version is
// completed and then gets all requests, and a faulty one is rolled back and then gets none.
func TestRollout(t *testing.T) {
	for _, c := range []struct {
		status int64
		want   canary.Phase
	}{{http.StatusOK, canary.Completed}, {http.StatusInternalServerError, canary.RolledBack}} {
		t.Run(c.want.String(), func(t *testing.T) {
			is := is.New(t)
			f := newRolloutFleet(t, canary.Config{Share: 0.3, Slack: 50, RollbackMillis: 5 * clock.Second})
			f.status.Store(c.status)
			f.platform.order(canary.Order{Service: "orders", To: "v2", DurationMillis: 6 * clock.Second})
			await(t, "the label at all nodes", func() bool {
				for _, n := range f.nodes {
					if v := n.ingress.View(); len(v.Targets("orders")) != 2 || v.Targets("orders")[1].Software != "v2" {
						return false
					}
				}
				return true
			})
			await(t, "the outcome", func() bool {
				statusOf(t, f.nodes[0])
				statusOf(t, f.nodes[2])
				return f.phase() == c.want
			})
			await(t, "the outcome at all nodes", func() bool {
				known := 0
				for _, n := range f.nodes {
					r := n.fleet.rollouts
					r.mu.Lock()
					r.node.Totals(func(_ ident.ServiceName, p canary.Phase, _, _ canary.Totals) {
						if p == c.want {
							known++
						}
					})
					r.mu.Unlock()
				}
				return known == len(f.nodes)
			})
			var before [2]int64
			for i := range before {
				before[i] = f.requests[i].Load()
			}
			for range 20 {
				for _, n := range f.nodes {
					is.Equal(statusOf(t, n), http.StatusOK)
				}
			}
			unused := 0
			if c.want == canary.RolledBack {
				unused = 1
			}
			is.Equal(f.requests[unused].Load(), before[unused])
			is.Equal(f.requests[1-unused].Load(), before[1-unused]+60)
		})
	}
}

// TestNoRollout guards against messages, calls to the store and other choices of targets
// while rollouts are on and there is no order.
func TestNoRollout(t *testing.T) {
	is := is.New(t)
	f := newRolloutFleet(t, canary.Config{Share: 0.1, Slack: 50})
	for range 20 {
		for _, n := range f.nodes {
			is.Equal(statusOf(t, n), http.StatusOK)
		}
	}
	is.True(f.requests[0].Load() > 0)
	is.True(f.requests[1].Load() > 0)
	f.platform.mu.Lock()
	is.Equal(f.platform.statusCalls, 0)
	f.platform.mu.Unlock()
	for _, n := range f.nodes {
		is.True(!n.fleet.rollouts.active.Load())
		for _, r := range n.fleet.records() {
			is.Equal(r.Software, ident.SoftwareVersion(""))
		}
	}
}
