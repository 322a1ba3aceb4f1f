package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/io/admin"
	"hickoryrail/io/stub"
	"hickoryrail/io/wire"
)

// TestRestartKeepsTheFloor guards against a restarted node that puts an older
// release in force than its slot held, because the platform is down and the first
// peer that it hears lags behind (I1).
func TestRestartKeepsTheFloor(t *testing.T) {
	r := newRig(t)
	lagging := &slot{name: "node-1"}
	lagging.drop = func(_ ident.NodeID, m wire.Control) bool { return lagging.frozen.Load() && isBody(m, 1) }
	r.start(lagging)
	current := r.start(&slot{name: "node-2"})
	old := r.start(&slot{name: "node-3"})
	r.publish(current, 0, configuration(1, "orders"))
	r.everywhere(1, 0, lagging, current, old)
	lagging.frozen.Store(true)
	r.publish(current, 1, configuration(2, "orders"))
	r.everywhere(2, 0, current, old)
	r.await("record of the slot's version", func() bool {
		for _, m := range lagging.status.Fleet() {
			if m.Node == old.name && m.Held == 2 {
				return true
			}
		}
		return false
	})
	r.stop(old)
	r.publish(current, 2, configuration(3, "orders"))
	r.everywhere(3, 0, current)
	r.platform.SetDown(true)
	again := &slot{name: old.name}
	again.drop = func(from ident.NodeID, _ wire.Control) bool {
		return from == current.name && again.decided(reasonFloorPeers) == 0
	}
	r.start(again)
	r.await("newest release on the restarted node", func() bool { return again.Ready() && again.Version() == 3 })
	if lagging.Version() != 1 {
		t.Fatalf("the lagging node has version %d", lagging.Version())
	}
	for _, release := range again.releases() {
		if release.Version < 2 {
			t.Errorf("version %d in force; the slot had held 2", release.Version)
		}
	}
}

// TestBadReleaseIsRefusedWhole guards against a release that a faulty writer left
// at the platform and that some node puts in force, in whole or in part, or that
// keeps a later good one out (I3, I9).
func TestBadReleaseIsRefusedWhole(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	nodes := []*slot{r.start(&slot{name: "node-1"}), r.start(&slot{name: "node-2"}), r.start(&slot{name: "node-3"})}
	r.publish(nodes[0], 0, configuration(1, "orders", "catalogue"))
	r.everywhere(1, 0, nodes...)
	invalid := configuration(2, "orders", "catalogue")
	invalid.Inventory.Services = invalid.Inventory.Services[:1] // the other route has no service
	bad := model.Release{Version: 2, EditID: "bad-2", Digest: invalid.Digest(), Configuration: invalid}
	other, err := model.NewRelease(3, "bad-3", configuration(3, "orders"))
	is.NoErr(err)
	forged := other
	forged.Configuration = configuration(4, "orders")
	cut, err := model.NewRelease(4, "bad-4", configuration(4, "orders"))
	is.NoErr(err)
	refusals := func() int {
		return nodes[0].decided(reasonRefused) + nodes[1].decided(reasonRefused) + nodes[2].decided(reasonRefused)
	}
	half := model.EncodeRelease(cut)
	half = half[:len(half)-1]
	for _, c := range []struct {
		release model.Release
		body    []byte
	}{{bad, model.EncodeRelease(bad)}, {other, model.EncodeRelease(forged)}, {cut, half}} {
		before := refusals()
		r.plant(c.release, c.body)
		r.await("logged refusal", func() bool { return refusals() > before })
	}
	good, err := model.NewRelease(5, "good", configuration(5, "orders"))
	is.NoErr(err)
	r.plant(good, model.EncodeRelease(good))
	r.everywhere(5, 0, nodes...)
	for _, s := range nodes {
		var versions []ident.Version
		for _, release := range s.releases() {
			versions = append(versions, release.Version)
		}
		is.Equal(versions, []ident.Version{1, 5}) // nothing between
		is.Equal(s.view().Release().Digest, good.Digest)
	}
}

// TestRacingOperators guards against an accepted edit that is lost, doubled or in
// another order on some node, while the platform goes down and answers and
// requests are lost (I9).
func TestRacingOperators(t *testing.T) {
	const edits = 8
	is := is.New(t)
	r := newRig(t)
	nodes := []*slot{r.start(&slot{name: "node-1"}), r.start(&slot{name: "node-2"}), r.start(&slot{name: "node-3"})}
	r.publish(nodes[0], 0, configuration(1, "orders"))
	r.everywhere(1, 0, nodes...)
	var mu sync.Mutex
	accepted := map[ident.EditID]ident.Version{"edit-1": 1}
	refused := 0
	var group conc.WaitGroup
	for i, s := range nodes[:2] {
		group.Go(func() {
			for n := range edits {
				// Odd edits of both operators change the same field.
				c := configuration(1, "orders", ident.ServiceName(fmt.Sprintf("s-%d-%d", i, n)))
				if n%2 == 1 {
					c = configuration(2+2*n+i, "orders")
				}
				edit := admin.Edit{EditID: ident.EditID(fmt.Sprintf("op-%d-%d", i, n)), Base: 1, Operator: "o", Configuration: c}
				out, err := r.operator(s).Submit(context.Background(), edit)
				for end := time.Now().Add(patience); err != nil && time.Now().Before(end); {
					out, err = r.operator(s).Submit(context.Background(), edit)
				}
				mu.Lock()
				switch {
				case err != nil:
					t.Errorf("%s: %v", edit.EditID, err)
				case out.State == admin.Accepted:
					accepted[edit.EditID] = out.Version
				default:
					refused++
				}
				mu.Unlock()
			}
		})
	}
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	r.headFaults.Store(true)
	random := rand.New(rand.NewPCG(5, 5))
	for ended, left := false, 150; !ended; left-- {
		faults := stub.Faults{
			Down: random.IntN(16) == 0, SlowMillis: clock.Millis(random.IntN(4)),
			LoseAnswers: random.IntN(8) / 7, LoseRequests: random.IntN(8) / 7,
		}
		if left <= 0 {
			faults = stub.Faults{}
		}
		r.platform.SetFaults(faults)
		select {
		case <-done:
			ended = true
		case <-time.After(20 * time.Millisecond):
		}
	}
	r.headFaults.Store(false)
	r.platform.SetFaults(stub.Faults{})
	is.True(refused > 0 && len(accepted) > 2) // both outcomes occur
	history, err := r.operator(nodes[2]).History(context.Background(), 100)
	is.NoErr(err)
	digests := make(map[ident.Version]ident.Digest)
	listed := make(map[ident.EditID]ident.Version)
	for _, h := range history {
		listed[h.EditID], digests[h.Version] = h.Version, h.Digest
	}
	is.Equal(len(history), len(accepted))
	is.Equal(listed, accepted)
	r.everywhere(history[0].Version, 0, nodes...)
	for _, s := range nodes {
		last := ident.Version(0)
		for _, release := range s.releases() {
			is.True(release.Version > last) // versions only grow
			is.Equal(release.Digest, digests[release.Version])
			last = release.Version
		}
	}
}

// TestServiceLeavesInOneStep guards against a route without its service or a
// target of a service that the release in force lacks, and against a call to a
// service without targets that is not refused as not run (I2).
func TestServiceLeavesInOneStep(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	nodes := []*slot{
		r.start(&slot{name: "node-1", service: "orders"}),
		r.start(&slot{name: "node-2", service: "catalogue"}), r.start(&slot{name: "node-3"}),
	}
	r.announce(nodes[0], 0)
	r.announce(nodes[1], 0)
	both := []ident.ServiceName{"orders", "catalogue"}
	r.publish(nodes[0], 0, configuration(5, append(both, "empty")...))
	r.everywhere(1, 2, nodes...)
	for _, s := range nodes {
		got := call(http.DefaultClient, s.CallerAddress(), "/empty", "none")
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(got.verdict, "NotRun")
	}
	work := newLoad(3, "/orders", nodes...)
	stop := make(chan struct{})
	var watch conc.WaitGroup
	for _, s := range nodes {
		watch.Go(func() {
			for {
				v := s.view()
				_, routed := v.Route("", "/catalogue")
				_, known := v.Service("catalogue")
				if has := len(v.Targets("catalogue")) > 0; routed != known || routed != has || routed != (v.Version()%2 == 1) {
					t.Errorf("%s, version %d: route %v, service %v, targets %v", s.name, v.Version(), routed, known, has)
				}
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Microsecond):
				}
			}
		})
	}
	for v := ident.Version(1); v < 5; v++ {
		c := configuration(5, both...)
		if v%2 == 1 {
			c = configuration(5, "orders")
		}
		r.publish(nodes[int(v)%3], v, c)
		r.everywhere(v+1, 2, nodes...)
		work.more(r, 20)
		for _, s := range nodes {
			got := call(http.DefaultClient, s.CallerAddress(), "/catalogue", fmt.Sprintf("c-%s-%d", s.name, v))
			is.Equal(got.status == http.StatusOK, v%2 == 0)
			is.Equal(got.status == http.StatusNotFound, v%2 == 1)
		}
	}
	close(stop)
	watch.Wait()
	work.end(t, false, nodes[0].target)
}
