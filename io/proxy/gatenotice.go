package proxy

import (
	"hickoryrail/core/clock"
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
	g.target, g.notice = t, report.Notice{}
}

// noticed handles what a target stated in an answer to a request that was not sent
// before sentAt. The notice of an earlier target has no effect.
func (g *Gateway) noticed(t *target, _ clock.Millis, n report.Notice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target != t {
		return
	}
	now := g.Clock.Now()
	if n.LimitMalformed {
		n.Limit = g.notice.Limit
	}
	earlier := g.notice
	g.notice = n
	if earlier.Limit.IsSome() != n.Limit.IsSome() {
		g.recordNotice(now, reasonOfLimit(n))
	}
	if n.Leaving && !earlier.Leaving {
		g.metrics.leaving.Inc()
		g.recordNotice(now, reasonLeaving)
	}
}

// reasonOfLimit returns the reason of the log line for a changed limit.
func reasonOfLimit(n report.Notice) string {
	if n.Limit.IsSome() {
		return reasonLimitNamed
	}
	return reasonLimitLifted
}

// recordNotice writes a line to the decision log. The caller holds mu.
func (g *Gateway) recordNotice(now clock.Millis, reason string) {
	g.Log.Record(logs.Decision{
		At: now, Kind: logs.Member, Node: g.Self, Target: g.target.id, Reason: reason, LimitPerSecond: g.notice.Limit.Or(0),
	})
}

// limitPerSecond returns the limit that the target stated, or noLimit.
func (g *Gateway) limitPerSecond() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.notice.Limit.Or(noLimit)
}
