package fresh

import "hickoryrail/core/clock"

// driftRate is the largest difference in rate of two clocks: the kernel corrects the rate
// of each by at most 500 parts in a million.
const driftRate = 0.001

// offset is an upper bound of how far another clock is ahead of the own one. Converted with
// it, a time of the other clock is never too late, whatever the delays of messages were.
type offset struct {
	known bool
	// upper is the bound at time at of the own clock; it grows from then on by driftRate.
	upper, at clock.Millis
}

// observe takes in a reading of the other clock that was made after one of the own clock.
func (o *offset) observe(own, other clock.Millis) {
	if upper := other - own; !o.known || upper <= o.bound(own) {
		*o = offset{known: true, upper: upper, at: own}
	}
}

// bound returns the bound at a time of the own clock.
func (o *offset) bound(now clock.Millis) clock.Millis {
	return o.upper + driftRate*max(now-o.at, 0)
}

// convert returns the earliest time of the own clock that a time of the other one, which is
// not in the future, can be.
func (o *offset) convert(now, other clock.Millis) clock.Millis {
	return min(other-o.bound(now), now)
}
