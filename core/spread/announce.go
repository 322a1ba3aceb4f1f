package spread

import (
	"cmp"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// ReaderHeartbeat records a heartbeat of the reader on this node and announces it if
// an announcement is due. The reader calls it after each successful poll of the source.
func (n *Node) ReaderHeartbeat(now clock.Millis, region ident.Region, epoch ident.Epoch) []Action {
	s := n.heartbeats[region]
	next := Heartbeat{Region: region, Epoch: epoch, Count: 1}
	if s.heartbeat.Epoch == epoch {
		next.Count = s.heartbeat.Count + 1
	}
	if !next.newer(s.heartbeat) {
		return nil
	}
	n.heartbeats[region] = heartbeatState{heartbeat: next, learnedAt: now}
	return n.announceDue(now)
}

// HeartbeatAge returns the time since the node learned the latest heartbeat of a
// region's reader, or Forever if it knows none.
func (n *Node) HeartbeatAge(now clock.Millis, region ident.Region) clock.Millis {
	s, ok := n.heartbeats[region]
	if !ok {
		return clock.Forever
	}
	return now - s.learnedAt
}

// mergeHeartbeats adopts the received heartbeats that are newer than the known ones, and
// records what the sending peer knows. p is nil if the sender is not a neighbour.
func (n *Node) mergeHeartbeats(now clock.Millis, p *peer, received []Heartbeat) {
	for _, h := range received {
		s, known := n.heartbeats[h.Region]
		if !known && len(n.heartbeats) >= n.config.MaxRegions {
			continue
		}
		if !known || h.newer(s.heartbeat) {
			n.heartbeats[h.Region] = heartbeatState{heartbeat: h, learnedAt: now}
		}
		if p != nil && h.newer(p.heartbeats[h.Region]) {
			p.heartbeats[h.Region] = h
		}
	}
}

// announceDue announces new releases and heartbeats to the neighbours that lack them. New
// releases cause an announcement at most once per RoundMillis, and heartbeats at most once
// per HeartbeatMillis or RoundMillis, whichever is longer. It also makes the periodic
// repair announcement to one neighbour if that is due.
func (n *Node) announceDue(now clock.Millis) []Action {
	releaseDue := now-n.releaseAnnouncedAt >= n.config.RoundMillis
	heartbeatDue := now-n.heartbeatsAnnouncedAt >= max(n.config.HeartbeatMillis, n.config.RoundMillis)
	var out []Action
	for _, b := range n.neighbours {
		p := n.peers[b.Node]
		lacksRelease := n.held.Version > max(p.version, p.announced)
		if releaseDue && lacksRelease || heartbeatDue && n.lacksHeartbeat(p) {
			out = append(out, n.announce(now, b.Node))
			if lacksRelease {
				n.releaseAnnouncedAt = now
			}
			n.heartbeatsAnnouncedAt = now
		}
	}
	if now >= n.repairAt && len(n.neighbours) > 0 {
		n.repairAt = now + n.jitter(n.config.RepairMillis)
		n.repairs++
		out = append(out, n.announce(now, n.neighbours[n.repairs%len(n.neighbours)].Node))
	}
	return out
}

// lacksHeartbeat reports whether a peer may lack the latest heartbeat of a region.
func (n *Node) lacksHeartbeat(p *peer) bool {
	for region, s := range n.heartbeats {
		if s.heartbeat.newer(p.heartbeats[region]) {
			return true
		}
	}
	return false
}

// announce returns an announcement to a peer. If the peer is a neighbour, it records the
// announced version and heartbeats.
func (n *Node) announce(now clock.Millis, to ident.NodeID) Action {
	m := Message{Kind: Announce, Version: n.held.Version, Digest: n.held.Digest}
	for _, s := range n.heartbeats {
		m.Heartbeats = append(m.Heartbeats, s.heartbeat)
	}
	slices.SortFunc(m.Heartbeats, func(a, b Heartbeat) int { return cmp.Compare(a.Region, b.Region) })
	if p := n.peers[to]; p != nil {
		p.announced, p.announcedAt = n.held.Version, now
		for _, h := range m.Heartbeats {
			p.heartbeats[h.Region] = h
		}
	}
	return n.send(to, m)
}
