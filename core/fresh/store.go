package fresh

import (
	"slices"

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

	// discovery is what a node knows of the fleet before it has met other nodes.
	discovery struct {
		// done is set once the list of nodes was read, at time at.
		done bool
		at   clock.Millis
		// contacts holds some of the other nodes in the list, at random. They are asked
		// while the node has no neighbours.
		contacts []Neighbour
	}
)

const (
	// confirmMillis is how long the answers of a store in an era that is new to the node
	// wait until a neighbour has answered.
	confirmMillis = 500 * clock.Millis(1)
	// startConfirmMillis is that time for a node that has just started, from when it has
	// read the list of nodes. It leaves the node time to join the overlay.
	startConfirmMillis = 1500 * clock.Millis(1)
	// contactCount is the number of contacts, and unprovenQuorum that of answers without a
	// proof by which a neighbour with one would have answered too: it does so at once,
	// while nodes that have no proof have just started.
	contactCount   = 8
	unprovenQuorum = 3
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

// confirmDeadline returns when the answers of an era that begins now count without a
// neighbour; 0 if they count at once.
func (n *Node) confirmDeadline(now clock.Millis) clock.Millis {
	switch {
	case !n.discovery.done:
		return clock.Forever
	case len(n.contacts()) == 0:
		return 0
	}
	return max(n.discovery.at+startConfirmMillis, now+confirmMillis)
}

// Discovered records that the list of nodes was read, and which others it has. Without
// others nobody can confirm the answers of the store.
func (n *Node) Discovered(now clock.Millis, others []Neighbour) []Action {
	if n.discovery.done {
		return nil
	}
	contacts := slices.Clone(others)
	n.pacer.random.Shuffle(len(contacts), func(i, j int) { contacts[i], contacts[j] = contacts[j], contacts[i] })
	n.discovery = discovery{done: true, at: now, contacts: contacts[:min(len(contacts), contactCount)]}
	if n.store.deadline != clock.Forever {
		return nil
	}
	n.store.deadline = n.confirmDeadline(now)
	if n.store.deadline == 0 {
		n.confirm()
	}
	return n.askAll(now)
}

// contacts returns the nodes that can confirm the answers of the store.
func (n *Node) contacts() []Neighbour {
	if len(n.neighbours) > 0 {
		return n.neighbours
	}
	return n.discovery.contacts
}

// Unconfirmed reports whether answers of the store wait for a neighbour.
func (n *Node) Unconfirmed() bool {
	return n.store.deadline > 0
}

// heard takes in that another node has answered a question. The answers of the store count
// once a node with a proof has answered. If several have answered and none has a proof,
// nobody knows more than the store.
func (n *Node) heard(now clock.Millis, p *peer, m Message) {
	if !n.Unconfirmed() || m.EchoClock != n.id || m.EchoSentAt < n.store.askedAt {
		return
	}
	p.toldAt = now
	told := 0
	for _, other := range n.peers {
		if other.toldAt >= n.store.askedAt {
			told++
		}
	}
	if m.Version > 0 || told >= min(unprovenQuorum, len(n.contacts())) {
		n.confirm()
	}
}

// confirm makes the answers of the store's present era count.
func (n *Node) confirm() {
	if p := n.store.pending; p.version > 0 {
		n.proofs.add(p.version, p.at)
	}
	n.store.pending, n.store.deadline = proof{}, 0
}

// askAll asks all neighbours, or contacts, for their proofs.
func (n *Node) askAll(now clock.Millis) []Action {
	var out []Action
	for _, b := range n.contacts() {
		p := n.peers[b.Node]
		if p == nil {
			p = n.addPeer(b.Node)
		}
		p.address = b.Address
		out = append(out, n.message(now, b.Node, p, true))
	}
	return out
}
