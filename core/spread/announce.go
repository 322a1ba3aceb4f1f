package spread

import (
	"cmp"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// ReaderPulse counts a heartbeat of the own region's reader. The reader calls it
// after each successful poll of the source.
func (n *Node) ReaderPulse(now clock.Millis, region ident.Region, epoch ident.Epoch) []Action {
	s := n.pulses[region]
	next := Pulse{Region: region, Epoch: epoch, Count: 1}
	if s.pulse.Epoch == epoch {
		next.Count = s.pulse.Count + 1
	}
	if !next.newer(s.pulse) {
		return nil
	}
	n.pulses[region] = pulseState{pulse: next, at: now}
	return n.announceDue(now)
}

// PulseAge returns the time since the pulse of a region's reader last made
// progress, or Forever if there was none.
func (n *Node) PulseAge(now clock.Millis, region ident.Region) clock.Millis {
	s, ok := n.pulses[region]
	if !ok {
		return clock.Forever
	}
	return now - s.at
}

// takePulses learns the pulses that a peer knows.
func (n *Node) takePulses(now clock.Millis, p *peer, pulses []Pulse) {
	for _, q := range pulses {
		s, known := n.pulses[q.Region]
		if !known && len(n.pulses) >= n.config.MaxRegions {
			continue
		}
		if !known || q.newer(s.pulse) {
			n.pulses[q.Region] = pulseState{pulse: q, at: now}
		}
		if p != nil && q.newer(p.pulses[q.Region]) {
			p.pulses[q.Region] = q
		}
	}
}

// announceDue announces new releases and pulses to the neighbours that lack them,
// each at most once per interval, and repairs one neighbour.
func (n *Node) announceDue(now clock.Millis) []Action {
	releases := now-n.announcedAt >= n.config.RoundMillis
	pulses := now-n.pulsedAt >= max(n.config.PulseMillis, n.config.RoundMillis)
	var out []Action
	for _, b := range n.neighbours {
		p := n.peers[b.Node]
		lacksRelease := n.held.Version > max(p.version, p.told)
		if releases && lacksRelease || pulses && n.lacksPulse(p) {
			out = append(out, n.announce(now, b.Node))
			if lacksRelease {
				n.announcedAt = now
			}
			n.pulsedAt = now
		}
	}
	if now >= n.repairAt && len(n.neighbours) > 0 {
		n.repairAt = now + n.jitter(n.config.RepairMillis)
		n.repairNext++
		out = append(out, n.announce(now, n.neighbours[n.repairNext%len(n.neighbours)].Node))
	}
	return out
}

// lacksPulse reports whether a peer may lack the latest pulse of a region.
func (n *Node) lacksPulse(p *peer) bool {
	for region, s := range n.pulses {
		if s.pulse.newer(p.pulses[region]) {
			return true
		}
	}
	return false
}

// announce returns an announcement to a peer and records what it will know.
func (n *Node) announce(now clock.Millis, to ident.NodeID) Action {
	m := Message{Kind: Announce, Version: n.held.Version, Digest: n.held.Digest}
	for _, s := range n.pulses {
		m.Pulses = append(m.Pulses, s.pulse)
	}
	slices.SortFunc(m.Pulses, func(a, b Pulse) int { return cmp.Compare(a.Region, b.Region) })
	if p := n.peers[to]; p != nil {
		p.told, p.toldAt = n.held.Version, now
		for _, q := range m.Pulses {
			p.pulses[q.Region] = q
		}
	}
	return n.send(to, m)
}
