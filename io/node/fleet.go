package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
	"hickoryrail/core/spread"
	"hickoryrail/core/view"
	"hickoryrail/io/logs"
	"hickoryrail/io/proxy"
	"hickoryrail/io/wire"
)

const (
	// fleetTick is the period of the membership and distribution timers. Views
	// are rebuilt at most once per tick for changes of members.
	fleetTick = 100 * time.Millisecond
)

// Reasons of releases and members.
const (
	reasonInForce = "release put in force"
	reasonRefused = "release refused: not whole, valid and newer"
)

type (
	// fleet joins membership and release distribution, and puts views in force.
	// It serializes the events of both state machines.
	fleet struct {
		clock     clock.Clock
		transport transport
		ingress   *proxy.Ingress
		gateway   *proxy.Gateway
		log       logs.Sink
		service   ident.ServiceName
		metrics   *metrics
		// readRelease asks the source for a release, and needSource for whatever
		// it holds. Neither may block.
		readRelease func(v ident.Version, d ident.Digest)
		needSource  func()

		// mu guards the state machines and the fields below. It is held before
		// the locks of ingress and gateway.
		mu       sync.Mutex
		table    *member.Table
		releases *spread.Node
		// inForce is the release of the current view; its version never falls.
		inForce model.Release
		// index has the routes of inForce.
		index *view.Index
		// seen is the table's sequence of the current view.
		seen uint64
		// stale says that the view has to be rebuilt.
		stale      bool
		neighbours []spread.Neighbour
	}
)

// receive takes a control message of another node. Malformed ones are dropped.
func (f *fleet) receive(from ident.NodeID, body []byte) {
	m, err := wire.DecodeControl(body)
	if err != nil {
		f.metrics.malformed.Inc()
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil {
		return // the transport listens before the fleet starts
	}
	now := f.clock.Now()
	if m.Member != nil {
		f.gossip(f.table.Receive(now, from, *m.Member))
		f.perform(f.releases.PeerHeld(now, from, m.Member.Held))
	}
	if m.Spread != nil {
		f.perform(f.releases.Receive(now, from, *m.Spread))
	}
	f.refresh(now)
}

// run drives the timers until ctx ends.
func (f *fleet) run(ctx context.Context) error {
	return every(ctx, fleetTick, f.tick)
}

// tick does what is due.
func (f *fleet) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.gossip(f.table.Tick(now))
	f.setNeighbours(now)
	f.perform(f.releases.Tick(now))
	if f.table.Sequence() != f.seen {
		f.stale = true
	}
	f.refresh(now)
}

// setNeighbours passes a change of the overlay on to the distribution.
func (f *fleet) setNeighbours(now clock.Millis) {
	records := f.table.Neighbours()
	neighbours := make([]spread.Neighbour, len(records))
	for i, r := range records {
		neighbours[i] = spread.Neighbour{Node: r.Node, Address: r.PeerAddress}
	}
	if !slices.Equal(neighbours, f.neighbours) {
		f.neighbours = neighbours
		f.perform(f.releases.SetNeighbours(now, neighbours))
	}
}

// leave tells the neighbours that the node stops.
func (f *fleet) leave(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gossip(f.table.Leave(f.clock.Now()))
	return nil
}

// setTarget tells the fleet of the target beside the node.
func (f *fleet) setTarget(service ident.ServiceName, id ident.TargetID, state member.TargetState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.gossip(f.table.SetTarget(now, service, id, state))
	f.stale = true
	f.refresh(now)
}

// setFloor sets the version below which nothing is put in force.
func (f *fleet) setFloor(v ident.Version) {
	f.event(func(now clock.Millis) []spread.Action { return f.releases.SetFloor(now, v) })
}

// sourceHead tells what the source holds.
func (f *fleet) sourceHead(v ident.Version, d ident.Digest) {
	f.event(func(now clock.Millis) []spread.Action { return f.releases.SourceHead(now, v, d) })
}

// sourceRelease takes a release that was read from the source.
func (f *fleet) sourceRelease(r model.Release) {
	f.event(func(now clock.Millis) []spread.Action { return f.releases.SourceRelease(now, r) })
}

// readerPulse tells the region that its reader is at work.
func (f *fleet) readerPulse(region ident.Region, epoch ident.Epoch) {
	f.event(func(now clock.Millis) []spread.Action { return f.releases.ReaderHeartbeat(now, region, epoch) })
}

// event passes an event to the distribution and carries out its actions.
func (f *fleet) event(do func(now clock.Millis) []spread.Action) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.perform(do(now))
	f.refresh(now)
}

// pulseAge returns the time since a region's reader was last seen at work.
func (f *fleet) pulseAge(region ident.Region) clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.releases.HeartbeatAge(f.clock.Now(), region)
}

// peerFloor returns the highest version that peers hold or have recorded for this
// node, and whether there is a live peer that could know.
func (f *fleet) peerFloor() (ident.Version, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.releases.HighestSeen(), f.table.RecordedHeld()), f.table.Size() > 1
}

// records returns the records of all known nodes.
func (f *fleet) records() []member.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil {
		return nil
	}
	return f.table.Records()
}

// size returns the number of live nodes in a region.
func (f *fleet) size(region ident.Region) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.RegionSize(region)
}

// limits returns the slots and connections of a service's targets. A service
// that no release in force has gets 1 of each, and no view routes to it.
func (f *fleet) limits(name ident.ServiceName) (ident.Slots, ident.Connections) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.inForce.Configuration.Inventory.Services {
		if s.Name == name {
			return s.Slots, s.Connections
		}
	}
	return 1, 1
}

// gossip sends membership messages. The caller holds mu.
func (f *fleet) gossip(actions []member.Action) {
	for _, a := range actions {
		f.send(a.To, a.Address, wire.Control{Member: &a.Message})
	}
}

// perform carries out actions of the distribution. The caller holds mu.
func (f *fleet) perform(actions []spread.Action) {
	for _, a := range actions {
		switch a.Kind {
		case spread.Send:
			f.send(a.To, a.Address, wire.Control{Spread: &a.Message})
		case spread.Apply:
			f.apply(a.Release)
		case spread.ReadRelease:
			f.readRelease(a.Version, a.Digest)
		case spread.NeedSource:
			f.needSource()
		}
	}
}

// send queues a control message.
func (f *fleet) send(to ident.NodeID, address string, m wire.Control) {
	body, err := wire.EncodeControl(m)
	if err != nil {
		f.metrics.malformed.Inc()
		return
	}
	f.transport.SendControl(to, address, body)
}

// apply puts a release in force. The caller holds mu.
func (f *fleet) apply(r model.Release) {
	f.inForce, f.index, f.stale = r, view.NewIndex(r), true
	f.table.SetHeld(r.Version)
	f.metrics.version.Set(float64(r.Version))
	f.log.Record(logs.Decision{At: f.clock.Now(), Kind: logs.Release, Version: r.Version, Reason: reasonInForce})
	for _, s := range r.Configuration.Inventory.Services {
		if s.Name == f.service && !s.TargetSlots {
			f.gateway.Resize(s.Slots, s.Connections)
		}
	}
}

// refresh puts a new view in force if the old one is stale. The caller holds mu.
func (f *fleet) refresh(clock.Millis) {
	if !f.stale || f.inForce.Version == 0 {
		return
	}
	f.stale, f.seen = false, f.table.Sequence()
	f.ingress.SetView(f.index.Join(f.table.Records()), f.table.Size())
}

// changed logs a change of a member's state.
func (f *fleet) changed(_, later member.Record, reason string) {
	f.log.Record(logs.Decision{
		At: f.clock.Now(), Kind: logs.Member, Node: later.Node,
		Service: later.Service, Target: later.Target, Reason: reason,
	})
}

// refused logs a release that was not accepted.
func (f *fleet) refused(from ident.NodeID, v ident.Version, _ error) {
	f.metrics.refusedReleases.Inc()
	f.log.Record(logs.Decision{At: f.clock.Now(), Kind: logs.Release, Node: from, Version: v, Reason: reasonRefused})
}

// addSeeds tells the membership of nodes that a directory lists.
func (f *fleet) addSeeds(seeds []member.Seed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.AddSeeds(f.clock.Now(), seeds)
}

// served reports whether a release at or above the floor is in force.
func (f *fleet) served() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.releases.Ready() && f.inForce.Version > 0
}

// leadsDomain reports whether the node is one of the first live ones of its failure
// domain.
func (f *fleet) leadsDomain(count int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.LeadsDomain(count)
}

// alone reports whether no other node is known to be alive.
func (f *fleet) alone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Size() == 1
}
