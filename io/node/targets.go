package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/report"
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
	// renewal is the time without a renewal after which a target is gone.
	renewal clock.Millis

	// mu guards the fields below.
	mu sync.Mutex
	// announced is the target's last announcement; Target is empty without one.
	announced admin.Announcement
	state     member.TargetState
	renewedAt clock.Millis
	// stopping refuses announcements because the node stops.
	stopping bool

	// reports serializes numbered statements, so that none overtakes another
	// between the ledger and its effect. It is held before mu.
	reports sync.Mutex
	// ledger orders the numbered statements.
	ledger report.Tracker
}

// Report takes a numbered statement of a target.
func (t *targets) Report(r admin.Report) error {
	t.reports.Lock()
	defer t.reports.Unlock()
	switch t.ledger.Apply(r.Status) {
	case report.Started:
		return t.announce(r.Announcement, r.Slots)
	case report.Renewed:
		return t.renewOrAnnounce(r)
	case report.Draining:
		return ignoreUnknown(t.Drain(r.Target))
	case report.Left:
		return ignoreUnknown(t.Leave(r.Target))
	}
	return nil
}

// renewOrAnnounce renews a target, or announces it again if it was refused before.
func (t *targets) renewOrAnnounce(r admin.Report) error {
	err := t.Renew(admin.Renewal{Target: r.Target, InFlight: r.Announcement.InFlight, Starting: r.Announcement.Starting})
	if errors.Is(err, admin.ErrUnknownTarget) {
		return t.announce(r.Announcement, r.Slots)
	}
	return err
}

// ignoreUnknown drops the error of a goodbye of a target that is out already.
func ignoreUnknown(err error) error {
	if errors.Is(err, admin.ErrUnknownTarget) {
		return nil
	}
	return err
}

// known reports whether a target has made a statement since the node's start.
func (t *targets) known() bool {
	t.reports.Lock()
	defer t.reports.Unlock()
	return t.ledger.Known()
}

// announceStop tells the other nodes that the target takes no new work, while the
// gate goes on admitting calls.
func (t *targets) announceStop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.announced.Target != "" {
		t.set(member.Draining, "node is about to stop")
	}
}

// Announce puts the target in service.
func (t *targets) Announce(a admin.Announcement) error {
	return t.announce(a, 0)
}

// announce does the same with the slots that the target tells; 0 leaves them to the
// configuration.
func (t *targets) announce(a admin.Announcement, told ident.Slots) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return proxy.ErrDraining
	}
	slots, connections := t.fleet.limits(a.Service)
	if told > 0 {
		slots, connections = told, max(connections, ident.Connections(told))
	}
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
	t.reports.Lock()
	defer t.reports.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.announced.Target == "" || t.clock.Now()-t.renewedAt < t.renewal {
		return
	}
	t.ledger.Expire()
	t.remove("renewal overdue")
}

// remove takes the target out of service. The caller holds mu.
func (t *targets) remove(reason string) {
	t.gateway.RemoveTarget()
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
