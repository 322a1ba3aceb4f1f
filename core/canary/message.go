// Package canary moves the requests of a service to a new version of its targets step by
// step: it bounds the share of the new version, compares its answers with those of the old
// one, and completes the rollout or rolls it back.
package canary

import "hickoryrail/core/clock"

type (
	// Config holds the settings of rollouts; the zero value turns them off.
	Config struct {
		// Share and Slack bound the requests that reach a faulty version during a rollout:
		// Share of all requests to the service plus Slack.
		Share, Slack float64
		// RollbackMillis is the time after the 50th bad answer of a faulty version from
		// which on it must get no request.
		RollbackMillis clock.Millis
	}

	// Message is a control message about rollouts between nodes.
	Message struct {
		_ struct{} `cbor:",toarray"`
	}
)

// Enabled reports whether rollouts are handled.
func (c Config) Enabled() bool {
	return c.Share > 0
}
