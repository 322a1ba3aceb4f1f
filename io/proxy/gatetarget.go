package proxy

import (
	"context"

	"hickoryrail/core/ident"
)

// Announce puts a target in service and ends a drain in progress. Running calls of an
// earlier target continue. It returns ErrDraining once the node is stopping.
func (g *Gateway) Announce(a Announcement) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return ErrDraining
	}
	now := g.Clock.Now()
	if g.target == nil || g.target.id != a.Target || g.target.address != a.Address {
		if g.target != nil {
			g.target.close()
		}
		g.setTarget(newTarget(a.Target, a.Address, a.Connections, g.Limits, &g.Dialect, &g.metrics.left))
	}
	g.target.client.SetMaxConns(int(a.Connections))
	g.drained, g.announcedAt, g.leaving = nil, now, false
	// The slots that the target reports as in use are set first, so that Reopen
	// starts no call in them.
	g.apply(now, g.gate.Announce(now, a.InFlight))
	g.apply(now, g.gate.Resize(now, a.Slots, a.Connections))
	g.apply(now, g.gate.Reopen(now))
	return nil
}

// Renew updates the number of requests that the target reports as in flight.
func (g *Gateway) Renew(inFlight int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.apply(now, g.gate.Renew(now, inFlight))
}

// Resize applies the limits of a new release.
func (g *Gateway) Resize(slots ident.Slots, connections ident.Connections) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	if g.target != nil {
		g.target.client.SetMaxConns(int(connections))
	}
	g.apply(now, g.gate.Resize(now, slots, connections))
}

// SetTeams applies whether the configuration has teams, among which the gate divides its
// slots.
func (g *Gateway) SetTeams(teams bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.teams = teams
}

// SetLargeRoutes sets the routes whose answers are admitted by the rate of the link.
func (g *Gateway) SetLargeRoutes(names []ident.RouteName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gate.Egress != nil {
		g.gate.Egress.SetRoutes(names)
	}
}

// RemoveTarget takes the target out of service: waiting and new calls are refused as
// not run, running ones continue.
func (g *Gateway) RemoveTarget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.beginDrain()
	if g.target != nil {
		g.target.close()
		g.target = nil
	}
}

// DrainTarget refuses waiting and new calls as not run; running ones continue. A new
// announcement ends the drain.
func (g *Gateway) DrainTarget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.beginDrain()
}

// Drain is DrainTarget for a node that stops: no announcement ends it. It returns
// when the last running call has ended, or with the error of ctx.
func (g *Gateway) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.stopping = true
	drained := g.beginDrain()
	g.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// beginDrain starts a drain unless one is in progress. The caller holds mu.
func (g *Gateway) beginDrain() <-chan struct{} {
	if g.drained == nil {
		g.drained = make(chan struct{})
		now := g.Clock.Now()
		g.apply(now, g.gate.Drain(now))
	}
	return g.drained
}
