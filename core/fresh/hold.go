package fresh

import (
	"math/rand/v2"

	"hickoryrail/core/clock"
)

const (
	// promptAgeMillis is the age of the newest proof from which on a node asks the store to
	// answer at once.
	promptAgeMillis = 1800 * clock.Millis(1)
	// minPromptMillis is the least time between two such calls. An answer may leave the proof
	// as it is, for example while the source's newest release is one that was refused.
	minPromptMillis = 500 * clock.Millis(1)
	// clockReadMillis is the time after which a node asks the store to answer at once so
	// that it knows the store's clock closely. The bound of the difference grows by
	// driftRate meanwhile, to 120 ms.
	clockReadMillis = 2 * clock.Minute
	// untimedHoldMillis bounds the hold if the store does not state its time: the proof is
	// then as old as the call.
	untimedHoldMillis = 500 * clock.Millis(1)
	// holdJitter is the largest part by which a hold is cut at random, so that leaders
	// whose waits a release has ended at the same time do not go on calling together.
	holdJitter = 0.1
)

// pacer decides how long the store may hold a leader's wait.
type pacer struct {
	random *rand.Rand
	// promptAt is when the store was last asked to answer at once, and overhead how much
	// longer than its hold the last call took.
	promptAt, overhead clock.Millis
}

// answered records how long a call took that the store was asked to hold for a time.
func (p *pacer) answered(took, hold clock.Millis) {
	if took >= hold { // else it was answered because of a change
		p.overhead = took - hold
	}
}

// Hold returns how long the store may hold a leader's next wait, at most limit. A slow
// store holds it for less, so that the time between two answers stays the same.
func (n *Node) Hold(now, limit clock.Millis) clock.Millis {
	p := &n.pacer
	old := n.BestAge(now) >= promptAgeMillis
	switch {
	case old && now-p.promptAt >= minPromptMillis, now-p.promptAt >= clockReadMillis:
		p.promptAt = now
		return 0
	case old, !n.store.offset.known:
		return min(limit, untimedHoldMillis)
	}
	return max(limit*clock.Millis(1-holdJitter*p.random.Float64())-p.overhead, 0)
}
