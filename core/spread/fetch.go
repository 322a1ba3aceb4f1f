package spread

import (
	"bytes"
	"errors"

	"hickoryrail/core/clock"
	"hickoryrail/core/codec"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

// maxReleaseBytes bounds an encoded release. At 160 bytes per route it allows 100,000
// routes.
const maxReleaseBytes = 16 << 20

var (
	// errMismatch reports a release with another version or digest than announced.
	errMismatch = errors.New("release does not match the announced version and digest")
	// errChecksum reports a snapshot whose body was altered on the way.
	errChecksum = errors.New("snapshot does not match its checksum")
)

// Receive handles a message from another node. The transport must have authenticated from.
func (n *Node) Receive(now clock.Millis, from ident.NodeID, m Message) []Action {
	p := n.peers[from]
	if p != nil && m.Kind == Announce {
		p.recordHeld(m.Version, m.Digest)
	}
	switch m.Kind {
	case Announce:
		return n.handleAnnounce(now, from, p, m)
	case Fetch:
		return n.handleFetch(now, from, m)
	case DeltaBody:
		return n.handleDelta(now, from, m)
	case SnapshotBody:
		return n.handleSnapshot(now, from, p, m)
	case Busy:
		n.fetchFailed(now, from, n.jitter(n.config.BusyBackoffMillis))
		return n.startFetch(now)
	}
	return nil
}

// recordHeld records the release that a peer announced. A lower version than before means
// that the peer was restarted or that an old message arrived late; newer releases are then
// announced to the peer again.
func (p *peer) recordHeld(v ident.Version, d ident.Digest) {
	if v < p.version {
		p.announced = min(p.announced, v)
	}
	p.version, p.digest = v, d
}

// handleAnnounce fetches the announced release if it is newer, and answers a peer that
// holds an older one with an announcement. p is nil if the sender is not a neighbour.
func (n *Node) handleAnnounce(now clock.Millis, from ident.NodeID, p *peer, m Message) []Action {
	if m.Version >= n.held.Version {
		delete(n.serving, from)
	}
	if from == n.fetch.from && m.Version <= n.held.Version {
		n.fetch.from = "" // the peer holds no newer release any more
	}
	n.mergeHeartbeats(now, p, m.Heartbeats)
	out := n.startFetch(now)
	if p != nil && m.Version < n.held.Version && now-p.announcedAt >= n.config.RoundMillis {
		out = append(out, n.announce(now, from))
	}
	return out
}

// startFetch starts a fetch from a random neighbour that holds a newer release, unless
// a fetch is in progress or the node still waits for its own read of the source.
func (n *Node) startFetch(now clock.Millis) []Action {
	if n.fetch.from != "" {
		return nil
	}
	var candidates []ident.NodeID
	for _, b := range n.neighbours {
		if p := n.peers[b.Node]; p.version > n.held.Version && now >= p.fetchNotBefore {
			candidates = append(candidates, b.Node)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	if wait, actions := n.waitForSource(now); wait {
		return actions
	}
	n.fetch.from = candidates[n.random.IntN(len(candidates))]
	n.fetch.sentAt = now
	m := Message{Kind: Fetch, Version: n.held.Version, Digest: n.held.Digest}
	if n.fetch.wantSnapshot {
		m.Version, m.Digest = 0, ident.Digest{}
	}
	return []Action{n.send(n.fetch.from, m)}
}

// waitForSource reports whether the node holds no release yet and still waits for its own
// read of the source. The first call returns the action that starts the read.
func (n *Node) waitForSource(now clock.Millis) (bool, []Action) {
	if n.config.SourceTimeoutMillis == 0 || n.held.Version > 0 {
		return false, nil
	}
	var out []Action
	if n.sourceDeadline == 0 {
		n.sourceDeadline = now + n.config.SourceTimeoutMillis
		out = append(out, Action{Kind: NeedSource, Version: n.highestPeerVersion()})
	}
	return now < n.sourceDeadline, out
}

// expireFetch ends a fetch that timed out, so that startFetch tries another neighbour.
func (n *Node) expireFetch(now clock.Millis) {
	if n.fetch.from != "" && now-n.fetch.sentAt >= n.config.FetchTimeoutMillis {
		n.fetchFailed(now, n.fetch.from, n.jitter(n.config.SilentBackoffMillis))
	}
}

// fetchFailed ends the fetch from a neighbour and excludes it from fetches for wait.
func (n *Node) fetchFailed(now clock.Millis, from ident.NodeID, wait clock.Millis) {
	if p := n.peers[from]; p != nil {
		p.fetchNotBefore = now + wait
	}
	if n.fetch.from == from {
		n.fetch.from = ""
	}
}

// handleFetch answers a Fetch with a delta, a snapshot or Busy, or with an announcement if
// this node holds no newer release.
func (n *Node) handleFetch(now clock.Millis, from ident.NodeID, m Message) []Action {
	if n.held.Version <= m.Version {
		return []Action{n.announce(now, from)}
	}
	if delta, ok := n.deltaFrom(m.Version, m.Digest); ok {
		return []Action{n.send(from, Message{Kind: DeltaBody, Version: n.held.Version, Digest: n.held.Digest, Delta: &delta})}
	}
	if _, again := n.serving[from]; !again && len(n.serving) >= n.config.MaxSnapshots {
		return []Action{n.send(from, Message{Kind: Busy, Version: n.held.Version, Digest: n.held.Digest})}
	}
	n.serving[from] = now
	if n.heldBody == nil {
		n.heldBody = codec.Compress(model.EncodeRelease(n.held))
	}
	sum := ident.Sum(n.heldBody)
	return []Action{n.send(from, Message{
		Kind: SnapshotBody, Version: n.held.Version, Digest: n.held.Digest, Body: n.heldBody, Sum: sum[:],
	})}
}

// deltaFrom returns the delta from a recent release to the held one, and whether that
// release is known and the delta is within MaxChanges.
func (n *Node) deltaFrom(v ident.Version, d ident.Digest) (model.Delta, bool) {
	for _, r := range n.recent {
		if r.Version == v && r.Digest == d {
			delta := model.MakeDelta(r, n.held)
			return delta, len(delta.Changes) <= n.config.MaxChanges
		}
	}
	return model.Delta{}, false
}

// handleDelta applies a delta to the held release. If that fails, it fetches a snapshot.
func (n *Node) handleDelta(now clock.Millis, from ident.NodeID, m Message) []Action {
	if m.Delta == nil || m.Delta.To <= n.held.Version {
		return nil // arrived late or twice
	}
	r, err := m.Delta.Apply(n.held)
	if err == nil && (r.Version != m.Version || r.Digest != m.Digest) {
		err = errMismatch
	}
	if err == nil {
		return n.accept(now, from, r)
	}
	n.reportRefused(from, m.Delta.To, err)
	if n.fetch.from != from {
		return nil // an answer to an earlier request
	}
	n.fetch.from, n.fetch.wantSnapshot = "", true
	return n.startFetch(now)
}

// handleSnapshot checks and accepts a whole release. The announcement that it returns
// confirms the transfer to the sender.
func (n *Node) handleSnapshot(now clock.Millis, from ident.NodeID, p *peer, m Message) []Action {
	r, err := decodeSnapshot(m)
	if err == nil && p != nil && r.Version == p.version && !p.digest.IsZero() && r.Digest != p.digest {
		err = errMismatch
	}
	if err != nil {
		n.reportRefused(from, m.Version, err)
		n.fetchFailed(now, from, n.jitter(n.config.SilentBackoffMillis))
		return n.startFetch(now)
	}
	out := n.accept(now, from, r)
	return append(out, n.announce(now, from))
}

// decodeSnapshot decodes the release of a SnapshotBody and checks it against the
// checksum, the version and the digest of the message.
func decodeSnapshot(m Message) (model.Release, error) {
	if sum := ident.Sum(m.Body); !bytes.Equal(sum[:], m.Sum) {
		return model.Release{}, errChecksum
	}
	body, err := codec.Decompress(m.Body, maxReleaseBytes)
	if err != nil {
		return model.Release{}, err
	}
	r, err := model.DecodeRelease(body)
	if err == nil && (r.Version != m.Version || r.Digest != m.Digest) {
		err = errMismatch
	}
	return r, err
}

// send returns the action that sends a message, with the address if to is a neighbour.
func (n *Node) send(to ident.NodeID, m Message) Action {
	a := Action{Kind: Send, To: to, Message: m}
	for _, b := range n.neighbours {
		if b.Node == to {
			a.Address = b.Address
		}
	}
	return a
}
