package fresh

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

type (
	// Answer is an answer of the store to a read or a wait.
	Answer struct {
		// Version is the newest release that the node has read from the store.
		Version ident.Version
		// Unchanged is set for a wait that ended without a change.
		Unchanged bool
		// SentAt is when the call was sent, and HoldMillis how long the store could hold it.
		SentAt, HoldMillis clock.Millis
		// Era and StoreMillis are those of the answer; 0 if the store does not state them.
		Era         ident.Era
		StoreMillis clock.Millis
	}

	// store is what a node knows of the store.
	store struct {
		era ident.Era
		// offset is how far the store's clock is ahead in that era.
		offset offset
		// pending is the proof of answers that wait for confirmation; version 0 if none do.
		// askedAt is when the neighbours were asked to confirm, and deadline when it counts
		// without them; 0 if no confirmation is needed.
		pending           proof
		askedAt, deadline clock.Millis
	}
)

// Answered takes in an answer of the store. Its proof is from the time at which the call
// was sent, or from a later one that follows from the store's time: a call that the store
// held was answered long after it was sent. A wait that ended without a change must have
// been held for longer than the store may withhold changes.
//
// A store that was restored from an older copy may lack a release by which a key was
// revoked and which other nodes hold. So answers of a new era count only once a neighbour
// has told which version it knows; it answers at once if it is reachable. A node that has
// just started cannot know whether the era is new, so it waits as well.
func (n *Node) Answered(now clock.Millis, a Answer) []Action {
	n.pacer.answered(now-a.SentAt, a.HoldMillis)
	var out []Action
	if a.Era != n.store.era {
		n.store = store{era: a.Era, askedAt: now, deadline: n.confirmDeadline(now)}
		if n.store.deadline > 0 {
			out = n.askAll(now)
		}
	}
	at := a.SentAt
	if a.StoreMillis > 0 {
		n.store.offset.observe(a.SentAt, a.StoreMillis)
		at = max(at, n.store.offset.convert(now, a.StoreMillis))
	}
	switch {
	case a.Version == 0, a.Unchanged && min(a.HoldMillis, now-a.SentAt) < historyMillis:
	case n.store.deadline > 0 && n.store.pending.version > 0:
		n.store.pending = proof{max(a.Version, n.store.pending.version), max(at, n.store.pending.at)}
	case n.store.deadline > 0:
		n.store.pending = proof{a.Version, at}
	default:
		n.proofs.add(a.Version, at)
	}
	return append(out, n.forward(now)...)
}
