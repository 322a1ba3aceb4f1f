package node

import (
	"context"
	"sync"
	"time"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/io/admin"
	"hickoryrail/io/logs"
	"hickoryrail/io/proxy"
)

const (
	// renewalMillis is the time without a renewal after which a target is no
	// longer routable; a target renews every second.
	renewalMillis = 3 * clock.Second
	// lapseTick is the period at which the renewal is checked.
	lapseTick = 250 * time.Millisecond
)

// targets keeps the state of the one target beside the node.
type targets struct {
	clock   clock.Clock
	gateway *proxy.Gateway
	fleet   *fleet
	log     logs.Sink

	// mu guards the fields below.
	mu sync.Mutex
	// announced is the target's last announcement; Target is empty without one.
	announced admin.Announcement
	state     member.TargetState
	renewedAt clock.Millis
	// stopping refuses announcements because the node stops.
	stopping bool
}

// Announce puts the target in service.
func (t *targets) Announce(a admin.Announcement) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return proxy.ErrDraining
	}
	slots, connections := t.fleet.limits(a.Service)
	err := t.gateway.Announce(proxy.Announcement{
		Target: a.Target, Address: a.Address,
		Slots: slots, Connections: connections, InFlight: a.InFlight,
	})
	if err != nil {
		return err
	}
	t.announced, t.renewedAt = a, t.clock.Now()
	t.set(readiness(a.Starting), "target announced itself")
	return nil
}

// Renew keeps the announcement alive.
func (t *targets) Renew(r admin.Renewal) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.announced.Target == "" || t.announced.Target != r.Target {
		return admin.ErrUnknownTarget
	}
	t.renewedAt = t.clock.Now()
	t.gateway.Renew(r.InFlight)
	if t.state == member.Starting && !r.Starting {
		t.set(member.Ready, "target finished its start")
	}
	return nil
}

// Drain ends new work at the gate at once and tells the fleet.
func (t *targets) Drain(id ident.TargetID) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.announced.Target == "" || t.announced.Target != id {
		return admin.ErrUnknownTarget
	}
	t.renewedAt = t.clock.Now()
	t.gateway.DrainTarget()
	t.set(member.Draining, "target drains")
	return nil
}

// Leave takes the target out of service.
func (t *targets) Leave(id ident.TargetID) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.announced.Target == "" || t.announced.Target != id {
		return admin.ErrUnknownTarget
	}
	t.remove("target left")
	return nil
}

// stop ends new work because the node stops; running requests continue.
func (t *targets) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping = true
	if t.announced.Target != "" {
		t.gateway.DrainTarget()
		t.set(member.Draining, "node stops")
	}
}

// run ends the service of a target that stopped renewing, until ctx ends.
func (t *targets) run(ctx context.Context) error {
	return every(ctx, lapseTick, t.lapse)
}

// lapse removes the target if its renewal is overdue. A draining target may
// finish its requests without renewals until the gate's own deadlines end them.
func (t *targets) lapse() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.announced.Target == "" || t.clock.Now()-t.renewedAt < renewalMillis {
		return
	}
	t.remove("renewal overdue")
}

// remove takes the target out of service. The caller holds mu.
func (t *targets) remove(reason string) {
	t.gateway.Leave()
	t.set(member.TargetLeft, reason)
	t.announced = admin.Announcement{}
}

// set changes the target's state in the fleet. The caller holds mu.
func (t *targets) set(state member.TargetState, reason string) {
	t.state = state
	t.log.Record(logs.Decision{
		At: t.clock.Now(), Kind: logs.Member, Service: t.announced.Service,
		Target: t.announced.Target, Reason: reason,
	})
	t.fleet.setTarget(t.announced.Service, t.announced.Target, state)
}

// readiness returns the state of an announced target.
func readiness(starting bool) member.TargetState {
	if starting {
		return member.Starting
	}
	return member.Ready
}
