package member

import "hickoryrail/core/clock"

const (
	// repeatMillis is the time that the answer to a probe which was sent again may take.
	repeatMillis = 200 * clock.Millis(1)
	// gossipMillis is the time in which a suspicion spreads to all nodes.
	gossipMillis = 1 * clock.Second
)

// Unreached returns how many live members probably have no contact with this node. In the
// end these are the suspected ones. Until all suspicions are known here, it is a share of
// all members like that of the successors without contact: the successors, which the node
// probes, are a random sample. If most of them are silent, this node is probably cut off
// and learns of no suspicions, so that the sample goes on to count.
func (t *Table) Unreached(now clock.Millis) int {
	t.rings.update(t.ordered)
	silent, failing := 0, 0
	for _, m := range t.rings.successors {
		if now-m.heardAt > t.config.ProbeMillis+t.config.TimeoutMillis+repeatMillis {
			silent++
		}
		if t.failing(now, m) {
			failing++
		}
	}
	sample := len(t.rings.successors)
	if 2*silent > sample {
		failing = silent
	}
	live, suspected := t.countLive()
	return max(suspected, ceilShare(live, failing, sample))
}

// failing reports whether a member does not answer the present probe, or was suspected a
// short time ago.
func (t *Table) failing(now clock.Millis, m *member) bool {
	if m.record.State == Suspect {
		return now-m.suspectedAt < gossipMillis
	}
	p := t.probes[m.node]
	return p != nil && now-p.sentAt > t.config.TimeoutMillis+repeatMillis
}

// countLive returns the numbers of live and of suspected members.
func (t *Table) countLive() (live, suspected int) {
	for _, m := range t.ordered {
		if m.record.live() {
			live++
		}
		if m.record.State == Suspect {
			suspected++
		}
	}
	return live, suspected
}

// ceilShare returns part/whole of n, rounded up; 0 if part is 0.
func ceilShare(n, part, whole int) int {
	if part == 0 {
		return 0
	}
	return (n*part + whole - 1) / whole
}
