// Package grant divides the usage cap of each team among the nodes. A coordinator, chosen
// for each team by rendezvous hashing, hands out short-lived grants that follow the demand at
// each node; a node without a coordinator admits a fixed safe part of the cap.
package grant

import "hickoryrail/core/clock"

type (
	// Config holds the settings of usage caps; the zero value turns them off.
	Config struct {
		// WindowMillis is the sliding window in which the requests of a team are counted.
		WindowMillis clock.Millis
		// Overage and Slack bound what a window may hold beyond the cap: the cap times
		// (1 + Overage), plus Slack requests.
		Overage, Slack float64
	}

	// Message is a control message between a node and a coordinator.
	Message struct {
		_ struct{} `cbor:",toarray"`
	}
)

// Enabled reports whether usage caps are enforced.
func (c Config) Enabled() bool {
	return c.WindowMillis > 0
}
