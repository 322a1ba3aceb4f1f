package proxy

import (
	"context"

	"hickoryrail/core/ident"
)

// Announce puts a target in service and ends the drain of an earlier one, whose
// running calls continue. It returns ErrDraining once the node stops.
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
		g.target = newTarget(a.Target, a.Address, a.Connections, g.Limits, &g.Dialect)
	}
	g.target.client.SetMaxConns(int(a.Connections))
	g.drained = nil
	// The announced slots are set first, so that reopening starts nothing in them.
	g.apply(now, g.gate.Announce(now, a.InFlight))
	g.apply(now, g.gate.Resize(now, a.Slots, a.Connections))
	g.apply(now, g.gate.Reopen(now))
	return nil
}

// Renew takes the target's present number of requests in flight.
func (g *Gateway) Renew(inFlight int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.apply(now, g.gate.Renew(now, inFlight))
}

// Resize sets the limits of a new release.
func (g *Gateway) Resize(slots ident.Slots, connections ident.Connections) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	if g.target != nil {
		g.target.client.SetMaxConns(int(connections))
	}
	g.apply(now, g.gate.Resize(now, slots, connections))
}

// Leave takes the target out of service: waiting and new calls are refused as
// not run, running ones continue.
func (g *Gateway) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.beginDrain()
	if g.target != nil {
		g.target.close()
		g.target = nil
	}
}

// DrainTarget refuses waiting and new calls as not run at once; running ones
// continue. A new announcement ends it.
func (g *Gateway) DrainTarget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.beginDrain()
}

// Drain does the same for good, because the node stops, and returns when the
// last running call has ended, or with the error of ctx.
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
