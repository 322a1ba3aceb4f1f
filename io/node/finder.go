package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// findDelay is the time that a target has to report by itself, and findPause
	// the pause between questions.
	findDelay = 50 * time.Millisecond
	findPause = 200 * time.Millisecond
	// findMillis bounds the time of the questions; a live target has reported by
	// then.
	findMillis = 3 * clock.Second
	// probeMillis bounds one question.
	probeMillis = 300 * clock.Millis(1)
)

// finder asks the target beside a node that has just started who it is. A target
// reports every second or two; a node that was restarted beside a running target
// would refuse its calls until then.
type finder struct {
	targets *targets
	fleet   *fleet
	prober  Prober
	service ident.ServiceName
	// address is that of the target's server; empty if it is not known.
	address string
	logger  log.Interface
}

// run asks until the target is known, the time is over or ctx ends.
func (f *finder) run(ctx context.Context) error {
	if f.address == "" || f.prober == nil {
		return nil
	}
	deadline := time.Now().Add(findMillis.Duration())
	pause := findDelay
	for time.Now().Before(deadline) && sleep(ctx, pause) && !f.targets.known() {
		pause = findPause
		if path, ok := f.fleet.healthPath(f.service); ok {
			f.find(ctx, path)
		}
	}
	return ctx.Err()
}

// find asks once and announces the target that answers.
func (f *finder) find(ctx context.Context, path string) {
	ctx, cancel := context.WithTimeout(ctx, probeMillis.Duration())
	defer cancel()
	r, err := f.prober.Probe(ctx, f.address, path)
	if err != nil {
		f.logger.WithError(err).Debug("target does not say who it is")
		return
	}
	r.Announcement.Service, r.Announcement.Address = f.service, f.address
	if f.targets.known() {
		return
	}
	if err := f.targets.Report(r); err != nil {
		f.logger.WithError(err).Warn("target that was asked for its name is refused")
	}
}

// healthPath returns the path of a service's health checks, if the release in force
// has one.
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
