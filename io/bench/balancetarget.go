package bench

import (
	"math"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/option"
)

// balanceTarget is a target with its gate.
type balanceTarget struct {
	index   int
	id      ident.TargetID
	domain  int
	service ident.ServiceName
	speed   float64
	// paces holds the pace of each period of paceMillis.
	paces []float64
	gate  admit.Gate
	// tickAt is the instant of the next scheduled tick.
	tickAt clock.Millis
	calls  map[ident.RequestID]*balanceAttempt
	// faulty is set for the targets that the fault concerns.
	faulty bool
}

// limit returns the limit of requests per second that a target in need states.
func (r *balanceSimulation) limit() option.Option[float64] {
	if r.now < r.duration/3 || r.now >= 2*r.duration/3 {
		return option.None[float64]()
	}
	return option.Some(balanceLimited)
}

// paceOf returns the pace of a target in the period of an instant.
func (t *balanceTarget) paceOf(now clock.Millis) float64 {
	return t.paces[min(int(now/paceMillis), len(t.paces)-1)]
}

// stated returns the pace that a target states; 0 if it states none.
func (r *balanceSimulation) stated(t *balanceTarget) float64 {
	switch {
	case r.fault == balanceNoPace:
		return 0
	case r.fault == balanceFalse && t.faulty:
		return 0.2 + 4*r.lies.Float64()
	}
	return t.paceOf(r.now)
}

// endOf returns the instant at which work that starts now ends.
func (r *balanceSimulation) endOf(t *balanceTarget, work float64) clock.Millis {
	work /= t.speed
	if r.fault == balanceCold && t.faulty {
		work *= 1 + float64((slowFactor-1)*(1-min((r.now-r.duration/3)/coldMillis, 1)))
	}
	now := r.now
	for {
		end := clock.Millis(math.Floor(float64(now/paceMillis))+1) * paceMillis
		pace := t.paceOf(now)
		if left := float64(end-now) / pace; left < work {
			work -= left
			now = end
			continue
		}
		return now + clock.Millis(work*pace)
	}
}
