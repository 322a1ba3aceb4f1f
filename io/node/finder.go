package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// findDelay is the time before the first probe, in which the target can report by
	// itself, and findInterval the time between probes.
	findDelay    = 50 * time.Millisecond
	findInterval = 200 * time.Millisecond
	// findTimeoutMillis is the time after which probing ends; a live target has reported
	// by then.
	findTimeoutMillis = 3 * clock.Second
	// probeTimeoutMillis bounds one probe.
	probeTimeoutMillis = 300 * clock.Millis(1)
)

// finder probes the local target for its identity after the node has started. A target
// reports only every second or two, and a node that was restarted beside a running target
// would refuse calls to it until the next report.
type finder struct {
	localTarget *localTarget
	fleet       *fleet
	prober      Prober
	service     ident.ServiceName
	// address is host:port of the target's server.
	address string
	logger  log.Interface
}

// run probes until a target accepts work, until probing is not needed any more, or until
// ctx ends.
func (f *finder) run(ctx context.Context) error {
	if !f.localTarget.probed {
		return nil
	}
	deadline := time.Now().Add(findTimeoutMillis.Duration())
	sleep(ctx, findDelay)
	f.localTarget.departures.await()
	for f.needed(deadline) && !f.localTarget.accepting() {
		f.fleet.rollouts.awaitOrders()
		if f.fleet.rollouts.hasOrder() {
			return ctx.Err() // a probe does not tell the version of the target, and its next report does
		}
		if path, ok := f.fleet.healthPath(f.service); ok {
			f.probe(ctx, path)
		}
		if !sleep(ctx, findInterval) {
			break
		}
	}
	return ctx.Err()
}

// needed reports whether to go on probing: until the deadline, and as long as reports are
// refused because the departure of an earlier target is not read.
func (f *finder) needed(deadline time.Time) bool {
	return time.Now().Before(deadline) || !f.localTarget.departures.isKnown()
}

// probe sends one probe and reports the target that answers.
func (f *finder) probe(ctx context.Context, path string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeoutMillis.Duration())
	defer cancel()
	r, err := f.prober.Probe(ctx, f.address, path)
	if err != nil {
		f.logger.WithError(err).Debug("probe did not identify the target")
		return
	}
	r.Announcement.Service, r.Announcement.Address = f.service, f.address
	if f.localTarget.accepting() {
		return
	}
	if err := f.localTarget.handle(r); err != nil {
		f.logger.WithError(err).Warn("report of the probed target was refused")
	}
}

// healthPath returns the path of a service's health checks, if the release in force
// configures one.
func (f *fleet) healthPath(name ident.ServiceName) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.inForce.Configuration.Inventory.Services {
		if s.Name == name {
			return s.HealthPath, s.HealthPath != ""
		}
	}
	return "", false
}
