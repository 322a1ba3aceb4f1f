package fresh

import (
	"math"
	"math/rand/v2"

	"hickoryrail/core/clock"
)

const (
	// substituteAgeMillis is the age of the newest proof from which on nodes call the store
	// in place of those that should. It is above the age that proofs reach in a fleet
	// without faults, and leaves 1.5 s until they run out at a bound of 5 s.
	substituteAgeMillis = 2000 * clock.Millis(1)
	// substituteRate is the number of nodes in the whole fleet that begin to call per
	// second at that age. It doubles with each doublingMillis, up to maxSubstituteRate, so
	// that enough nodes call in time although the store turns away a third of them.
	substituteRate    = 4.0
	doublingMillis    = 150 * clock.Millis(1)
	maxSubstituteRate = 40.0
	// outageAgeMillis is the age from which on the store itself seems to be down, and
	// outageRate the number of nodes that then begin to call per second.
	outageAgeMillis = 8 * clock.Second
	outageRate      = 8.0
	// minSubstituteMillis is the least time for which a node that got an answer goes on in
	// place of others; at random it is up to twice as long. The store may turn away nodes
	// for 9 s.
	minSubstituteMillis = 5 * clock.Second
	// retryMillis is the mean time after a failed call before a node may begin again.
	retryMillis = 1 * clock.Second
	// maxTickMillis bounds the time between two ticks that counts, so that a node that was
	// paused does not call only because of the pause.
	maxTickMillis = 200 * clock.Millis(1)
)

// Substitute decides when a node calls the store in place of the nodes that should, whom
// the store may refuse or who may have stopped. The nodes do not agree on this: each draws
// by lot, so that the number of calls does not depend on the number of nodes. Set Rand
// before the first call. It is not safe for concurrent use.
type Substitute struct {
	Rand *rand.Rand
	// until is the end of the time for which the node calls, and notBefore that in which it
	// must not begin.
	until, notBefore clock.Millis
	lastTick         clock.Millis
}

// Active reports whether the node calls the store in place of others.
func (s *Substitute) Active(now clock.Millis) bool {
	return now < s.until
}

// Tick reports whether the node begins to call now. age is that of the newest proof that
// it knows, and size the number of live nodes. It must be called about every 100 ms.
func (s *Substitute) Tick(now, age clock.Millis, size int) bool {
	elapsed := min(now-s.lastTick, maxTickMillis)
	s.lastTick = now
	if age < substituteAgeMillis || s.Active(now) || now < s.notBefore {
		return false
	}
	rate := min(substituteRate*math.Exp2(float64((age-substituteAgeMillis)/doublingMillis)), maxSubstituteRate)
	if age >= outageAgeMillis {
		rate = outageRate
	}
	if s.Rand.Float64() >= rate*float64(elapsed/clock.Second)/float64(max(size, 1)) {
		return false
	}
	s.until = now + minSubstituteMillis*clock.Millis(1+s.Rand.Float64())
	return true
}

// Failed records that a call to the store failed. The node leaves it to others.
func (s *Substitute) Failed(now clock.Millis) {
	s.until = 0
	s.notBefore = now + retryMillis*clock.Millis(0.5+s.Rand.Float64())
}
