package admit

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/model"
)

const (
	// LastRank is the largest rank.
	LastRank Rank = 7
	// ranksPerClass is the number of ranks of each class of requests: one for the calls
	// that its running requests make, and one for its new requests.
	ranksPerClass = 2
	// pressedMillis is how long more urgent new requests go before the calls of running
	// requests after one of them could not be answered by its goal.
	pressedMillis = 1 * clock.Second
	// innerEvery reserves a share of the starts for calls of running requests meanwhile:
	// while one waits, at least every innerEvery-th start is such a call. Without it, an
	// overload of urgent requests would make every less urgent one fail that needs a call.
	innerEvery = 4
)

// Rank orders calls by urgency; the lower one goes first. A call that a running request
// makes goes before all new requests, since that request occupies a slot meanwhile, at
// another target that may be short of them. While requests of more urgent classes miss
// their goals, these go first: the users do not want a less urgent kind of request to be
// served more often than a more urgent one.
type Rank uint8

// NewRank returns the rank of a new request of a class.
func NewRank(c model.Class) Rank {
	return ranksPerClass*Rank(c) + 1
}

// Inner returns the rank of the calls that a running request of rank r makes.
func (r Rank) Inner() Rank {
	return r - r%ranksPerClass
}

// IsInner reports whether r is the rank of calls that running requests make.
func (r Rank) IsInner() bool {
	return r%ranksPerClass == 0
}
