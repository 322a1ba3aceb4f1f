package node

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"hickoryrail/core/canary"
	"hickoryrail/core/clock"
	"hickoryrail/core/feed"
	"hickoryrail/core/fresh"
	"hickoryrail/core/grant"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
	"hickoryrail/core/retry"
	"hickoryrail/core/sets"
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
		// cut holds the nodes that are cut off from all others, but not from the platform.
		cut sets.Set[ident.NodeID]
		// invalid makes answers with a release refuse it.
		invalid bool
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
		// rollouts are the settings of rollouts of the nodes, set before they start. orders
		// are the orders in the source, and ordersRevision is the revision at which they were
		// written; nil if the nodes do not handle orders.
		rollouts       canary.Config
		orders         *canary.Orders
		ordersRevision ident.Revision
		// statuses are the status rows, and statusCalls the calls about them.
		statuses    map[ident.ServiceName]canary.Status
		statusCalls int
		// dialect is that of the nodes, and log receives their logs unless it is nil; set
		// before they start.
		dialect proxy.Dialect
		log     io.Writer
		// usageCaps are the settings of usage caps of the nodes, and linkBits is the rate of
		// their links, 0 if it is unknown.
		usageCaps grant.Config
		linkBits  int64
		// revocation and proofClock are those of the nodes; set before they start.
		revocation fresh.Config
		proofClock clock.Clock
		// began is the start of the platform's steady clock.
		began time.Time
		// holds holds the hold of each wait for a change.
		holds []clock.Millis
		// departures holds the departure rows, and prober is that of the nodes; it is set
		// before they start.
		departures *fakeDepartures
		prober     Prober
	}

	// nodeSource is the platform as one node's source.
	nodeSource struct {
		*fakePlatform
		node ident.NodeID
	}

	// cutTransport drops the control messages of a node while it or the receiver is cut off.
	cutTransport struct {
		transport
		platform *fakePlatform
		node     ident.NodeID
	}

	// noopEndpoint is an endpoint without a server.
	noopEndpoint struct{}
)

// errInvalidRelease is the error of an answer with an invalid release.
var errInvalidRelease = fmt.Errorf("%w: Route/r/TimeoutMillis", plat.ErrReleaseRefused)

func (c cutTransport) SendControl(to ident.NodeID, address string, body []byte) {
	c.platform.mu.Lock()
	dropped := c.platform.cut.Has(c.node) || c.platform.cut.Has(to)
	c.platform.mu.Unlock()
	if !dropped {
		c.transport.SendControl(to, address, body)
	}
}

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
	if h.invalid {
		return feed.Answer{Position: h.position}, errInvalidRelease
	}
	return feed.Answer{Release: h.release, Position: h.position, StoreMillis: h.millis(), Orders: h.ordersAt(true)}, nil
}

// ordersAt returns the orders for an answer; nil without rollouts. The caller holds mu.
func (h *fakePlatform) ordersAt(whole bool) *canary.Orders {
	if !h.rollouts.Enabled() {
		return nil
	}
	o := canary.Orders{Whole: whole, Era: h.position.Era, Revision: h.position.Revision}
	if h.orders != nil {
		o.List = h.orders.List
	}
	return &o
}

// order writes an order.
func (h *fakePlatform) order(o canary.Order) {
	h.change(func() {
		h.position.Revision++
		o.Era, o.Revision = h.position.Era, h.position.Revision
		h.orders, h.ordersRevision = &canary.Orders{List: []canary.Order{o}}, o.Revision
	})
}

func (h *fakePlatform) ReadStatus(_ context.Context, service ident.ServiceName) (canary.Status, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.statusCalls++
	return h.statuses[service], nil
}

func (h *fakePlatform) WriteStatus(_ context.Context, service ident.ServiceName, s canary.Status) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.statusCalls++
	if h.statuses[service].Revision != s.Revision {
		return plat.ErrConflict
	}
	if h.statuses == nil {
		h.statuses = make(map[ident.ServiceName]canary.Status)
	}
	h.position.Revision++
	s.Revision = h.position.Revision
	h.statuses[service] = s
	return nil
}

// millis returns the platform's steady clock.
func (h *fakePlatform) millis() clock.Millis { return clock.FromDuration(time.Since(h.began)) }

func (h *fakePlatform) Next(ctx context.Context, after ident.Revision, hold clock.Millis) (feed.Answer, error) {
	h.mu.Lock()
	h.holds = append(h.holds, hold)
	h.mu.Unlock()
	for {
		h.mu.Lock()
		a, written, down, changed := feed.Answer{Release: h.release, Position: h.position}, h.releaseRevision, h.down, h.changed
		invalid, ordered, orders := h.invalid, h.ordersRevision, h.ordersAt(false)
		if written > after && !down {
			h.waits++
		}
		h.mu.Unlock()
		switch {
		case down:
			return feed.Answer{}, plat.ErrNotFound
		case after > a.Position.Revision:
			return feed.Answer{Position: feed.Position{Era: a.Position.Era}}, plat.ErrRevisionUnknown
		case written > after && invalid:
			return feed.Answer{Position: a.Position}, errInvalidRelease
		case written > after:
			a.StoreMillis = h.millis()
			return a, nil
		case ordered > after:
			return feed.Answer{Position: a.Position, Orders: orders}, nil
		}
		select {
		case <-ctx.Done():
			return feed.Answer{}, ctx.Err()
		case <-time.After(hold.Duration()):
			return feed.Answer{Position: a.Position, StoreMillis: h.millis()}, nil
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
	return &fakePlatform{release: r, position: feed.Position{Revision: 1}, releaseRevision: 1, log: io.Discard, began: time.Now(), seeds: make(map[ident.NodeID]member.Seed), changed: make(chan struct{}), departures: &fakeDepartures{}}
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
	s.Limits.LinkBitsPerSecond = h.linkBits
	if h.prober != nil {
		s.TargetEndpoint = "127.0.0.1:9"
	}
	n, err := NewHosted(Hosted{
		Settings: s, UsageCaps: h.usageCaps, Dialect: h.dialect, Revocation: h.revocation, proofClock: h.proofClock, Source: nodeSource{h, id}, Directory: h, Statuses: h, Departures: h.departures, Prober: h.prober, Rollouts: h.rollouts,
		Retries: retry.WindowBudget{Fixed: 9, WindowMillis: clock.Second, Nodes: 1},
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
	n.fleet.transport = cutTransport{transport: n.fleet.transport, platform: h, node: id}
	if err := n.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return n, &s
}
