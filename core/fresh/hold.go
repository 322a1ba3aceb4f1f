package fresh

import (
	"math/rand/v2"

	"hickoryrail/core/clock"
)

const (
	// promptAgeMillis is the age of the newest proof from which on a node reads the store
	// instead of waiting for changes.
	promptAgeMillis = 1800 * clock.Millis(1)
	// minReadMillis is the least time between two such reads. An answer may leave the proof as
	// it is, for example while the source's newest release is one that was refused.
	minReadMillis = 500 * clock.Millis(1)
	// clockReadMillis is the time after which a leader reads the store so that it knows the
	// store's clock closely. The bound of the difference grows by
	// driftRate meanwhile, to 120 ms.
	clockReadMillis = 2 * clock.Minute
	// minHoldMillis is the least hold of a wait. An answer without a change proves nothing
	// if the store has held the wait for less than historyMillis.
	minHoldMillis = historyMillis + granularityMillis
	// holdJitter is the largest part by which a hold is cut at random, so that leaders
	// whose waits a release has ended at the same time do not go on calling together.
	holdJitter = 0.1
)

// pacer decides how long the store may hold a leader's wait.
type pacer struct {
	random *rand.Rand
	// readAt is when the store was last read in place of a wait, and overhead how much
	// longer than its hold the last call took.
	readAt, overhead clock.Millis
}

// answered records how long a call took that the store was asked to hold for a time.
func (p *pacer) answered(took, hold clock.Millis) {
	if took >= hold { // else it was answered because of a change
		p.overhead = took - hold
	}
}

// Hold returns how long the store may hold a leader's next wait, for which limit is the
// usual time, or false if the node has to read the store instead. A slow store holds it for
// less, so that the time between two answers stays the same. Without a time of the store,
// the proof is as old as the call, so the hold is short.
func (n *Node) Hold(now, limit clock.Millis) (clock.Millis, bool) {
	p := &n.pacer
	old := n.BestAge(now) >= promptAgeMillis
	switch {
	case old && now-p.readAt >= minReadMillis, now-p.readAt >= clockReadMillis:
		p.readAt = now
		return 0, false
	case old, !n.store.offset.known:
		return minHoldMillis, true
	}
	return max(limit*clock.Millis(1-holdJitter*p.random.Float64())-p.overhead, minHoldMillis), true
}
