package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"hickoryrail/core/ident"
)

// ringCount is the number of hash rings, and of the neighbours that each node probes.
const ringCount = 4

// rings holds a node's positions and neighbours in the overlay.
type rings struct {
	// positions are the node's positions on the rings.
	positions [ringCount]uint64
	// successors are distinct; there are fewer than ringCount only if there are
	// fewer live members.
	successors []*member
	// predecessors are distinct and not in successors.
	predecessors []*member
	// dirty is set if the set of live members has changed since the last update.
	dirty bool
}

// ringPositions returns the positions of a node on the rings.
func ringPositions(n ident.NodeID) [ringCount]uint64 {
	var out [ringCount]uint64
	for i := range out {
		out[i] = xxhash.Sum64String(string(rune('0'+i)) + string(n))
	}
	return out
}

// setNode sets the node that the rings belong to.
func (r *rings) setNode(n ident.NodeID) {
	r.positions = ringPositions(n)
	r.dirty = true
}

// update recomputes the neighbours if the set of live members has changed.
func (r *rings) update(members []*member) {
	if !r.dirty {
		return
	}
	r.dirty = false
	r.successors, r.predecessors = nil, nil
	for i := range ringCount {
		if m := nearest(members, i, func(h uint64) uint64 { return h - r.positions[i] }, r.successors); m != nil {
			r.successors = append(r.successors, m)
		}
	}
	excluded := slices.Clone(r.successors)
	for i := range ringCount {
		if m := nearest(members, i, func(h uint64) uint64 { return r.positions[i] - h }, excluded); m != nil {
			r.predecessors = append(r.predecessors, m)
			excluded = append(excluded, m)
		}
	}
}

// nearest returns the live member at the smallest distance on ring i that is not in
// excluded, or nil.
func nearest(members []*member, i int, distance func(uint64) uint64, excluded []*member) *member {
	var best *member
	for _, m := range members {
		if !m.record.live() || slices.Contains(excluded, m) {
			continue
		}
		if best == nil || distance(m.positions[i]) < distance(best.positions[i]) {
			best = m
		}
	}
	return best
}

// neighbours returns the successors and predecessors.
func (t *Table) neighbours() []*member {
	t.rings.update(t.ordered)
	return slices.Concat(t.rings.successors, t.rings.predecessors)
}

// Neighbours returns the records of the nodes that this node probes and of those
// that probe it; there are at most 8 at any fleet size.
func (t *Table) Neighbours() []Record {
	var out []Record
	for _, m := range t.neighbours() {
		out = append(out, m.record)
	}
	return out
}
