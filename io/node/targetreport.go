package node

import (
	"errors"

	"hickoryrail/core/ident"
	"hickoryrail/core/report"
	"hickoryrail/io/admin"
	"hickoryrail/io/logs"
)

// Reasons of logged decisions on reports.
const (
	reasonDeparturesUnread  = "report refused: the target may have left before the node's start"
	reasonDepartureRestored = "target had left before the node's start"
)

// Report handles a numbered report of a target. Late and repeated ones have no effect. A
// report that would start a target is refused with errDeparturesUnread while it is not known
// whether that target had left before the node was restarted, and a health check can tell.
func (t *localTarget) Report(r admin.Report) error {
	t.fleet.rollouts.awaitOrders()
	if !r.Draining && !r.Leaving && !t.accepting() && t.needsProbe(r.Announcement.Service) {
		t.log.Record(logs.Decision{
			At: t.clock.Now(), Kind: logs.Member, Service: r.Announcement.Service, Target: r.Target, Reason: reasonDeparturesUnread,
		})
		return errDeparturesUnread
	}
	return t.handle(r)
}

// needsProbe reports whether a target of a service has to pass a health check before it is
// put in service: departures cannot be read, and the node makes health checks. Without a
// release, and thus a path for them, reports are trusted until departures are read: callers
// through other nodes should not have to wait for the release. They are also trusted during
// a rollout, for which a health check tells too little.
func (t *localTarget) needsProbe(service ident.ServiceName) bool {
	if t.departures.await() || !t.probed || t.fleet.rollouts.hasOrder() {
		return false
	}
	_, ok := t.fleet.healthPath(service)
	return ok
}

// handle applies a report. A departure takes effect at once, and errDepartureUnsaved is
// returned as long as it is not on the platform: what is acknowledged must hold after a
// restart of the node, too. The target repeats its report, or exits without an
// acknowledgement.
func (t *localTarget) handle(r admin.Report) error {
	departure, err := t.apply(r)
	if err != nil {
		return err
	}
	if !t.departures.save(departure) {
		return errDepartureUnsaved
	}
	return nil
}

// apply applies a report and returns the departure of the present target, if it departs.
func (t *localTarget) apply(r admin.Report) (report.Departure, error) {
	t.reportMu.Lock()
	defer t.reportMu.Unlock()
	err := t.perform(t.tracker.Apply(r.Status), r)
	return t.tracker.Departure(), err
}

// perform performs the effect of a report. The caller holds reportMu.
func (t *localTarget) perform(effect report.Effect, r admin.Report) error {
	switch effect {
	case report.Started:
		t.fleet.rollouts.setSoftware(r.Software)
		return t.announce(r.Announcement, r.Slots)
	case report.Renewed:
		t.fleet.rollouts.setSoftware(r.Software)
		return t.renewOrAnnounce(r)
	case report.Draining:
		return ignoreUnknownTarget(t.Drain(r.Target))
	case report.Left:
		return ignoreUnknownTarget(t.Leave(r.Target))
	}
	return nil
}

// renewOrAnnounce renews a target, or announces it if its announcement was refused before.
func (t *localTarget) renewOrAnnounce(r admin.Report) error {
	err := t.Renew(admin.Renewal{Target: r.Target, InFlight: r.Announcement.InFlight, Starting: r.Announcement.Starting})
	if errors.Is(err, admin.ErrUnknownTarget) {
		return t.announce(r.Announcement, r.Slots)
	}
	return err
}

// ignoreUnknownTarget discards ErrUnknownTarget: a target that drains or leaves may
// already be out of service.
func ignoreUnknownTarget(err error) error {
	if errors.Is(err, admin.ErrUnknownTarget) {
		return nil
	}
	return err
}

// restoreDeparture handles a departure from before a restart of the node. Its target is
// drained if a report or a health check has put it in service meanwhile.
func (t *localTarget) restoreDeparture(d report.Departure) {
	t.reportMu.Lock()
	defer t.reportMu.Unlock()
	if t.tracker.Restore(d) != report.Draining {
		return
	}
	t.log.Record(logs.Decision{At: t.clock.Now(), Kind: logs.Member, Target: d.Target, Reason: reasonDepartureRestored})
	_ = t.Drain(d.Target) // fails if the target is not in service, which is usual
}

// accepting reports whether a target has sent a report that has not expired, and has not
// stated that it drains or leaves.
func (t *localTarget) accepting() bool {
	t.reportMu.Lock()
	defer t.reportMu.Unlock()
	return t.tracker.Accepting()
}

// leaves drains the target because it stated in an answer that it leaves.
func (t *localTarget) leaves(id ident.TargetID) {
	t.reportMu.Lock()
	defer t.reportMu.Unlock()
	t.mu.Lock()
	present := t.announcement.Target == id
	t.mu.Unlock()
	if !present {
		return
	}
	if t.tracker.Accepting() {
		t.tracker.Apply(report.Status{Target: id, Draining: true}) // its later reports may say that it is ready
	}
	_ = t.Drain(id) // fails only for a target that has just left
	t.departures.set(t.tracker.Departure())
}
