package spread

import (
	"bytes"
	"errors"

	"hickoryrail/core/clock"
	"hickoryrail/core/codec"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

// maxReleaseBytes bounds an encoded release; at 160 bytes a route it holds 100,000
// routes.
const maxReleaseBytes = 16 << 20

var (
	// errOther reports a release other than the one that was announced.
	errOther = errors.New("release is not the announced one")
	// errSum reports a snapshot that was altered.
	errSum = errors.New("snapshot does not match its sum")
)

// Receive handles a message. The transport has verified from.
func (n *Node) Receive(now clock.Millis, from ident.NodeID, m Message) []Action {
	p := n.peers[from]
	if p != nil && m.Kind == Announce {
		p.holds(m.Version, m.Digest)
	}
	switch m.Kind {
	case Announce:
		return n.heard(now, from, p, m)
	case Fetch:
		return n.serve(now, from, m)
	case DeltaBody:
		return n.takeDelta(now, from, m)
	case SnapshotBody:
		return n.takeSnapshot(now, from, p, m)
	case Busy:
		n.failed(now, from, n.jitter(n.config.BusyMillis))
		return n.pursue(now)
	}
	return nil
}

// holds records what a peer said that it holds. A lower version means that the
// peer was restarted, or that an old message came late; it is told anew.
func (p *peer) holds(v ident.Version, d ident.Digest) {
	if v < p.version {
		p.told = min(p.told, v)
	}
	p.version, p.digest = v, d
}

// heard handles an announcement.
func (n *Node) heard(now clock.Millis, from ident.NodeID, p *peer, m Message) []Action {
	if m.Version >= n.held.Version {
		delete(n.serving, from)
	}
	if from == n.fetch.from && m.Version <= n.held.Version {
		n.fetch.from = "" // it has nothing newer after all
	}
	n.takePulses(now, p, m.Pulses)
	out := n.pursue(now)
	if p != nil && m.Version < n.held.Version && now-p.toldAt >= n.config.RoundMillis {
		out = append(out, n.announce(now, from))
	}
	return out
}

// pursue starts a fetch from a random neighbour that holds a newer release.
func (n *Node) pursue(now clock.Millis) []Action {
	if n.fetch.from != "" {
		return nil
	}
	var able []ident.NodeID
	for _, b := range n.neighbours {
		if p := n.peers[b.Node]; p.version > n.held.Version && now >= p.notBefore {
			able = append(able, b.Node)
		}
	}
	if len(able) == 0 {
		return nil
	}
	if wait, asked := n.leaveToSource(now); wait {
		return asked
	}
	n.fetch.from = able[n.random.IntN(len(able))]
	n.fetch.sentAt = now
	m := Message{Kind: Fetch, Version: n.held.Version, Digest: n.held.Digest}
	if n.fetch.whole {
		m.Version, m.Digest = 0, ident.Digest{}
	}
	return []Action{n.send(n.fetch.from, m)}
}

// leaveToSource reports whether the node holds nothing yet and its own source still has
// time to provide a release. The first time it asks for the source.
func (n *Node) leaveToSource(now clock.Millis) (bool, []Action) {
	if n.config.SourceMillis == 0 || n.held.Version > 0 {
		return false, nil
	}
	var out []Action
	if n.wholeAt == 0 {
		n.wholeAt = now + n.config.SourceMillis
		out = append(out, Action{Kind: NeedSource, Version: n.peerVersion()})
	}
	return now < n.wholeAt, out
}

// checkFetch gives up a neighbour that went silent; pursue then asks another.
func (n *Node) checkFetch(now clock.Millis) {
	if n.fetch.from != "" && now-n.fetch.sentAt >= n.config.FetchMillis {
		n.failed(now, n.fetch.from, n.jitter(n.config.SilentMillis))
	}
}

// failed ends the fetch from a neighbour and does not ask it again for a while.
func (n *Node) failed(now clock.Millis, from ident.NodeID, wait clock.Millis) {
	if p := n.peers[from]; p != nil {
		p.notBefore = now + wait
	}
	if n.fetch.from == from {
		n.fetch.from = ""
	}
}

// serve answers a Fetch with a delta, a snapshot, or a refusal.
func (n *Node) serve(now clock.Millis, from ident.NodeID, m Message) []Action {
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
	if n.body == nil {
		n.body = codec.Compress(model.EncodeRelease(n.held))
	}
	sum := ident.Sum(n.body)
	return []Action{n.send(from, Message{
		Kind: SnapshotBody, Version: n.held.Version, Digest: n.held.Digest, Body: n.body, Sum: sum[:],
	})}
}

// deltaFrom returns the delta from a recent release.
func (n *Node) deltaFrom(v ident.Version, d ident.Digest) (model.Delta, bool) {
	for _, r := range n.recent {
		if r.Version == v && r.Digest == d {
			delta := model.MakeDelta(r, n.held)
			return delta, len(delta.Changes) <= n.config.MaxChanges
		}
	}
	return model.Delta{}, false
}

// takeDelta applies a delta. After a failure it asks for a whole snapshot.
func (n *Node) takeDelta(now clock.Millis, from ident.NodeID, m Message) []Action {
	if m.Delta == nil || m.Delta.To <= n.held.Version {
		return nil // late or doubled
	}
	r, err := m.Delta.Apply(n.held)
	if err == nil && (r.Version != m.Version || r.Digest != m.Digest) {
		err = errOther
	}
	if err == nil {
		return n.accept(now, r)
	}
	n.refuse(from, m.Delta.To, err)
	if n.fetch.from != from {
		return nil // an answer to an earlier request
	}
	n.fetch.from, n.fetch.whole = "", true
	return n.pursue(now)
}

// takeSnapshot checks and accepts a whole release, and confirms it to the sender.
func (n *Node) takeSnapshot(now clock.Millis, from ident.NodeID, p *peer, m Message) []Action {
	r, err := decode(m)
	if err == nil && p != nil && r.Version == p.version && !p.digest.IsZero() && r.Digest != p.digest {
		err = errOther
	}
	if err != nil {
		n.refuse(from, m.Version, err)
		n.failed(now, from, n.jitter(n.config.SilentMillis))
		return n.pursue(now)
	}
	out := n.accept(now, r)
	return append(out, n.announce(now, from))
}

// decode returns the whole release of a SnapshotBody.
func decode(m Message) (model.Release, error) {
	if sum := ident.Sum(m.Body); !bytes.Equal(sum[:], m.Sum) {
		return model.Release{}, errSum
	}
	body, err := codec.Decompress(m.Body, maxReleaseBytes)
	if err != nil {
		return model.Release{}, err
	}
	r, err := model.DecodeRelease(body)
	if err == nil && (r.Version != m.Version || r.Digest != m.Digest) {
		err = errOther
	}
	return r, err
}

// send returns the action that sends a message.
func (n *Node) send(to ident.NodeID, m Message) Action {
	a := Action{Kind: Send, To: to, Message: m}
	for _, b := range n.neighbours {
		if b.Node == to {
			a.Address = b.Address
		}
	}
	return a
}
