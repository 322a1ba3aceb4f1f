// Package fresh tracks how long ago the configuration that a node holds was known to be the
// newest one. Under strict revocation a node admits requests with access keys only while
// that age is below a bound, so that a key which was taken away is refused everywhere in
// time, also at nodes that cannot reach the store.
package fresh

import (
	"math"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// historyMillis is the time for which a wait at the store may hear of no change while
	// the store drops its history.
	historyMillis = 1 * clock.Second
	// granularityMillis allows for the store's time in whole milliseconds and for the
	// difference in rate of two clocks within the bound, which is a few milliseconds.
	granularityMillis = 100 * clock.Millis(1)
	// marginMillis is the part of the bound in which no request is admitted.
	marginMillis = historyMillis + granularityMillis
)

type (
	// Config holds the settings of strict revocation; the zero value turns it off.
	Config struct {
		// BoundMillis is the time after which a key that was taken away must be refused
		// by every node.
		BoundMillis clock.Millis
	}

	// ClockID identifies a process's use of its clock. A process chooses one at random when
	// it starts, so that times from before a restart of the machine are not compared with
	// times from after it.
	ClockID uint32

	// Message states the newest proof of its sender. All times are in the sender's clock
	// except EchoSentAt. The receiver converts them with a bound of the difference between
	// the two clocks, which it has from an echo of its own messages; so a message that was
	// delayed, or that lay in the buffer of a paused process, is not taken for a recent one.
	Message struct {
		_ struct{} `cbor:",toarray"`
		// Version was the newest release at time At; 0 if the sender has no proof.
		Version ident.Version
		At      clock.Millis
		// Clock identifies the sender's clock, and SentAt is when the message was sent.
		Clock  ClockID
		SentAt clock.Millis
		// EchoClock and EchoSentAt are Clock and SentAt of the last message that the sender
		// received from the receiver, and EchoReceivedAt is when it did. EchoClock is 0 if
		// there was none.
		EchoClock      ClockID
		EchoSentAt     clock.Millis
		EchoReceivedAt clock.Millis
		// Ask requests an answer at once.
		Ask bool
	}
)

// Enabled reports whether strict revocation is on.
func (c Config) Enabled() bool {
	return c.BoundMillis > 0
}

// ValidMillis returns the age from which on a proof admits no request.
func (c Config) ValidMillis() clock.Millis {
	return max(c.BoundMillis-marginMillis, 0)
}

// Valid reports whether all times of the message are finite.
func (m Message) Valid() bool {
	for _, t := range [...]clock.Millis{m.At, m.SentAt, m.EchoSentAt, m.EchoReceivedAt} {
		if math.IsNaN(float64(t)) || math.Abs(float64(t)) > float64(clock.Forever) {
			return false
		}
	}
	return true
}
