// Package spread provides the distribution of releases over the overlay: every
// node announces what it holds and fetches newer releases from its neighbours.
package spread

import (
	"math/rand/v2"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

type (
	// Node is the release distribution of one node. It is a state machine for one
	// goroutine: events and times go in, actions come out. Tick is expected about
	// every 100 ms.
	Node struct {
		config Config
		random *rand.Rand
		// OnRefuse, if set, is told of each release that was refused.
		OnRefuse func(from ident.NodeID, v ident.Version, err error)

		// held is the newest whole, valid release; its version never falls.
		held model.Release
		// body is the encoding of held, or nil until it is needed.
		body []byte
		// recent holds earlier releases in order of version, as bases of deltas.
		recent []model.Release
		// applied is the version that was put in force; it is at least floor.
		applied ident.Version
		// floor is the lowest version that may be put in force.
		floor      ident.Version
		floorKnown bool

		neighbours []Neighbour
		// peers holds the state of the neighbours.
		peers map[ident.NodeID]*peer
		fetch fetch
		// wholeAt is the time from which neighbours are asked for a whole release
		// because the source did not provide one; 0 while none is needed.
		wholeAt clock.Millis
		// serving holds when each snapshot that is being served began.
		serving map[ident.NodeID]clock.Millis
		// head is what the source was last seen to hold; readAt is when it was
		// last asked for.
		headVersion ident.Version
		headDigest  ident.Digest
		readAt      clock.Millis

		pulses map[ident.Region]pulseState
		// announcedAt and pulsedAt are the times of the last announcements.
		announcedAt clock.Millis
		pulsedAt    clock.Millis
		repairAt    clock.Millis
		// repairNext counts the repairs, which go to the neighbours in turn.
		repairNext int
		// wantingSince is when the node began to lack a release, or 0.
		wantingSince clock.Millis
	}

	// peer is what is known of a neighbour.
	peer struct {
		// version and digest name what the peer holds at least; the digest is
		// zero if only the version is known.
		version ident.Version
		digest  ident.Digest
		// told is the version that was announced to the peer, and toldAt when.
		told   ident.Version
		toldAt clock.Millis
		// notBefore is the time before which the peer is not asked for a body.
		notBefore clock.Millis
		// pulses are the heartbeats that the peer knows.
		pulses map[ident.Region]Pulse
	}

	// fetch is the request for a newer release. It is idle if from is empty.
	fetch struct {
		from   ident.NodeID
		sentAt clock.Millis
		// whole is set after a delta failed; then a snapshot is asked for.
		whole bool
	}

	// pulseState is a region's pulse and when it last made progress.
	pulseState struct {
		pulse Pulse
		at    clock.Millis
	}
)

// New returns a node that holds no release.
func New(config Config, random *rand.Rand) *Node {
	return &Node{
		config: config, random: random,
		peers:   make(map[ident.NodeID]*peer),
		serving: make(map[ident.NodeID]clock.Millis),
		pulses:  make(map[ident.Region]pulseState),
		// The first announcement needs no wait.
		announcedAt: -clock.Forever, pulsedAt: -clock.Forever, readAt: -clock.Forever,
	}
}

// Held returns the newest release that the node holds; it may be below the floor.
func (n *Node) Held() model.Release {
	return n.held
}

// Applied returns the version that was put in force, or 0.
func (n *Node) Applied() ident.Version {
	return n.applied
}

// Ready reports whether the floor is known and a release at or above it is in
// force. With floor 0 no release is needed.
func (n *Node) Ready() bool {
	return n.floorKnown && n.applied >= n.floor
}

// HighestSeen returns the highest version that a neighbour or the source was seen
// to hold.
func (n *Node) HighestSeen() ident.Version {
	v := max(n.held.Version, n.headVersion)
	for _, p := range n.peers {
		v = max(v, p.version)
	}
	return v
}

// SetFloor sets the version below which nothing is put in force. A later, lower
// floor is ignored.
func (n *Node) SetFloor(now clock.Millis, floor ident.Version) []Action {
	n.floor = max(n.floor, floor)
	n.floorKnown = true
	return append(n.apply(), n.Tick(now)...)
}

// SetNeighbours replaces the neighbours. New ones are told what the node holds.
func (n *Node) SetNeighbours(now clock.Millis, neighbours []Neighbour) []Action {
	n.neighbours = slices.Clone(neighbours)
	earlier := n.peers
	n.peers = make(map[ident.NodeID]*peer)
	var out []Action
	for _, b := range neighbours {
		if p := earlier[b.Node]; p != nil {
			n.peers[b.Node] = p
			continue
		}
		n.peers[b.Node] = &peer{pulses: make(map[ident.Region]Pulse)}
		out = append(out, n.announce(now, b.Node))
	}
	if n.fetch.from != "" && n.peers[n.fetch.from] == nil {
		n.fetch.from = ""
	}
	return append(out, n.pursue(now)...)
}

// PeerHeld tells that a peer holds a version, for example by its member record.
// It repairs lost announcements in both directions.
func (n *Node) PeerHeld(now clock.Millis, from ident.NodeID, v ident.Version) []Action {
	p := n.peers[from]
	if p == nil {
		return nil
	}
	if v > p.version {
		p.version, p.digest = v, ident.Digest{}
	}
	if v < n.held.Version && now-p.toldAt >= n.config.RepairMillis {
		return []Action{n.announce(now, from)}
	}
	return n.pursue(now)
}

// SourceHead tells what the source holds. The reader calls it after each poll.
func (n *Node) SourceHead(now clock.Millis, v ident.Version, d ident.Digest) []Action {
	if v < n.headVersion {
		return nil // a stale read
	}
	if v > n.headVersion {
		n.readAt = -clock.Forever
	}
	n.headVersion, n.headDigest = v, d
	if v <= n.held.Version || now-n.readAt < n.config.FetchMillis {
		return nil
	}
	n.readAt = now
	return []Action{{Kind: ReadRelease, Version: v, Digest: d}}
}

// SourceRelease takes a release that was read from the source. It must be the one
// that SourceHead named, whole and valid.
func (n *Node) SourceRelease(now clock.Millis, r model.Release) []Action {
	if r.Version != n.headVersion || r.Digest != n.headDigest {
		n.refuse("", r.Version, errOther)
		return nil
	}
	if err := r.Check(); err != nil {
		n.refuse("", r.Version, err)
		return nil
	}
	return n.accept(now, r)
}

// accept holds a checked release if it is newer, puts it in force and announces it.
func (n *Node) accept(now clock.Millis, r model.Release) []Action {
	if r.Version <= n.held.Version {
		return nil
	}
	if n.held.Version > 0 {
		n.recent = append(n.recent, n.held)
		n.recent = slices.Delete(n.recent, 0, max(0, len(n.recent)-n.config.Recent))
	}
	n.held, n.body = r, nil
	n.fetch, n.wholeAt = fetch{}, 0
	out := n.apply()
	return append(out, n.Tick(now)...)
}

// apply puts the held release in force if the floor allows it.
func (n *Node) apply() []Action {
	if !n.floorKnown || n.held.Version <= n.applied || n.held.Version < n.floor {
		return nil
	}
	n.applied = n.held.Version
	return []Action{{Kind: Apply, Release: n.held}}
}

// refuse reports a release that was not accepted.
func (n *Node) refuse(from ident.NodeID, v ident.Version, err error) {
	if n.OnRefuse != nil {
		n.OnRefuse(from, v, err)
	}
}

// Tick does what is due.
func (n *Node) Tick(now clock.Millis) []Action {
	for node, since := range n.serving {
		if now-since >= n.config.SnapshotMillis {
			delete(n.serving, node)
		}
	}
	n.checkFetch(now)
	out := n.announceDue(now)
	out = append(out, n.pursue(now)...)
	return append(out, n.needSource(now)...)
}

// needSource asks for the source if the node has lacked a release at or above the
// floor for a while and no peer holds one.
func (n *Node) needSource(now clock.Millis) []Action {
	if !n.floorKnown || n.Ready() || n.peerVersion() >= n.floor {
		n.wantingSince = 0
		return nil
	}
	wait := n.config.NeedSourceMillis
	if n.wantingSince == 0 {
		n.wantingSince = now + n.jitter(wait)/2
	}
	if now-n.wantingSince < wait {
		return nil
	}
	n.wantingSince = 0
	return []Action{{Kind: NeedSource, Version: n.floor}}
}

// peerVersion returns the highest version that a neighbour holds.
func (n *Node) peerVersion() ident.Version {
	var v ident.Version
	for _, p := range n.peers {
		v = max(v, p.version)
	}
	return v
}

// jitter returns a time between half of d and one and a half of d.
func (n *Node) jitter(d clock.Millis) clock.Millis {
	return d * clock.Millis(0.5+n.random.Float64())
}
