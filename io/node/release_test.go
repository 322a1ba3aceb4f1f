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

// TestRestartKeepsTheFloor guards against a restarted node that puts an older release in
// force than it held before the restart: while the platform is down, the first peer that
// it receives a message from may lag behind (I1).
func TestRestartKeepsTheFloor(t *testing.T) {
	f := newTestFleet(t)
	lagging := &testNode{name: "node-1"}
	lagging.dropControl = func(_ ident.NodeID, m wire.Control) bool { return lagging.readsBlocked.Load() && carriesRelease(m, 1) }
	f.startNode(lagging)
	current := f.startNode(&testNode{name: "node-2"})
	original := f.startNode(&testNode{name: "node-3"})
	f.publish(current, 0, configuration(1, "orders"))
	f.awaitVersion(1, 0, lagging, current, original)
	lagging.readsBlocked.Store(true)
	f.publish(current, 1, configuration(2, "orders"))
	f.awaitVersion(2, 0, current, original)
	f.await("record of the version that the node holds", func() bool {
		for _, m := range lagging.status.Fleet() {
			if m.Node == original.name && m.Held == 2 {
				return true
			}
		}
		return false
	})
	f.stopNode(original)
	f.publish(current, 2, configuration(3, "orders"))
	f.awaitVersion(3, 0, current)
	f.platform.SetDown(true)
	restarted := &testNode{name: original.name}
	restarted.dropControl = func(from ident.NodeID, _ wire.Control) bool {
		return from == current.name && restarted.reasonCount(reasonFloorPeers) == 0
	}
	f.startNode(restarted)
	f.await("newest release on the restarted node", func() bool { return restarted.Ready() && restarted.Version() == 3 })
	if lagging.Version() != 1 {
		t.Fatalf("the lagging node has version %d", lagging.Version())
	}
	for _, release := range restarted.releases() {
		if release.Version < 2 {
			t.Errorf("version %d in force; the node held 2 before the restart", release.Version)
		}
	}
}

// TestBadReleaseIsRefusedWhole guards against an invalid release at the platform, written
// by a faulty writer, that some node puts in force, in whole or in part, or that blocks a
// later valid one (I3, I9).
func TestBadReleaseIsRefusedWhole(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	nodes := []*testNode{f.startNode(&testNode{name: "node-1"}), f.startNode(&testNode{name: "node-2"}), f.startNode(&testNode{name: "node-3"})}
	f.publish(nodes[0], 0, configuration(1, "orders", "catalogue"))
	f.awaitVersion(1, 0, nodes...)
	invalid := configuration(2, "orders", "catalogue")
	invalid.Inventory.Services = invalid.Inventory.Services[:1] // the other route has no service
	bad := model.Release{Version: 2, EditID: "bad-2", Digest: invalid.Digest(), Configuration: invalid}
	other, err := model.NewRelease(3, "bad-3", configuration(3, "orders"))
	is.NoErr(err)
	forged := other
	forged.Configuration = configuration(4, "orders")
	truncated, err := model.NewRelease(4, "bad-4", configuration(4, "orders"))
	is.NoErr(err)
	refusals := func() int {
		return nodes[0].reasonCount(reasonRefused) + nodes[1].reasonCount(reasonRefused) + nodes[2].reasonCount(reasonRefused)
	}
	truncatedBody := model.EncodeRelease(truncated)
	truncatedBody = truncatedBody[:len(truncatedBody)-1]
	for _, c := range []struct {
		release model.Release
		body    []byte
	}{{bad, model.EncodeRelease(bad)}, {other, model.EncodeRelease(forged)}, {truncated, truncatedBody}} {
		before := refusals()
		f.writeUnchecked(c.release, c.body)
		f.await("logged refusal", func() bool { return refusals() > before })
	}
	good, err := model.NewRelease(5, "good", configuration(5, "orders"))
	is.NoErr(err)
	f.writeUnchecked(good, model.EncodeRelease(good))
	f.awaitVersion(5, 0, nodes...)
	for _, s := range nodes {
		var versions []ident.Version
		for _, release := range s.releases() {
			versions = append(versions, release.Version)
		}
		is.Equal(versions, []ident.Version{1, 5}) // none of the invalid ones
		is.Equal(s.view().Release().Digest, good.Digest)
	}
}

// TestRacingOperators guards against an accepted edit of concurrent operators that is
// lost, duplicated or applied in another order on some node, while the platform goes down
// and loses requests and answers (I9).
func TestRacingOperators(t *testing.T) {
	const edits = 8
	is := is.New(t)
	f := newTestFleet(t)
	nodes := []*testNode{f.startNode(&testNode{name: "node-1"}), f.startNode(&testNode{name: "node-2"}), f.startNode(&testNode{name: "node-3"})}
	f.publish(nodes[0], 0, configuration(1, "orders"))
	f.awaitVersion(1, 0, nodes...)
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
				out, err := f.operatorClient(s).Submit(context.Background(), edit)
				for end := time.Now().Add(waitTimeout); err != nil && time.Now().Before(end); {
					out, err = f.operatorClient(s).Submit(context.Background(), edit)
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
	f.headFaults.Store(true)
	random := rand.New(rand.NewPCG(5, 5))
	for ended, faultRounds := false, 150; !ended; faultRounds-- {
		faults := stub.Faults{
			Down: random.IntN(16) == 0, SlowMillis: clock.Millis(random.IntN(4)),
			LoseAnswers: random.IntN(8) / 7, LoseRequests: random.IntN(8) / 7,
		}
		if faultRounds <= 0 {
			faults = stub.Faults{}
		}
		f.platform.SetFaults(faults)
		select {
		case <-done:
			ended = true
		case <-time.After(20 * time.Millisecond):
		}
	}
	f.headFaults.Store(false)
	f.platform.SetFaults(stub.Faults{})
	is.True(refused > 0 && len(accepted) > 2) // both outcomes occur
	history, err := f.operatorClient(nodes[2]).History(context.Background(), 100)
	is.NoErr(err)
	digests := make(map[ident.Version]ident.Digest)
	listed := make(map[ident.EditID]ident.Version)
	for _, h := range history {
		listed[h.EditID], digests[h.Version] = h.Version, h.Digest
	}
	is.Equal(len(history), len(accepted))
	is.Equal(listed, accepted)
	f.awaitVersion(history[0].Version, 0, nodes...)
	for _, s := range nodes {
		last := ident.Version(0)
		for _, release := range s.releases() {
			is.True(release.Version > last) // versions only increase
			is.Equal(release.Digest, digests[release.Version])
			last = release.Version
		}
	}
}

// TestServiceRemovalIsAtomic guards against a view with a route whose service is missing
// or a target of a service that is not in the release in force, and against a call to a
// service without targets that is not refused with the verdict NotRun (I2).
func TestServiceRemovalIsAtomic(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	nodes := []*testNode{
		f.startNode(&testNode{name: "node-1", service: "orders"}),
		f.startNode(&testNode{name: "node-2", service: "catalogue"}), f.startNode(&testNode{name: "node-3"}),
	}
	f.startTarget(nodes[0], 0)
	f.startTarget(nodes[1], 0)
	both := []ident.ServiceName{"orders", "catalogue"}
	f.publish(nodes[0], 0, configuration(5, append(both, "empty")...))
	f.awaitVersion(1, 2, nodes...)
	for _, s := range nodes {
		got := call(http.DefaultClient, s.CallerAddress(), "/empty", "none")
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(got.verdict, "NotRun")
	}
	traffic := startLoad(3, "/orders", nodes...)
	stop := make(chan struct{})
	var viewChecks conc.WaitGroup
	for _, s := range nodes {
		viewChecks.Go(func() {
			for {
				v := s.view()
				_, routed := v.Route("", "/catalogue")
				_, known := v.Service("catalogue")
				if hasTargets := len(v.Targets("catalogue")) > 0; routed != known || routed != hasTargets || routed != (v.Version()%2 == 1) {
					t.Errorf("%s, version %d: route %v, service %v, targets %v", s.name, v.Version(), routed, known, hasTargets)
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
		f.publish(nodes[int(v)%3], v, c)
		f.awaitVersion(v+1, 2, nodes...)
		traffic.awaitAnswers(f, 20)
		for _, s := range nodes {
			got := call(http.DefaultClient, s.CallerAddress(), "/catalogue", fmt.Sprintf("c-%s-%d", s.name, v))
			is.Equal(got.status == http.StatusOK, v%2 == 0)
			is.Equal(got.status == http.StatusNotFound, v%2 == 1)
		}
	}
	close(stop)
	viewChecks.Wait()
	traffic.stopAndCheck(t, false, nodes[0].target)
}
