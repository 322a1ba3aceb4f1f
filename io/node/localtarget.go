package node

import (
	"context"
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
	// renewalTimeoutMillis is the time without a renewal after which a target is removed.
	// A target renews every second.
	renewalTimeoutMillis = 3 * clock.Second
	// renewalCheckPeriod is the time between checks for an overdue renewal.
	renewalCheckPeriod = 250 * time.Millisecond
)

// localTarget holds the state of the one target that the node runs beside.
type localTarget struct {
	clock   clock.Clock
	gateway *proxy.Gateway
	fleet   *fleet
	log     logs.Sink
	// departures keeps the departures of targets on the platform; nil keeps none.
	departures *departures
	// probed is set if a finder makes health checks of the target.
	probed bool
	// renewalTimeout is the time without a renewal after which the target is removed.
	renewalTimeout clock.Millis

	// mu guards the fields below.
	mu sync.Mutex
	// announcement is the target's last announcement; its Target is empty if no target is
	// in service.
	announcement admin.Announcement
	state        member.TargetState
	// renewedAt is the time of the last announcement, renewal or drain.
	renewedAt clock.Millis
	// stopping is set once the node stops; announcements are refused from then on.
	stopping bool

	// reportMu serializes reports, so that they take effect in the order in which tracker
	// accepted them. It is acquired before mu.
	reportMu sync.Mutex
	// tracker detects late and repeated reports.
	tracker report.Tracker
}

// announceDraining publishes the target as draining to other nodes, while the gate goes
// on admitting calls.
func (t *localTarget) announceDraining() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.announcement.Target != "" {
		t.setState(member.Draining, "node is about to stop")
	}
}

// Announce puts the target in service with the slots of the configuration.
func (t *localTarget) Announce(a admin.Announcement) error {
	return t.announce(a, 0)
}

// announce puts the target in service with the slots that it reported, or with those of
// the configuration if reportedSlots is 0.
func (t *localTarget) announce(a admin.Announcement, reportedSlots ident.Slots) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return proxy.ErrDraining
	}
	slots, connections := t.fleet.serviceLimits(a.Service)
	if reportedSlots > 0 {
		slots, connections = reportedSlots, max(connections, ident.Connections(reportedSlots))
	}
	err := t.gateway.Announce(proxy.Announcement{
		Target: a.Target, Address: a.Address,
		Slots: slots, Connections: connections, InFlight: a.InFlight,
	})
	if err != nil {
		return err
	}
	t.announcement, t.renewedAt = a, t.clock.Now()
	t.setState(announcedState(a.Starting), "target announced itself")
	return nil
}

// Renew extends the announcement of a target and updates its state.
func (t *localTarget) Renew(r admin.Renewal) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.announcement.Target == "" || t.announcement.Target != r.Target {
		return admin.ErrUnknownTarget
	}
	t.renewedAt = t.clock.Now()
	t.gateway.Renew(r.InFlight)
	if t.state == member.Starting && !r.Starting {
		t.setState(member.Ready, "target finished its start")
	}
	return nil
}

// Drain makes the gate refuse new calls at once and publishes the target as draining.
func (t *localTarget) Drain(id ident.TargetID) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.announcement.Target == "" || t.announcement.Target != id {
		return admin.ErrUnknownTarget
	}
	t.renewedAt = t.clock.Now()
	t.gateway.DrainTarget()
	t.setState(member.Draining, "target drains")
	return nil
}

// Leave takes the target out of service.
func (t *localTarget) Leave(id ident.TargetID) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.announcement.Target == "" || t.announcement.Target != id {
		return admin.ErrUnknownTarget
	}
	t.remove("target left")
	return nil
}

// stop refuses new calls and announcements because the node stops; running requests
// continue.
func (t *localTarget) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping = true
	if t.announcement.Target != "" {
		t.gateway.DrainTarget()
		t.setState(member.Draining, "node stops")
	}
}

// run removes a target whose renewal is overdue, until ctx ends.
func (t *localTarget) run(ctx context.Context) error {
	return every(ctx, renewalCheckPeriod, t.checkRenewal)
}

// checkRenewal removes the target if its renewal is overdue. The running requests of a
// draining target that no longer renews go on until their deadlines at the gate.
func (t *localTarget) checkRenewal() {
	t.reportMu.Lock()
	defer t.reportMu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.announcement.Target == "" || t.clock.Now()-t.renewedAt < t.renewalTimeout {
		return
	}
	t.tracker.Expire()
	t.remove("renewal overdue")
}

// remove takes the target out of service. The caller holds mu.
func (t *localTarget) remove(reason string) {
	t.gateway.RemoveTarget()
	t.setState(member.TargetLeft, reason)
	t.announcement = admin.Announcement{}
}

// setState logs a new state of the target and publishes it to the fleet. The caller holds
// mu.
func (t *localTarget) setState(state member.TargetState, reason string) {
	t.state = state
	t.log.Record(logs.Decision{
		At: t.clock.Now(), Kind: logs.Member, Service: t.announcement.Service,
		Target: t.announcement.Target, Reason: reason,
	})
	t.fleet.setTarget(t.announcement.Service, t.announcement.Target, state)
}

// announcedState returns the state of a target that has announced itself.
func announcedState(starting bool) member.TargetState {
	if starting {
		return member.Starting
	}
	return member.Ready
}
