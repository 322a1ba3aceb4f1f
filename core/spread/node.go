// Package spread distributes releases over the overlay: each node announces the release
// that it holds to its neighbours and fetches newer releases from them.
package spread

import (
	"math/rand/v2"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

type (
	// Node is the release distribution of one node. It is a state machine without I/O and
	// is not safe for concurrent use: each method takes an event with its time and returns
	// the actions to carry out. Tick must be called about every 100 ms.
	Node struct {
		config Config
		random *rand.Rand
		// OnRefuse, if set, is called for each release that was refused. from is empty for
		// a release of the source.
		OnRefuse func(from ident.NodeID, v ident.Version, err error)

		// held is the newest complete and valid release; its version never decreases.
		held model.Release
		// heldFrom is the neighbour that sent held; empty if it came from the source.
		heldFrom ident.NodeID
		// heldBody is the encoded and compressed form of held; nil until it is first needed.
		heldBody []byte
		// recent holds earlier releases in ascending order of version, as bases of deltas.
		recent []model.Release
		// applied is the version of the last Apply, or 0. It never decreases.
		applied ident.Version
		// floor is the lowest version that may be applied. None is applied before
		// floorKnown is set.
		floor      ident.Version
		floorKnown bool

		neighbours []Neighbour
		// peers holds the state of each neighbour.
		peers map[ident.NodeID]*peer
		fetch fetch
		// sourceDeadline is the time from which a node without a release fetches from
		// neighbours because the source did not provide one; 0 if the wait has not begun.
		sourceDeadline clock.Millis
		// serving holds the start time of each unconfirmed snapshot transfer by receiver.
		serving map[ident.NodeID]clock.Millis
		// headVersion and headDigest identify the latest release that the source was seen
		// to hold; sourceReadAt is when its read was last requested.
		headVersion  ident.Version
		headDigest   ident.Digest
		sourceReadAt clock.Millis

		// heartbeats holds the latest heartbeat of each known region's reader.
		heartbeats map[ident.Region]heartbeatState
		// releaseAnnouncedAt and heartbeatsAnnouncedAt are when a new release and heartbeats
		// were last announced to neighbours; repairAt is when the next repair is due.
		releaseAnnouncedAt    clock.Millis
		heartbeatsAnnouncedAt clock.Millis
		repairAt              clock.Millis
		// repairs counts the repair announcements, which go to the neighbours in turn.
		repairs int
		// needSourceSince is when the wait for NeedSource began, which may lie ahead because
		// of the jitter; 0 if the node is ready or a peer can provide a release.
		needSourceSince clock.Millis
		// lagSince is when the node first knew of a newer release than the held one, which
		// may lie ahead because of the jitter; 0 if it knows of none.
		lagSince clock.Millis
	}

	// peer is the state of a neighbour.
	peer struct {
		// version and digest identify the release that the peer was last known to hold;
		// the digest is zero if only the version is known.
		version ident.Version
		digest  ident.Digest
		// announced is the version last announced to the peer, and announcedAt when.
		announced   ident.Version
		announcedAt clock.Millis
		// fetchNotBefore is the time before which no body is fetched from the peer.
		fetchNotBefore clock.Millis
		// heartbeats holds the latest heartbeat of each region that the peer sent or was
		// sent.
		heartbeats map[ident.Region]Heartbeat
	}

	// fetch is the state of the fetch of a newer release.
	fetch struct {
		// from is the neighbour that is to answer; empty if no fetch is in progress.
		from   ident.NodeID
		sentAt clock.Millis
		// wantSnapshot is set after a delta failed, so that a snapshot is fetched.
		wantSnapshot bool
	}

	// heartbeatState is the latest heartbeat of a region's reader and when the node
	// learned it.
	heartbeatState struct {
		heartbeat Heartbeat
		learnedAt clock.Millis
	}
)

// New returns a node that holds no release.
func New(config Config, random *rand.Rand) *Node {
	return &Node{
		config: config, random: random,
		peers:      make(map[ident.NodeID]*peer),
		serving:    make(map[ident.NodeID]clock.Millis),
		heartbeats: make(map[ident.Region]heartbeatState),
		// The first announcements and the first read are due at once.
		releaseAnnouncedAt: -clock.Forever, heartbeatsAnnouncedAt: -clock.Forever, sourceReadAt: -clock.Forever,
	}
}

// Held returns the newest release that the node holds; it may be below the floor.
func (n *Node) Held() model.Release {
	return n.held
}

// Applied returns the version that was last applied, or 0.
func (n *Node) Applied() ident.Version {
	return n.applied
}

// Ready reports whether the floor is known and a release at or above it is applied. With
// floor 0 no release is needed.
func (n *Node) Ready() bool {
	return n.floorKnown && n.applied >= n.floor
}

// HighestSeen returns the highest version that this node, a neighbour or the source is
// known to hold.
func (n *Node) HighestSeen() ident.Version {
	v := max(n.held.Version, n.headVersion)
	for _, p := range n.peers {
		v = max(v, p.version)
	}
	return v
}

// SetFloor sets the version below which no release is applied. A floor below the current
// one is ignored.
func (n *Node) SetFloor(now clock.Millis, floor ident.Version) []Action {
	n.floor = max(n.floor, floor)
	n.floorKnown = true
	return append(n.apply(), n.Tick(now)...)
}

// SetNeighbours replaces the neighbours and announces the held release to new ones.
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
		n.peers[b.Node] = &peer{heartbeats: make(map[ident.Region]Heartbeat)}
		out = append(out, n.announce(now, b.Node))
	}
	if n.fetch.from != "" && n.peers[n.fetch.from] == nil {
		n.fetch.from = ""
	}
	return append(out, n.startFetch(now)...)
}

// PeerHeld records the version that a peer holds as learned outside announcements, for
// example from its member record. This makes up for lost announcements in both directions.
func (n *Node) PeerHeld(now clock.Millis, from ident.NodeID, v ident.Version) []Action {
	p := n.peers[from]
	if p == nil {
		return nil
	}
	if v > p.version {
		p.version, p.digest = v, ident.Digest{}
	}
	if v < n.held.Version && now-p.announcedAt >= n.config.RepairMillis {
		return []Action{n.announce(now, from)}
	}
	return n.startFetch(now)
}

// SourceHead records the latest release of the source and requests it if it is newer than
// the held one. The reader calls it after each poll.
func (n *Node) SourceHead(now clock.Millis, v ident.Version, d ident.Digest) []Action {
	if v < n.headVersion {
		return nil // a stale read
	}
	if v > n.headVersion {
		n.sourceReadAt = -clock.Forever
	}
	n.headVersion, n.headDigest = v, d
	if v <= n.held.Version || now-n.sourceReadAt < n.config.FetchTimeoutMillis {
		return nil
	}
	n.sourceReadAt = now
	return []Action{{Kind: ReadRelease, Version: v, Digest: d}}
}

// SourceRelease accepts a release that was read from the source. It refuses one that is
// not the release of the last SourceHead or is invalid.
func (n *Node) SourceRelease(now clock.Millis, r model.Release) []Action {
	if r.Version != n.headVersion || r.Digest != n.headDigest {
		n.reportRefused("", r.Version, errMismatch)
		return nil
	}
	if err := r.Check(); err != nil {
		n.reportRefused("", r.Version, err)
		return nil
	}
	return n.accept(now, "", r)
}

// accept stores a checked release if it is newer than the held one, applies it if the
// floor allows, and announces it. from is empty for a release of the source.
func (n *Node) accept(now clock.Millis, from ident.NodeID, r model.Release) []Action {
	if r.Version <= n.held.Version {
		return nil
	}
	if n.held.Version > 0 {
		n.recent = append(n.recent, n.held)
		n.recent = slices.Delete(n.recent, 0, max(0, len(n.recent)-n.config.MaxRecent))
	}
	n.held, n.heldFrom, n.heldBody = r, from, nil
	n.fetch, n.sourceDeadline, n.lagSince = fetch{}, 0, 0
	out := n.apply()
	return append(out, n.Tick(now)...)
}

// apply applies the held release if it is newer than the applied one and the floor allows.
func (n *Node) apply() []Action {
	if !n.floorKnown || n.held.Version <= n.applied || n.held.Version < n.floor {
		return nil
	}
	n.applied = n.held.Version
	return []Action{{Kind: Apply, Release: n.held, From: n.heldFrom}}
}

// reportRefused calls OnRefuse for a release that was not accepted.
func (n *Node) reportRefused(from ident.NodeID, v ident.Version, err error) {
	if n.OnRefuse != nil {
		n.OnRefuse(from, v, err)
	}
}

// Tick runs the timers: it expires snapshot transfers and fetches, makes announcements
// that are due, and retries fetches.
func (n *Node) Tick(now clock.Millis) []Action {
	for node, since := range n.serving {
		if now-since >= n.config.SnapshotTimeoutMillis {
			delete(n.serving, node)
		}
	}
	n.expireFetch(now)
	out := n.announceDue(now)
	out = append(out, n.startFetch(now)...)
	out = append(out, n.readIfLagging(now)...)
	return append(out, n.needSource(now)...)
}

// readIfLagging requests a read of the source if for LagMillis, with jitter, the node has
// known of a newer release without getting one: its neighbours may be slow or unreachable,
// all at the same time, while the source is not.
func (n *Node) readIfLagging(now clock.Millis) []Action {
	wait := n.config.LagMillis
	switch newest := n.HighestSeen(); {
	case wait == 0 || n.held.Version == 0 || newest <= n.held.Version:
		n.lagSince = 0
	case n.lagSince == 0:
		n.lagSince = now + n.jitter(wait)/2 - wait/4
	case now-n.lagSince >= wait:
		n.lagSince = 0
		return []Action{{Kind: NeedSource, Version: newest}}
	}
	return nil
}

// needSource requests a read of the source if for NeedSourceDelayMillis, with jitter, the
// node has had no release at or above the floor and no peer has held one.
func (n *Node) needSource(now clock.Millis) []Action {
	if !n.floorKnown || n.Ready() || n.highestPeerVersion() >= n.floor {
		n.needSourceSince = 0
		return nil
	}
	wait := n.config.NeedSourceDelayMillis
	if n.needSourceSince == 0 {
		n.needSourceSince = now + n.jitter(wait)/2
	}
	if now-n.needSourceSince < wait {
		return nil
	}
	n.needSourceSince = 0
	return []Action{{Kind: NeedSource, Version: n.floor}}
}

// highestPeerVersion returns the highest version that a neighbour is known to hold.
func (n *Node) highestPeerVersion() ident.Version {
	var v ident.Version
	for _, p := range n.peers {
		v = max(v, p.version)
	}
	return v
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (n *Node) jitter(d clock.Millis) clock.Millis {
	return d * clock.Millis(0.5+n.random.Float64())
}
