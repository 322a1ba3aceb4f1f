package route

import "hickoryrail/core/clock"

const (
	// reasonFailures is the reason of an ejection.
	reasonFailures = "consecutive failures"
	// reasonMaxEjected is the reason of an early readmission.
	reasonMaxEjected = "more than half of the service would be ejected"
	// maxDoublings bounds the exponent of the ejection time.
	maxDoublings = 16
)

// recordFailure counts a failed call and ejects the target after
// Limits.EjectAfter consecutive failures.
func (p *Picker) recordFailure(now clock.Millis, e *endpoint, o Outcome) {
	w := e.sampleWeight(now)
	e.failureRate += w * (1 - e.failureRate)
	// A slow failure raises the delay; a fast one does not lower it.
	if o.Delay > e.delay && e.delay > 0 {
		e.delay += clock.Millis(w) * (o.Delay - e.delay)
	}
	e.sampledAt = now
	e.consecutiveFailures++
	if e.consecutiveFailures >= p.Limits.EjectAfter && !e.ejected {
		p.eject(now, e)
	}
}

// eject excludes a target from choices unless more than half of its service's
// candidates would then be ejected.
func (p *Picker) eject(now clock.Millis, e *endpoint) {
	if 2*(countEjected(e.group)+1) > len(e.group.candidates) {
		return
	}
	d := p.Limits.EjectMillis * clock.Millis(int(1)<<min(e.ejections, maxDoublings))
	e.ejected, e.ejectedUntil = true, now+min(d, p.Limits.EjectMaxMillis)
	e.ejections++
	p.recordEvent(now, e, reasonFailures)
}

// readmit ends an ejection. The target goes through slow start, and its next
// failure ejects it again.
func (p *Picker) readmit(now clock.Millis, e *endpoint, reason string) {
	e.ejected, e.ejectedUntil = false, min(e.ejectedUntil, now)
	e.consecutiveFailures = p.Limits.EjectAfter - 1
	e.slowStartAt, e.failureRate = now, 0
	p.recordEvent(now, e, reason)
}

// limitEjected readmits targets while more than half of the service's candidates
// are ejected, in the order in which their ejections end.
func (p *Picker) limitEjected(now clock.Millis, g *group) {
	for 2*countEjected(g) > len(g.candidates) {
		var earliest *endpoint
		for _, e := range g.candidates {
			if e.ejected && (earliest == nil || e.ejectedUntil < earliest.ejectedUntil) {
				earliest = e
			}
		}
		p.readmit(now, earliest, reasonMaxEjected)
	}
}

// countEjected returns the number of ejected candidates.
func countEjected(g *group) int {
	n := 0
	for _, e := range g.candidates {
		if e.ejected {
			n++
		}
	}
	return n
}

// recordEvent stores the event of an ejection or its end.
func (p *Picker) recordEvent(now clock.Millis, e *endpoint, reason string) {
	p.storeEvent(Event{
		At: now, Service: e.group.name, Target: e.target.ID,
		Ejected: e.ejected, Until: e.ejectedUntil, Reason: reason,
	})
}

// storeEvent stores an event until Events returns it.
func (p *Picker) storeEvent(e Event) {
	p.events[p.written%maxEvents] = e
	p.written++
}
