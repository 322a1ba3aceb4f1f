package member

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// unheardMillis is the time after the start for which listed nodes without a record
	// count. A directory keeps the entries of nodes that are gone.
	unheardMillis = 1 * clock.Minute
	// establishedMillis is how much earlier than this node another one must have started
	// for its table to be complete. It is above the differences between wall clocks.
	establishedMillis = 30 * clock.Second
)

// Unheard returns how many nodes may be live although this node has no record of them: it
// may have started behind a partition, or while they were behind one. These are the nodes
// that peers have reported as Dead, and for some time after the start all other seeds,
// unless a live node is known that has started much earlier. That one would have reported
// them.
func (t *Table) Unheard(now clock.Millis) int {
	n := 0
	for node, at := range t.reportedDead {
		if now-at >= t.config.DeadMillis {
			delete(t.reportedDead, node)
			continue
		}
		n++
	}
	if t.joinedAt == 0 || now-t.joinedAt >= unheardMillis {
		return n
	}
	if t.unheardStale {
		t.unheardStale, t.unheardSeeds = false, t.countUnheardSeeds()
	}
	return n + t.unheardSeeds
}

// countUnheardSeeds returns the number of seeds that have no record and were not reported
// as Dead, or 0 if an established node is known.
func (t *Table) countUnheardSeeds() int {
	for _, m := range t.ordered {
		if m.record.live() && clock.Millis(m.record.Incarnation)+establishedMillis <= clock.Millis(t.startedAs) {
			return 0
		}
	}
	n := 0
	for _, s := range t.config.Seeds {
		_, known := t.members[s.Node]
		_, dead := t.reportedDead[s.Node]
		if !known && !dead && s.Node != t.self.Node {
			n++
		}
	}
	return n
}

// noteUnknown takes in a record of a node that is not in the table and is not live.
func (t *Table) noteUnknown(now clock.Millis, r Record) {
	t.unheardStale = true
	if r.State == Left {
		delete(t.reportedDead, r.Node)
		return
	}
	if _, known := t.reportedDead[r.Node]; !known && len(t.reportedDead) < t.config.MaxMembers {
		t.reportedDead[r.Node] = now
	}
}

// noteHeard takes in that a node has a record now.
func (t *Table) noteHeard(n ident.NodeID) {
	t.unheardStale = true
	delete(t.reportedDead, n)
}
