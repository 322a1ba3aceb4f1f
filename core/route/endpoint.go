package route

import (
	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/view"
)

const (
	// defaultDelay is the assumed delay of a service without any answered call.
	defaultDelay clock.Millis = 10
	// minSampleWeight is the least weight of a new sample in the moving averages.
	minSampleWeight = 0.2
	// sampleHalfMillis is the gap between samples at which a new one has weight 0.5.
	sampleHalfMillis = 10 * clock.Second
	// failurePenalty is the factor of the failure rate in the score.
	failurePenalty = 10
	// maxLoadPenalty bounds what a load report adds to the factor of the score, so that
	// a gate that overstates its load still gets calls.
	maxLoadPenalty = 2
)

type (
	// group holds the candidates of one service.
	group struct {
		name ident.ServiceName
		// slots is the number of slots of each target; at least 1.
		slots int
		// candidates has at most MaxSubset elements.
		candidates []*endpoint
		// byVersion holds the candidates of each version; nil while no target of the
		// service has a software version in its record.
		byVersion map[Version][]*endpoint
		// delay is the moving average over all targets; 0 before the first answered
		// call.
		delay clock.Millis
		// delays counts the delays of answered calls to all targets.
		delays histogram
		// balance is the state for the choice by expected time.
		balance groupBalance
	}

	// endpoint holds the load-balancing state of one target.
	endpoint struct {
		target view.Target
		group  *group
		// distanceFactor multiplies the score by the distance to the target.
		distanceFactor float64
		// present reports whether the target is a candidate in the last view.
		present bool
		// leftAt is the instant at which the target left the view; clock.Forever
		// while it is present.
		leftAt clock.Millis
		// inFlight counts picks without Done; never negative.
		inFlight int
		// pickedAt is the instant of the last pick, or of the target's first view
		// before there was one.
		pickedAt clock.Millis
		// noOutcomeSince is the instant of the last outcome, or of the pick that ended
		// a period without calls in flight, if that is later.
		noOutcomeSince clock.Millis
		// delay is the moving average of the delays of answered calls; 0 before the
		// first one.
		delay clock.Millis
		// failureRate is the moving average of failed (1) and answered (0) calls.
		failureRate float64
		// sampledAt is the instant of the last sample in delay and failureRate, or of
		// the target's first view or restart if that is later.
		sampledAt clock.Millis
		// load is the gate's last load report, of the instant loadAt; valid if hasLoad.
		load    admit.Load
		loadAt  clock.Millis
		hasLoad bool
		// slowStartAt is the instant at which slow start began.
		slowStartAt clock.Millis
		// consecutiveFailures counts failures since the last answered call.
		consecutiveFailures int
		// ejections counts ejections; a success more than SlowStartMillis after the
		// end of the last one resets it.
		ejections int
		ejected   bool
		// ejectedUntil is the end of the last ejection.
		ejectedUntil clock.Millis
		// leavingUntil is the end of the time in which the target gets no calls, because
		// it stated that it leaves. A gate that restarts forgets such a statement, and
		// the target may serve for many seconds more.
		leavingUntil clock.Millis
		// balance is the state for the choice by expected time.
		balance balanceState
	}
)

// startCall counts a call in flight and returns the endpoint's target as a choice.
func (e *endpoint) startCall(now clock.Millis, reason string) Choice {
	if e.inFlight == 0 {
		e.noOutcomeSince = now
	}
	e.inFlight++
	e.balance.sent++
	e.pickedAt = now
	return Choice{Target: e.target, Reason: reason}
}

// restart resets the state that was measured with an earlier incarnation of the
// gate. The counts of calls in flight and of ejections stay, so that the
// ejections of a target that keeps failing still get longer.
func (e *endpoint) restart(now clock.Millis) {
	e.delay, e.failureRate, e.hasLoad, e.consecutiveFailures = 0, 0, false, 0
	e.slowStartAt, e.sampledAt, e.ejected = now, now, false
	e.balance = balanceState{distanceFactor: e.balance.distanceFactor}
}

// recordSuccess adds an answered call to the moving averages.
func (e *endpoint) recordSuccess(now, delay clock.Millis, l Limits) {
	delay = max(delay, 0)
	w := e.sampleWeight(now)
	if e.delay == 0 {
		e.delay = delay
	} else {
		e.delay += clock.Millis(w) * (delay - e.delay)
	}
	e.failureRate -= w * e.failureRate
	e.consecutiveFailures, e.sampledAt = 0, now
	if e.ejections > 0 && now-e.ejectedUntil > l.SlowStartMillis {
		e.ejections = 0
	}
	e.group.observe(delay)
}

// recordRefusal records that the gate refused a call, so that it has no free slot
// whatever its report states. The delay of a refusal is short and is not counted.
func (e *endpoint) recordRefusal(now clock.Millis) {
	e.load.Free = 0
	e.load.Queued = max(e.load.Queued, e.group.slots)
	e.loadAt, e.hasLoad = now, true
}

// sampleWeight returns the weight of a new sample, which grows with the time since
// the last one.
func (e *endpoint) sampleWeight(now clock.Millis) float64 {
	gap := max(now-e.sampledAt, 0)
	return max(minSampleWeight, float64(gap/(gap+sampleHalfMillis)))
}

// observe adds the delay of an answered call to the statistics of the service.
func (g *group) observe(delay clock.Millis) {
	if g.delay == 0 {
		g.delay = delay
	}
	g.delay += (delay - g.delay) / 32
	g.delays.add(delay)
}

// trafficShare returns the fraction of its full traffic that a target gets: from
// 0.1 at the beginning of slow start to 1 at its end.
func (p *Picker) trafficShare(now clock.Millis, e *endpoint) float64 {
	age := now - e.slowStartAt
	if age >= p.Limits.SlowStartMillis {
		return 1
	}
	return 0.1 + 0.9*float64(max(age, 0)/p.Limits.SlowStartMillis)
}

// stale reports whether a target has had no call for Limits.StaleMillis. It then
// gets one to refresh its statistics; a distant or slow target would otherwise
// get none while calls do not overlap.
func (p *Picker) stale(now clock.Millis, e *endpoint) bool {
	return e.inFlight == 0 && now-e.pickedAt >= p.Limits.StaleMillis
}

// score returns the expected cost of one more call, without the distance factor.
func (p *Picker) score(now clock.Millis, g *group, e *endpoint) float64 {
	base := g.delay
	if base == 0 {
		base = defaultDelay
	}
	// The target's own delay decays towards the service's average while no call
	// updates it; otherwise a target that was slow once would never be tried again.
	freshness := ageWeight(now-e.sampledAt, p.Limits.IdleMillis)
	delay := float64(base)
	if e.delay > 0 {
		delay += freshness * float64(e.delay-base)
	}
	if e.inFlight > 0 {
		// The delay of a call in flight is at least its age. Half of the age counts,
		// since the delays of successful calls vary by about as much.
		delay = max(delay, float64(now-e.noOutcomeSince)/2)
	}
	return delay * float64(e.inFlight+1) * (1 + failurePenalty*freshness*e.failureRate) * p.loadFactor(now, g, e)
}

// loadFactor returns the factor of the gate's last load report in the score. It is
// at least 1, so a gate that reports itself idle gets no better score than the
// measured delays and failures give it.
func (p *Picker) loadFactor(now clock.Millis, g *group, e *endpoint) float64 {
	if !e.hasLoad {
		return 1
	}
	free, queued := max(e.load.Free, 0), max(e.load.Queued, 0)
	busy := float64(max(g.slots-free, 0)+2*queued) / float64(g.slots)
	return 1 + ageWeight(now-e.loadAt, p.Limits.ReportMillis)*min(busy, maxLoadPenalty)
}

// ageWeight returns the weight of a value of the given age: 1 when new, 0.5 at the
// age half.
func ageWeight(age, half clock.Millis) float64 {
	if age <= 0 {
		return 1
	}
	r := float64(age / half)
	return 1 / (1 + r*r)
}
