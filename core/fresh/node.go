package fresh

import (
	"math/rand/v2"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// forwardAgeMillis is the age of a neighbour's proof from which on a better one is sent
	// to it, minGainMillis the least difference for which one is, and sendIntervalMillis the
	// least time between two such messages. A leader gets an answer of the store every
	// 1.5 s, so that a neighbour gets about one message in that time, and one more only if
	// the leaders of several failure domains have answers at different times.
	forwardAgeMillis   = 1300 * clock.Millis(1)
	minGainMillis      = 500 * clock.Millis(1)
	sendIntervalMillis = 500 * clock.Millis(1)
	// answerIntervalMillis is the least time between two answers to one node that asks.
	answerIntervalMillis = 100 * clock.Millis(1)
	// needAgeMillis is the age of the best proof from which on a node asks its neighbours
	// in turn, one every askIntervalMillis. It is above the age that proofs reach in a
	// fleet without faults.
	needAgeMillis     = 2500 * clock.Millis(1)
	askIntervalMillis = 500 * clock.Millis(1)
	// echoIntervalMillis is the longest time between two messages to a neighbour. Without
	// messages in one direction, the bound of the difference between the clocks grows by
	// driftRate in the other one.
	echoIntervalMillis = 20 * clock.Second
	// maxPeers bounds the nodes whose clocks are known. A node has at most 8 neighbours,
	// and a few more nodes have it as theirs while memberships differ.
	maxPeers = 32
)

type (
	// Neighbour is a node to which proofs are sent.
	Neighbour struct {
		Node    ident.NodeID
		Address string
	}

	// Action is a message to send. Address is empty if To is not a neighbour.
	Action struct {
		To      ident.NodeID
		Address string
		Message Message
	}

	// Node keeps the proofs of one node and passes them on. It is a state machine without
	// I/O and is not safe for concurrent use: each method takes an event with its time and
	// returns the messages to send. Times are those of a clock that counts the time for
	// which the machine was suspended. Tick must be called about every 100 ms.
	Node struct {
		config    Config
		id        ClockID
		proofs    proofs
		store     store
		discovery discovery
		pacer     pacer

		neighbours []Neighbour
		peers      map[ident.NodeID]*peer
		// nextAsk is the time of the next question to a neighbour, and asked counts them.
		nextAsk clock.Millis
		asked   int
	}

	// peer is the state of another node.
	peer struct {
		address string
		// clock identifies the peer's clock, and offset is how far it is ahead.
		clock  ClockID
		offset offset
		// heardSentAt is the time, in the peer's clock, at which its last message was sent,
		// and heardAt when it arrived.
		heardSentAt, heardAt clock.Millis
		// provenAt is the time of the best proof that the peer is known to have.
		provenAt clock.Millis
		// sentAt is when a message was last sent to the peer, and answeredAt when one was
		// sent because the peer asked or its clock was not known.
		sentAt, answeredAt clock.Millis
		// toldAt is when the peer last answered a question about the store's era.
		toldAt clock.Millis
	}
)

// New returns a node without a proof.
func New(config Config, random *rand.Rand) *Node {
	return &Node{
		config: config, id: ClockID(random.Uint32() | 1), peers: make(map[ident.NodeID]*peer),
		pacer: pacer{random: random, readAt: -clock.Forever}, nextAsk: -clock.Forever,
	}
}

// ValidUntil returns the time from which on no request with a key may be admitted, or
// -Forever if none may be.
func (n *Node) ValidUntil() clock.Millis {
	return n.proofs.counting() + n.config.ValidMillis()
}

// Age returns the age of the proof that counts for the version in force.
func (n *Node) Age(now clock.Millis) clock.Millis {
	return now - n.proofs.counting()
}

// BestAge returns the age of the newest proof, which may be for a release that has not
// arrived yet.
func (n *Node) BestAge(now clock.Millis) clock.Millis {
	return now - n.proofs.best().at
}

// SetHeld records the version of the release in force.
func (n *Node) SetHeld(v ident.Version) {
	n.proofs.setHeld(v)
}

// SetNeighbours replaces the neighbours and asks new ones for their proofs.
func (n *Node) SetNeighbours(now clock.Millis, neighbours []Neighbour) []Action {
	n.neighbours = slices.Clone(neighbours)
	for _, p := range n.peers {
		p.address = ""
	}
	var out []Action
	for _, b := range neighbours {
		p, known := n.peers[b.Node]
		if !known {
			p = n.addPeer(b.Node)
		}
		p.address = b.Address
		if !known {
			out = append(out, n.message(now, b.Node, p, true))
		}
	}
	return out
}

// Receive handles a message of another node.
func (n *Node) Receive(now clock.Millis, from ident.NodeID, m Message) []Action {
	p := n.peers[from]
	if p == nil {
		p = n.addPeer(from)
	}
	if p.clock != m.Clock { // the peer has restarted
		p.clock, p.offset, p.provenAt, p.answeredAt = m.Clock, offset{}, -clock.Forever, -clock.Forever
	}
	p.heardSentAt, p.heardAt = m.SentAt, now
	if m.EchoClock == n.id && m.EchoSentAt <= now {
		p.offset.observe(m.EchoSentAt, m.EchoReceivedAt)
	}
	if m.Ask {
		p.provenAt = -clock.Forever // it may have missed what was sent to it
	}
	if m.Version > 0 && p.offset.known {
		at := p.offset.convert(now, m.At)
		n.proofs.add(m.Version, at)
		p.provenAt = max(p.provenAt, at)
	}
	n.heard(now, p, m)
	var out []Action
	if (m.Ask || !p.offset.known) && now-p.answeredAt >= answerIntervalMillis {
		p.answeredAt = now
		out = append(out, n.message(now, from, p, !p.offset.known))
	}
	return append(out, n.forward(now)...)
}

// Tick sends what is due.
func (n *Node) Tick(now clock.Millis) []Action {
	if n.Unconfirmed() && now >= n.store.deadline {
		n.confirm()
	}
	out := n.forward(now)
	for _, b := range n.neighbours {
		if p := n.peers[b.Node]; now-p.sentAt >= echoIntervalMillis {
			out = append(out, n.message(now, b.Node, p, false))
		}
	}
	if len(n.neighbours) > 0 && n.BestAge(now) >= needAgeMillis && now >= n.nextAsk {
		n.nextAsk = now + askIntervalMillis
		n.asked++
		b := n.neighbours[n.asked%len(n.neighbours)]
		out = append(out, n.message(now, b.Node, n.peers[b.Node], true))
	}
	return out
}

// forward sends the best proof to the neighbours whose own one is old. One that admits no
// request any more is sent to nobody.
func (n *Node) forward(now clock.Millis) []Action {
	best := n.proofs.best()
	if now-best.at >= n.config.ValidMillis() {
		return nil
	}
	var out []Action
	for _, b := range n.neighbours {
		p := n.peers[b.Node]
		if now-p.provenAt >= forwardAgeMillis && best.at-p.provenAt >= minGainMillis && now-p.sentAt >= sendIntervalMillis {
			out = append(out, n.message(now, b.Node, p, false))
		}
	}
	return out
}

// message returns a message to a peer with the best proof.
func (n *Node) message(now clock.Millis, to ident.NodeID, p *peer, ask bool) Action {
	best := n.proofs.best()
	p.sentAt = now
	m := Message{
		Version: best.version, Clock: n.id, SentAt: now, Ask: ask,
		EchoClock: p.clock, EchoSentAt: p.heardSentAt, EchoReceivedAt: p.heardAt,
	}
	if best.version > 0 {
		m.At = best.at
		p.provenAt = max(p.provenAt, best.at)
	}
	return Action{To: to, Address: p.address, Message: m}
}

// addPeer adds a node. If there are too many, the one that was heard longest ago and is no
// neighbour is removed.
func (n *Node) addPeer(id ident.NodeID) *peer {
	if len(n.peers) >= maxPeers {
		n.removeOldest()
	}
	p := &peer{provenAt: -clock.Forever, sentAt: -clock.Forever, answeredAt: -clock.Forever, heardAt: -clock.Forever, toldAt: -clock.Forever}
	n.peers[id] = p
	return p
}

// removeOldest removes the peer that was heard longest ago among those that are no
// neighbours.
func (n *Node) removeOldest() {
	var oldest ident.NodeID
	for id, p := range n.peers {
		isNeighbour := slices.ContainsFunc(n.neighbours, func(b Neighbour) bool { return b.Node == id })
		if !isNeighbour && (oldest == "" || p.heardAt < n.peers[oldest].heardAt) {
			oldest = id
		}
	}
	delete(n.peers, oldest)
}
