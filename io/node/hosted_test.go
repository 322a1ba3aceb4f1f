package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/feed"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
	"hickoryrail/core/report"
	"hickoryrail/core/retry"
	"hickoryrail/core/sets"
	"hickoryrail/io/admin"
	"hickoryrail/io/conf"
	"hickoryrail/io/plat"
	"hickoryrail/io/proxy"
)

// pauseAfterRelease is longer than a node takes to wait for changes again after one.
const pauseAfterRelease = 1500 * time.Millisecond

type (
	// fakePlatform is a fake of the platform for hosted nodes. It implements plat.Source
	// with one release and plat.Directory, and its endpoints do nothing.
	fakePlatform struct {
		// mu guards the fields below.
		mu      sync.Mutex
		release model.Release
		// position is the state of the platform, and releaseRevision the revision at which
		// release was written.
		position        feed.Position
		releaseRevision ident.Revision
		// down makes all calls fail, and refused those of single nodes to the source.
		down    bool
		refused sets.Set[ident.NodeID]
		// newestFails makes reads of the newest release fail.
		newestFails bool
		seeds       map[ident.NodeID]member.Seed
		// changed is closed when the release changes.
		changed chan struct{}
		// waits counts the waits for a change that returned a release, and reads the
		// successful reads of the newest release.
		waits, reads int
		// controls holds the Control of each node, in order of their start.
		controls []Control
		// dialect is that of the nodes, and log receives their logs unless it is nil; set
		// before they start.
		dialect proxy.Dialect
		log     io.Writer
	}

	// nodeSource is the platform as one node's source.
	nodeSource struct {
		*fakePlatform
		node ident.NodeID
	}

	// noopEndpoint is an endpoint without a server.
	noopEndpoint struct{}
)

func (noopEndpoint) Open() error { return nil }

func (noopEndpoint) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (noopEndpoint) Drain(context.Context) error { return nil }

func (s nodeSource) Newest(ctx context.Context) (feed.Answer, error) {
	if s.refuses() {
		return feed.Answer{}, plat.ErrNotFound
	}
	return s.fakePlatform.Newest(ctx)
}

func (s nodeSource) Next(ctx context.Context, after ident.Revision, hold clock.Millis) (feed.Answer, error) {
	if s.refuses() {
		return feed.Answer{}, plat.ErrNotFound
	}
	a, err := s.fakePlatform.Next(ctx, after, hold)
	if s.refuses() {
		return feed.Answer{}, plat.ErrNotFound
	}
	return a, err
}

// refuses reports whether the source refuses the node's calls.
func (s nodeSource) refuses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused.Has(s.node)
}

func (h *fakePlatform) Newest(context.Context) (feed.Answer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.newestFails || h.down {
		return feed.Answer{}, plat.ErrNotFound
	}
	h.reads++
	return feed.Answer{Release: h.release, Position: h.position}, nil
}

func (h *fakePlatform) Next(ctx context.Context, after ident.Revision, hold clock.Millis) (feed.Answer, error) {
	for {
		h.mu.Lock()
		a, written, down, changed := feed.Answer{Release: h.release, Position: h.position}, h.releaseRevision, h.down, h.changed
		if written > after && !down {
			h.waits++
		}
		h.mu.Unlock()
		switch {
		case down:
			return feed.Answer{}, plat.ErrNotFound
		case after > a.Position.Revision:
			return feed.Answer{Position: feed.Position{Era: a.Position.Era}}, plat.ErrRevisionUnknown
		case written > after:
			return a, nil
		}
		select {
		case <-ctx.Done():
			return feed.Answer{}, ctx.Err()
		case <-time.After(hold.Duration()):
			return feed.Answer{Position: a.Position}, nil
		case <-changed:
		}
	}
}

// publish replaces the release of the source by one with another timeout.
func (h *fakePlatform) publish(t *testing.T) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.release.Configuration
	c.Rules.Routes = slices.Clone(c.Rules.Routes)
	c.Rules.Routes[0].TimeoutMillis++
	r, err := model.NewRelease(h.release.Version+1, "e", c)
	if err != nil {
		t.Fatal(err)
	}
	h.release = r
	h.position.Revision++
	h.releaseRevision = h.position.Revision
	h.wake()
}

// wake makes the waits for changes look at the state again. The caller holds mu.
func (h *fakePlatform) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// change changes the state of the platform.
func (h *fakePlatform) change(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	h.wake()
}

func (h *fakePlatform) Register(_ context.Context, s member.Seed) (ident.Era, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return 0, plat.ErrNotFound
	}
	h.seeds[s.Node] = s
	return h.position.Era, nil
}

func (h *fakePlatform) Nodes(context.Context) ([]member.Seed, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return nil, plat.ErrNotFound
	}
	var out []member.Seed
	for _, s := range h.seeds {
		out = append(out, s)
	}
	return out, nil
}

// newFakePlatform returns a platform whose release has one route, to the service orders.
func newFakePlatform(t *testing.T) *fakePlatform {
	t.Helper()
	r, err := model.NewRelease(1, "e", model.Configuration{
		Inventory: model.Inventory{Services: []model.Service{{Name: "orders", Connections: 9, TargetSlots: true}}},
		Rules: model.Rules{Routes: []model.Route{{
			Name: "r", Host: "orders.example", PathPrefix: "/o/", Service: "orders", Class: model.Action,
			TimeoutMillis: 2000, MaxAttempts: 2, HedgeAfterMillis: -1,
		}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return &fakePlatform{release: r, position: feed.Position{Revision: 1}, releaseRevision: 1, log: io.Discard, seeds: make(map[ident.NodeID]member.Seed), changed: make(chan struct{})}
}

// start starts a hosted node, which the test has to stop.
func (h *fakePlatform) start(t *testing.T, id ident.NodeID) (*Node, *conf.Settings) {
	t.Helper()
	s, err := conf.Parse(`Node = "` + string(id) + `"
FailureDomain = "d"
Region = "r"
Service = "orders"
Platform = "rows"
CallerAddress = "127.0.0.1:0"
AdminAddress = "127.0.0.1:0"
PeerAddress = "127.0.0.1:0"
ReadyAddress = "127.0.0.1:0"
PlatformURL = "http://127.0.0.1:1"
`)
	if err != nil {
		t.Fatal(err)
	}
	n, err := NewHosted(Hosted{
		Settings: s, Dialect: h.dialect, Source: nodeSource{h, id}, Directory: h, Retries: retry.WindowBudget{Fixed: 9, WindowMillis: clock.Second, Nodes: 1},
		Endpoint: func(c Control) Endpoint {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.controls = append(h.controls, c)
			return noopEndpoint{}
		},
	}, h.log)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return n, &s
}

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
