package route

import "hickoryrail/core/clock"

const (
	// reasonFailures says why a target was ejected.
	reasonFailures = "consecutive failures"
	// reasonFloor says why a target was readmitted early.
	reasonFloor = "more than half of the service would be ejected"
	// maxDoublings bounds the exponent of the ejection time.
	maxDoublings = 16
)

// failed takes a failed call and ejects the target if there are too many.
func (p *Picker) failed(now clock.Millis, e *evidence, o Outcome) {
	w := e.weight(now)
	e.failures += w * (1 - e.failures)
	// A slow failure counts as delay, a fast one is no evidence of speed.
	if o.Delay > e.delay && e.delay > 0 {
		e.delay += clock.Millis(w) * (o.Delay - e.delay)
	}
	e.seenAt = now
	e.consecutive++
	if e.consecutive >= p.Limits.EjectAfter && !e.ejected {
		p.eject(now, e)
	}
}

// eject excludes a target unless half of its service is out already.
func (p *Picker) eject(now clock.Millis, e *evidence) {
	if 2*(ejected(e.group)+1) > len(e.group.candidates) {
		return
	}
	d := p.Limits.EjectMillis * clock.Millis(int(1)<<min(e.ejections, maxDoublings))
	e.ejected, e.ejectedUntil = true, now+min(d, p.Limits.EjectMaxMillis)
	e.ejections++
	p.record(now, e, reasonFailures)
}

// readmit ends an ejection. The target starts slowly, and its next failure
// ejects it again.
func (p *Picker) readmit(now clock.Millis, e *evidence, reason string) {
	e.ejected, e.ejectedUntil = false, min(e.ejectedUntil, now)
	e.consecutive = p.Limits.EjectAfter - 1
	e.started, e.failures = now, 0
	p.record(now, e, reason)
}

// restoreFloor readmits targets while more than half of the service is out, the
// one whose ejection ends first before the others.
func (p *Picker) restoreFloor(now clock.Millis, g *group) {
	for 2*ejected(g) > len(g.candidates) {
		var first *evidence
		for _, e := range g.candidates {
			if e.ejected && (first == nil || e.ejectedUntil < first.ejectedUntil) {
				first = e
			}
		}
		p.readmit(now, first, reasonFloor)
	}
}

// ejected counts the ejected candidates.
func ejected(g *group) int {
	n := 0
	for _, e := range g.candidates {
		if e.ejected {
			n++
		}
	}
	return n
}

// record keeps an event for Events.
func (p *Picker) record(now clock.Millis, e *evidence, reason string) {
	p.events[p.written%maxEvents] = Event{
		At: now, Service: e.group.name, Target: e.target.ID,
		Ejected: e.ejected, Until: e.ejectedUntil, Reason: reason,
	}
	p.written++
}
