package route

import (
	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/view"
)

const (
	// defaultDelay stands for the delay of a service without any answered call.
	defaultDelay clock.Millis = 10
	// sampleWeight is the least weight of a new delay in the moving average.
	sampleWeight = 0.2
	// averageMillis is the gap between calls at which a new delay weighs half.
	averageMillis = 10 * clock.Second
	// failureFactor scales the score by the share of failed calls.
	failureFactor = 10
	// maxReport bounds the part that a report adds to the score, so that a gate
	// that overstates its load still gets calls.
	maxReport = 2
)

type (
	// group is the candidates of one service.
	group struct {
		name  ident.ServiceName
		slots int
		// candidates has at most MaxSubset elements.
		candidates []*evidence
		// delay is the moving average over all targets; 0 before the first call.
		delay  clock.Millis
		delays histogram
	}

	// evidence is what the picker knows of one target.
	evidence struct {
		target view.Target
		group  *group
		// factor is the multiplier for the target's distance.
		factor  float64
		present bool
		leftAt  clock.Millis
		// inFlight counts picks without Done; never negative.
		inFlight int
		// chosenAt is the instant of the last pick.
		chosenAt clock.Millis
		// quietSince is the instant from which calls in flight had no outcome.
		quietSince clock.Millis
		// delay is the moving average of answered calls; 0 before the first one.
		delay clock.Millis
		// failures is the moving average of failed (1) and answered (0) calls.
		failures float64
		// seenAt is the instant of the last evidence in delay and failures.
		seenAt clock.Millis
		// load is the gate's last report, if hasLoad.
		load    admit.Load
		loadAt  clock.Millis
		hasLoad bool
		// started is the start of the slow start.
		started clock.Millis
		// consecutive counts failures since the last answered call.
		consecutive int
		// ejections counts ejections since the target last proved itself.
		ejections    int
		ejected      bool
		ejectedUntil clock.Millis
	}
)

// choose counts a call in flight.
func (e *evidence) choose(now clock.Millis, reason string) Choice {
	if e.inFlight == 0 {
		e.quietSince = now
	}
	e.inFlight++
	e.chosenAt = now
	return Choice{Target: e.target, Reason: reason}
}

// restart drops the evidence of an earlier gate. Calls in flight stay counted,
// and so do ejections, which lengthen those of a target that keeps failing.
func (e *evidence) restart(now clock.Millis) {
	e.delay, e.failures, e.hasLoad, e.consecutive = 0, 0, false, 0
	e.started, e.seenAt, e.ejected = now, now, false
}

// succeeded takes the delay of an answered call.
func (e *evidence) succeeded(now, delay clock.Millis, l Limits) {
	delay = max(delay, 0)
	w := e.weight(now)
	if e.delay == 0 {
		e.delay = delay
	} else {
		e.delay += clock.Millis(w) * (delay - e.delay)
	}
	e.failures -= w * e.failures
	e.consecutive, e.seenAt = 0, now
	if e.ejections > 0 && now-e.ejectedUntil > l.SlowStartMillis {
		e.ejections = 0
	}
	e.group.observe(delay)
}

// refused takes a refusal as not run: the gate has no free slot, whatever its
// report says. The short delay of a refusal is no evidence of speed.
func (e *evidence) refused(now clock.Millis) {
	e.load.Free = 0
	e.load.Queued = max(e.load.Queued, e.group.slots)
	e.loadAt, e.hasLoad = now, true
}

// weight returns the weight of a new sample, which grows with the time since
// the last one.
func (e *evidence) weight(now clock.Millis) float64 {
	gap := max(now-e.seenAt, 0)
	return max(sampleWeight, float64(gap/(gap+averageMillis)))
}

// observe adds a delay to the service's own figures.
func (g *group) observe(delay clock.Millis) {
	if g.delay == 0 {
		g.delay = delay
	}
	g.delay += (delay - g.delay) / 32
	g.delays.add(delay)
}

// share returns the part of its full traffic that a target gets in slow start.
func (p *Picker) share(now clock.Millis, e *evidence) float64 {
	age := now - e.started
	if age >= p.Limits.SlowStartMillis {
		return 1
	}
	return 0.1 + 0.9*float64(max(age, 0)/p.Limits.SlowStartMillis)
}

// stale reports whether a target needs a call to show its present state. A far
// or slow target would otherwise get none while calls do not overlap.
func (p *Picker) stale(now clock.Millis, e *evidence) bool {
	return e.inFlight == 0 && now-e.chosenAt >= p.Limits.StaleMillis
}

// score returns the expected cost of one more call, without regard to distance.
func (p *Picker) score(now clock.Millis, g *group, e *evidence) float64 {
	base := g.delay
	if base == 0 {
		base = defaultDelay
	}
	// Own evidence fades towards the service's average while no call refreshes
	// it; otherwise a target that was slow once would never be tried again.
	fresh := halfLife(now-e.seenAt, p.Limits.IdleMillis)
	delay := float64(base)
	if e.delay > 0 {
		delay += fresh * float64(e.delay-base)
	}
	if e.inFlight > 0 {
		// A call without an outcome shows that the delay is at least its age. Half
		// of it counts, since the delays of good calls scatter by about as much.
		delay = max(delay, float64(now-e.quietSince)/2)
	}
	return delay * float64(e.inFlight+1) * (1 + failureFactor*fresh*e.failures) * p.reported(now, g, e)
}

// reported returns the factor of the gate's last report. It is at least 1, so a
// gate that claims to be idle gains nothing over own evidence.
func (p *Picker) reported(now clock.Millis, g *group, e *evidence) float64 {
	if !e.hasLoad {
		return 1
	}
	free, queued := max(e.load.Free, 0), max(e.load.Queued, 0)
	busy := float64(max(g.slots-free, 0)+2*queued) / float64(g.slots)
	return 1 + halfLife(now-e.loadAt, p.Limits.ReportMillis)*min(busy, maxReport)
}

// halfLife returns the weight of evidence of an age: 1 when new, one half at
// half.
func halfLife(age, half clock.Millis) float64 {
	if age <= 0 {
		return 1
	}
	r := float64(age / half)
	return 1 / (1 + r*r)
}
