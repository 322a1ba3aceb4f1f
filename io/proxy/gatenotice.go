package proxy

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/option"
	"hickoryrail/core/report"
	"hickoryrail/io/logs"
)

// noLimit is the value of the metric of a target that stated no limit.
const noLimit = -1

// Reasons of the log lines for what a target stated in an answer.
const (
	reasonLimitNamed  = "target named a limit of requests"
	reasonLimitLifted = "target lifted its limit of requests"
	reasonLeaving     = "target stated that it leaves"
)

// setTarget makes t the target of the gate. The caller holds mu.
func (g *Gateway) setTarget(t *target) {
	t.noticed = func(sentAt clock.Millis, n report.Notice) { g.noticed(t, sentAt, n) }
	g.target, g.leaving = t, false
	g.gate.ResetLimit()
	g.gate.ResetPace()
}

// noticed handles what a target stated in an answer to a request that was not sent
// before sentAt. The notice of an earlier target has no effect.
func (g *Gateway) noticed(t *target, sentAt clock.Millis, n report.Notice) {
	if g.applyNotice(t, sentAt, n) && g.OnLeaving != nil {
		g.OnLeaving(t.id)
	}
}

// applyNotice passes a limit to the gate and reports whether the target states for the
// first time that it leaves.
func (g *Gateway) applyNotice(t *target, sentAt clock.Millis, n report.Notice) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target != t {
		return false
	}
	now := g.Clock.Now()
	if l, ok := n.Load.Get(); ok {
		if pace, ok := l.Pace.Get(); ok {
			g.gate.SetPace(now, pace)
		}
	}
	if !n.LimitMalformed {
		g.limitNoticed(now, sentAt, n.Limit)
	}
	if !n.Leaving || g.leaving || sentAt < g.announcedAt {
		return false // the target may have been restarted since an earlier request
	}
	g.leaving = true
	g.metrics.leaving.Inc()
	g.recordNotice(now, reasonLeaving)
	return true
}

// limitNoticed passes a limit that an answer stated, or did not state, to the gate. The
// caller holds mu.
func (g *Gateway) limitNoticed(now, sentAt clock.Millis, limit option.Option[float64]) {
	earlier := g.gate.Limit()
	if !earlier.IsSome() && !limit.IsSome() {
		return // nearly all answers
	}
	g.apply(now, g.gate.SetLimit(now, sentAt, limit))
	g.rescheduleTick()
	switch later := g.gate.Limit(); {
	case !earlier.IsSome() && later.IsSome():
		g.recordNotice(now, reasonLimitNamed)
	case earlier.IsSome() && !later.IsSome():
		g.recordNotice(now, reasonLimitLifted)
	}
}

// recordNotice writes a line to the decision log. The caller holds mu.
func (g *Gateway) recordNotice(now clock.Millis, reason string) {
	g.Log.Record(logs.Decision{
		At: now, Kind: logs.Member, Node: g.Self, Target: g.target.id, Reason: reason, LimitPerSecond: g.gate.Limit().Or(0),
	})
}

// pace returns the factor by which the gate expects calls to run longer than usual.
func (g *Gateway) pace() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Pace()
}

// limitPerSecond returns the limit that the gate applies, or noLimit.
func (g *Gateway) limitPerSecond() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Limit().Or(noLimit)
}
