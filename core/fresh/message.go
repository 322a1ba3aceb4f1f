// Package fresh tracks how long ago the configuration that a node holds was known to be the
// newest one. Under strict revocation a node admits requests with access keys only while
// that age is below a bound, so that a key which was taken away is refused everywhere in
// time, also at nodes that cannot reach the store.
package fresh

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

type (
	// Config holds the settings of strict revocation; the zero value turns it off.
	Config struct {
		// BoundMillis is the time after which a key that was taken away must be refused
		// by every node.
		BoundMillis clock.Millis
	}

	// Message states that Version was the newest release AgeMillis before the message was
	// sent. A receiver adds the time since it received the message; ages only add up, so
	// clocks need not agree.
	Message struct {
		_         struct{} `cbor:",toarray"`
		Version   ident.Version
		AgeMillis clock.Millis
	}
)

// Enabled reports whether strict revocation is on.
func (c Config) Enabled() bool {
	return c.BoundMillis > 0
}
