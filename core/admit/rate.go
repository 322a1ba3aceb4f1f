package admit

import (
	"math"

	"hickoryrail/core/clock"
	"hickoryrail/core/option"
)

const (
	// burstMillis is the time whose requests may start at once after a pause.
	burstMillis = 500 * clock.Millis(1)
	// minPerSecond is the lowest rate of starts. Only an answer can lift a limit, so a
	// few requests go to a target that takes hardly any.
	minPerSecond = 0.25
	// tokenTolerance makes up for rounding when a tick comes at the instant of a token.
	tokenTolerance = 1e-6
)

// rate bounds the starts of a gate by the limit that its target stated. All requests to
// a target pass its gate, so the gate alone bounds their sum over all nodes. The zero
// value has no limit.
type rate struct {
	// perSecond is the number of starts per second; 0 without a limit.
	perSecond float64
	// tokens is the number of starts that are allowed at refilledAt: never negative, and
	// at most those of burstMillis, or 1.
	tokens     float64
	refilledAt clock.Millis
	// statedAt is the latest instant at which a request was sent whose answer stated
	// the limit, and heardAt the instant of the last answer that stated one.
	statedAt, heardAt clock.Millis
}

// state applies the limit of an answer that arrived at now, to a request that was sent
// at sentAt or later. Answers can arrive in another order than the target gave them: a
// limit is replaced only by the answer to a later request, and lifted only by the answer
// to a request that was sent after the last answer with a limit had arrived.
func (r *rate) state(now, sentAt clock.Millis, limit option.Option[float64]) {
	perSecond, ok := limit.Get()
	switch {
	case !ok && sentAt > r.heardAt:
		*r = rate{}
	case ok && r.perSecond == 0:
		// The bucket starts empty, because the requests so far were not counted.
		*r = rate{perSecond: max(perSecond, minPerSecond), refilledAt: now, statedAt: sentAt, heardAt: now}
	case ok:
		r.heardAt = now
		if sentAt >= r.statedAt {
			r.refill(now)
			r.perSecond, r.statedAt = max(perSecond, minPerSecond), sentAt
			r.tokens = min(r.tokens, r.burst())
		}
	}
}

// refill adds the tokens of the time since the last refill.
func (r *rate) refill(now clock.Millis) {
	if r.perSecond == 0 || now <= r.refilledAt {
		return
	}
	r.tokens = min(r.tokens+r.perSecond*float64((now-r.refilledAt)/clock.Second), r.burst())
	r.refilledAt = now
}

// burst returns the capacity of the bucket, at least 1 so that a request can start.
func (r *rate) burst() float64 {
	return max(r.perSecond*float64(burstMillis/clock.Second), 1)
}

// available returns the number of starts that are allowed at the last refill.
func (r *rate) available() int {
	if r.perSecond == 0 {
		return math.MaxInt
	}
	return int(r.tokens + tokenTolerance)
}

// take counts a start.
func (r *rate) take() {
	if r.perSecond > 0 {
		r.tokens = max(r.tokens-1, 0)
	}
}

// wait returns the time from the last refill until a call may start before which ahead
// others start.
func (r *rate) wait(ahead int) clock.Millis {
	if r.perSecond == 0 {
		return 0
	}
	missing := max(float64(ahead+1)-r.tokens, 0)
	return clock.Millis(missing/r.perSecond) * clock.Second
}

// nextToken returns the instant at which the next call may start, or clock.Forever if
// one may start now.
func (r *rate) nextToken() clock.Millis {
	if r.available() > 0 {
		return clock.Forever
	}
	return r.refilledAt + r.wait(0)
}
