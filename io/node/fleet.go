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
	"hickoryrail/io/uplink"
	"hickoryrail/io/wire"
)

const (
	// fleetTick is the period of the membership and distribution timers. Membership
	// changes cause at most one rebuild of the view per tick.
	fleetTick = 100 * time.Millisecond
)

// Reasons of logged release decisions.
const (
	reasonInForce = "release put in force"
	reasonRefused = "release refused: not whole, valid and newer"
)

// sourceStore is the name of the store as the source of a release; a neighbour's is its id.
const sourceStore = "store"

type (
	// fleet runs the state machines of membership and release distribution, and passes
	// the resulting views to the ingress. It serializes the events of both state machines.
	fleet struct {
		clock     clock.Clock
		transport transport
		ingress   *proxy.Ingress
		gateway   *proxy.Gateway
		// link is the link of the node's server; nil if its rate is unknown.
		link    *uplink.Link
		log     logs.Sink
		service ident.ServiceName
		metrics *metrics
		// rollouts handles the orders of rollouts; nil handles none.
		rollouts *rollouts
		// readRelease requests the given release from the source, and needSource the
		// newest one. Neither may block.
		readRelease func(v ident.Version, d ident.Digest)
		needSource  func()
		// freshness is nil unless revocation is strict.
		freshness *freshness

		// caps enforces usage caps; nil without them.
		caps *caps

		// mu guards the state machines and the fields below. It is acquired before the
		// locks of ingress, gateway and caps.
		mu       sync.Mutex
		table    *member.Table
		releases *spread.Node
		// inForce is the release of the current view; its version never decreases.
		inForce model.Release
		// index holds the routes of inForce; nil until a release is in force.
		index *view.Index
		// viewSequence is the sequence number of the member table from which the current
		// view was built.
		viewSequence uint64
		// capsStale reports whether a member has changed since caps received them;
		// capsSequence is the sequence number of the member table then, and capsUnheard
		// its number of unheard nodes.
		capsStale    bool
		capsSequence uint64
		capsUnheard  int
		// viewStale reports whether the view has to be rebuilt.
		viewStale bool
		// neighbours are the overlay neighbours that were last passed to releases.
		neighbours []spread.Neighbour
	}
)

// receive handles a control message of another node. Malformed messages are dropped.
func (f *fleet) receive(from ident.NodeID, body []byte) {
	m, err := wire.DecodeControl(body)
	if err != nil {
		f.metrics.malformedControl.Inc()
		return
	}
	if m.Grant != nil {
		f.receiveGrant(from, m.Grant)
		return
	}
	if m.Fresh != nil {
		f.freshness.receive(from, *m.Fresh)
		return
	}
	if m.Canary != nil {
		f.rollouts.receive(from, *m.Canary)
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
	f.refreshView(now)
}

// run drives the timers until ctx ends.
func (f *fleet) run(ctx context.Context) error {
	return every(ctx, fleetTick, f.tick)
}

// tick runs the timers of both state machines and rebuilds the view after a membership
// change.
func (f *fleet) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.gossip(f.table.Tick(now))
	f.setNeighbours(now)
	f.perform(f.releases.Tick(now))
	f.freshness.tick(f.table.Size())
	if f.table.Sequence() != f.viewSequence {
		f.viewStale = true
	}
	f.refreshCaps(now)
	f.refreshView(now)
}

// setNeighbours passes a changed set of overlay neighbours to the distribution.
func (f *fleet) setNeighbours(now clock.Millis) {
	records := f.table.Neighbours()
	neighbours := make([]spread.Neighbour, len(records))
	for i, r := range records {
		neighbours[i] = spread.Neighbour{Node: r.Node, Address: r.PeerAddress}
	}
	if !slices.Equal(neighbours, f.neighbours) {
		f.neighbours = neighbours
		f.perform(f.releases.SetNeighbours(now, neighbours))
		f.freshness.setNeighbours(neighbours)
	}
}

// leave notifies the neighbours that the node stops.
func (f *fleet) leave(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gossip(f.table.Leave(f.clock.Now()))
	return nil
}

// setTarget publishes the state of the local target in the node's member record.
func (f *fleet) setTarget(service ident.ServiceName, id ident.TargetID, state member.TargetState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.gossip(f.table.SetTarget(now, service, id, state))
	f.viewStale = true
	f.refreshView(now)
}

// setFloor sets the version floor: no release below it is put in force.
func (f *fleet) setFloor(v ident.Version) {
	f.dispatch(func(now clock.Millis) []spread.Action { return f.releases.SetFloor(now, v) })
}

// sourceHead passes the newest version and digest at the source to the distribution.
func (f *fleet) sourceHead(v ident.Version, d ident.Digest) {
	f.dispatch(func(now clock.Millis) []spread.Action { return f.releases.SourceHead(now, v, d) })
}

// sourceRelease passes a release that was read from the source to the distribution.
func (f *fleet) sourceRelease(r model.Release) {
	f.dispatch(func(now clock.Millis) []spread.Action { return f.releases.SourceRelease(now, r) })
}

// readerHeartbeat announces to the region that its reader is active.
func (f *fleet) readerHeartbeat(region ident.Region, epoch ident.Epoch) {
	f.dispatch(func(now clock.Millis) []spread.Action { return f.releases.ReaderHeartbeat(now, region, epoch) })
}

// dispatch passes an event to the distribution and performs the resulting actions.
func (f *fleet) dispatch(do func(now clock.Millis) []spread.Action) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.perform(do(now))
	f.refreshView(now)
}

// heartbeatAge returns the time since the last heartbeat of a region's reader.
func (f *fleet) heartbeatAge(region ident.Region) clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.releases.HeartbeatAge(f.clock.Now(), region)
}

// peerFloor returns the highest version that peers hold or have recorded for this node,
// and whether another live node is known that could have recorded one.
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

// regionSize returns the number of live nodes in a region.
func (f *fleet) regionSize(region ident.Region) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.RegionSize(region)
}

// serviceLimits returns the slots and connections of a service's targets. It returns 1
// and 1 for a service that is not in the release in force, to which no view routes.
func (f *fleet) serviceLimits(name ident.ServiceName) (ident.Slots, ident.Connections) {
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
		if a.Fresh {
			f.transport.Renew(a.To)
		}
		f.gossipMember(a)
	}
}

// perform performs the actions of the distribution. The caller holds mu.
func (f *fleet) perform(actions []spread.Action) {
	for _, a := range actions {
		switch a.Kind {
		case spread.Send:
			f.send(a.To, a.Address, wire.Control{Spread: &a.Message})
		case spread.Apply:
			f.applyRelease(a.Release, a.From)
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
		f.metrics.malformedControl.Inc()
		return
	}
	f.transport.SendControl(to, address, body)
}

// applyRelease puts a release in force, which came from a neighbour or, if from is empty,
// from the source. The caller holds mu.
func (f *fleet) applyRelease(r model.Release, from ident.NodeID) {
	f.inForce, f.index, f.viewStale = r, view.NewIndex(r), true
	f.table.SetHeld(r.Version)
	source := nameSource(from)
	if f.caps != nil {
		f.caps.setRelease(&r)
	}
	f.metrics.releaseApplied(r.Version, source, f.clock.Now())
	f.log.Record(logs.Decision{At: f.clock.Now(), Kind: logs.Release, Version: r.Version, Source: source, Reason: reasonInForce})
	f.gateway.SetTeams(len(r.Configuration.Rules.Teams) > 0)
	large := r.Configuration.Rules.LargeRoutes()
	f.gateway.SetLargeRoutes(large)
	f.link.SetActive(len(large) > 0)
	for _, s := range r.Configuration.Inventory.Services {
		if s.Name == f.service && !s.TargetSlots {
			f.gateway.Resize(s.Slots, s.Connections)
		}
	}
}

// nameSource returns the name under which logs and metrics show where a release came from.
func nameSource(from ident.NodeID) string {
	if from == "" {
		return sourceStore
	}
	return string(from)
}

// refreshView puts a new view in force if the old one is stale. The caller holds mu.
func (f *fleet) refreshView(clock.Millis) {
	if !f.viewStale || f.inForce.Version == 0 {
		return
	}
	f.viewStale, f.viewSequence = false, f.table.Sequence()
	f.ingress.SetView(f.index.Join(f.table.Records()), f.table.Size())
	f.freshness.setHeld(f.inForce.Version)
}

// memberChanged logs a state change of a member. The caller holds mu.
func (f *fleet) memberChanged(_, later member.Record, reason string) {
	f.capsStale = true
	f.log.Record(logs.Decision{
		At: f.clock.Now(), Kind: logs.Member, Node: later.Node,
		Service: later.Service, Target: later.Target, Reason: reason,
	})
}

// releaseRefused counts and logs a release that was not accepted.
func (f *fleet) releaseRefused(from ident.NodeID, v ident.Version, _ error) {
	f.metrics.refusedReleases.Inc()
	f.log.Record(logs.Decision{At: f.clock.Now(), Kind: logs.Release, Node: from, Version: v, Reason: reasonRefused})
}

// addSeeds adds the nodes of a directory as seeds of the membership.
func (f *fleet) addSeeds(seeds []member.Seed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.AddSeeds(f.clock.Now(), seeds)
}

// unlisted returns the live nodes of the own failure domain that are not among the entries
// of a directory.
func (f *fleet) unlisted(listed []member.Seed) []member.Seed {
	f.mu.Lock()
	defer f.mu.Unlock()
	return member.Unlisted(f.table.Records(), listed, f.table.Self().FailureDomain)
}

// hasRelease reports whether a release at or above the floor is in force.
func (f *fleet) hasRelease() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.releases.Ready() && f.inForce.Version > 0
}

// leadsDomain reports whether the node is among the first count live nodes of its failure
// domain.
func (f *fleet) leadsDomain(count int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.LeadsDomain(count)
}

// alone reports whether no other live node is known.
func (f *fleet) alone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Size() == 1
}
