package route

import "hickoryrail/core/clock"

const (
	// reasonLeaving is the reason of the event for a target that leaves.
	reasonLeaving = "target stated that it leaves"
	// leavingMillis is the time for which a target that stated that it leaves gets no
	// calls, unless its gate takes it back.
	leavingMillis = clock.Minute
)

// markLeaving excludes a target that stated that it leaves.
func (p *Picker) markLeaving(now clock.Millis, e *endpoint) {
	known := now < e.leavingUntil
	e.leavingUntil = now + leavingMillis
	if known {
		return
	}
	p.storeEvent(Event{
		At: now, Service: e.group.name, Target: e.target.ID, Ejected: true, Until: e.leavingUntil, Reason: reasonLeaving,
	})
}
