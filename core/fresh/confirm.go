package fresh

import (
	"slices"

	"hickoryrail/core/clock"
)

const (
	// confirmMillis is how long the answers of a store in an era that is new to the node
	// wait until a neighbour has answered.
	confirmMillis = 500 * clock.Millis(1)
	// startConfirmMillis is that time for a node that has just started, from when it has
	// read the list of nodes. It leaves the node time to join the overlay.
	startConfirmMillis = 1500 * clock.Millis(1)
	// contactCount bounds discovery.contacts.
	contactCount = 8
	// unprovenQuorum is the number of answers without a proof that confirm the store. Nodes
	// without a proof have just started; one with a proof answers first.
	unprovenQuorum = 3
)

// discovery is what a node knows of the fleet before it has met other nodes.
type discovery struct {
	// done is set once the list of nodes was read, at time at.
	done bool
	at   clock.Millis
	// contacts holds some of the other nodes in the list, at random. They are asked
	// while the node has no neighbours.
	contacts []Neighbour
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
