// Package feed decides how a node follows the newest release of a store that may lose
// its latest writes and give out their revisions again.
package feed

import (
	"hickoryrail/core/canary"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

type (
	// Position identifies a state of a store.
	Position struct {
		// Era is 0 if the store does not report it.
		Era ident.Era
		// Revision counts the transactions of the whole store within its era.
		Revision ident.Revision
	}

	// Answer is an answer of a store.
	Answer struct {
		// Release is the newest release in the answer; version 0 if there is none.
		Release model.Release
		// Position is the state up to which the store was read. In the answer to a
		// failed call, only its era is set, if it is known.
		Position Position
		// StoreMillis is the store's steady clock at the answer; 0 if it does not state it.
		StoreMillis clock.Millis
		// Orders holds the rollout orders in the answer; nil if there are none in it, or if
		// the caller does not handle them.
		Orders *canary.Orders
	}
)
