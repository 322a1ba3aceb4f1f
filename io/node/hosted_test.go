package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
	"hickoryrail/core/report"
	"hickoryrail/io/admin"
)

// await waits until ok returns true, and fails the test after 10 s.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not reached: %s", what)
}

// statusOf sends a request for the service orders and returns the status of its answer.
func statusOf(t *testing.T, n *Node) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+n.CallerAddress()+"/o/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "orders.example"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

// targetReport returns a report of a target of the service orders.
func targetReport(id ident.TargetID, address string, sequence uint64) admin.Report {
	return admin.Report{
		Status:       report.Status{Target: id, StartedAt: 1, Sequence: sequence},
		Announcement: admin.Announcement{Target: id, Service: "orders", Address: address},
		Slots:        2,
	}
}

// TestHostedNodes guards against hosted nodes that do not find each other, against a
// target that one of them cannot reach, and against requests that run after a drain.
func TestHostedNodes(t *testing.T) {
	is := is.New(t)
	h := newFakePlatform(t)
	a, _ := h.start(t, "a")
	b, _ := h.start(t, "b")
	target := http.Server{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	})}
	l := listen(t)
	go func() { _ = target.Serve(l) }()
	t.Cleanup(func() { _ = target.Close() })
	is.NoErr(h.controls[1].Report(targetReport("t", l.Addr().String(), 1)))
	await(t, "a target at the other node", func() bool { return a.RoutableTargets() == 1 && a.Ready() && b.Ready() })
	get := func(n *Node) int { return statusOf(t, n) }
	for _, n := range []*Node{a, b} {
		await(t, "an answer of the target", func() bool { return get(n) == http.StatusOK })
	}
	drain := targetReport("t", l.Addr().String(), 2)
	drain.Draining = true
	is.NoErr(h.controls[1].Report(drain))
	is.Equal(get(a), http.StatusServiceUnavailable)
	is.Equal(get(b), http.StatusServiceUnavailable)
	is.NoErr(h.controls[1].Report(targetReport("t", l.Addr().String(), 1))) // late
	is.Equal(get(b), http.StatusServiceUnavailable)
	http.DefaultClient.CloseIdleConnections()
	for _, n := range []*Node{a, b} {
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		is.NoErr(n.Stop(ctx)) // while each node waits for a change of the source
		cancel()
		is.True(time.Since(began) < 5*time.Second)
	}
}

// TestHostedWithoutSource guards against a node that waits for the source although
// another node has the release.
func TestHostedWithoutSource(t *testing.T) {
	is := is.New(t)
	h := newFakePlatform(t)
	a, _ := h.start(t, "a")
	await(t, "the release at the first node", a.Ready)
	h.mu.Lock()
	h.newestFails = true
	h.mu.Unlock()
	b, _ := h.start(t, "b")
	await(t, "the release at the second node", b.Ready)
	is.Equal(b.Version(), ident.Version(1))
	for _, n := range []*Node{a, b} {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		is.NoErr(n.Stop(ctx))
		cancel()
	}
}

// TestFewNodesWatch guards against a fleet in which every node reads each change of the
// source: configurations in quick succession then use up the bandwidth of links of 7 Mbit/s
// that requests need. It also guards against a node that misses a change because it does
// not wait for changes itself, or because the nodes that do have stopped.
func TestFewNodesWatch(t *testing.T) {
	is := is.New(t)
	h := newFakePlatform(t)
	var nodes []*Node
	for _, id := range []ident.NodeID{"a", "b", "c", "d", "e", "f"} {
		n, _ := h.start(t, id)
		nodes = append(nodes, n)
	}
	stopAll := func(list []*Node) {
		for _, n := range list {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			is.NoErr(n.Stop(ctx))
			cancel()
		}
	}
	allHold := func(list []*Node, v ident.Version) func() bool {
		return func() bool {
			return !slices.ContainsFunc(list, func(n *Node) bool { return n.Version() != v })
		}
	}
	size := func(n *Node) int {
		n.fleet.mu.Lock()
		defer n.fleet.mu.Unlock()
		return n.fleet.table.Size()
	}
	await(t, "a whole fleet", func() bool {
		return !slices.ContainsFunc(nodes, func(n *Node) bool { return size(n) != len(nodes) })
	})
	await(t, "the first release", allHold(nodes, 1))
	// Nodes that had started to wait before they knew each other return from that wait with
	// the first change.
	h.publish(t)
	await(t, "the second release", allHold(nodes, 2))
	time.Sleep(pauseAfterRelease)
	h.mu.Lock()
	h.waits, h.reads = 0, 0
	h.mu.Unlock()
	h.publish(t)
	await(t, "the third release", allHold(nodes, 3))
	time.Sleep(pauseAfterRelease)
	h.mu.Lock()
	is.True(h.waits >= 1 && h.waits <= watchersPerDomain)
	h.mu.Unlock()
	stopAll(nodes[:3])
	h.publish(t)
	await(t, "the fourth release", allHold(nodes[3:], 4))
	stopAll(nodes[3:])
}

// listen binds a loopback address until the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}
