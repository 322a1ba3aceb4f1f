package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"hickoryrail/core/ident"
)

// ringCount is the number of hash rings, and of neighbours that each node probes.
const ringCount = 4

// rings holds a node's place in the overlay.
type rings struct {
	// own are the node's positions.
	own [ringCount]uint64
	// successors are distinct; there are fewer than ringCount only if there are
	// fewer live members.
	successors []*member
	// predecessors are distinct and not in successors.
	predecessors []*member
	// dirty is set when the set of live members has changed.
	dirty bool
}

// hashesOf returns the positions of a node.
func hashesOf(n ident.NodeID) [ringCount]uint64 {
	var out [ringCount]uint64
	for i := range out {
		out[i] = xxhash.Sum64String(string(rune('0'+i)) + string(n))
	}
	return out
}

// place sets the positions of the node itself.
func (r *rings) place(n ident.NodeID) {
	r.own = hashesOf(n)
	r.dirty = true
}

// update finds the neighbours anew after the set of live members has changed.
func (r *rings) update(members []*member) {
	if !r.dirty {
		return
	}
	r.dirty = false
	r.successors, r.predecessors = nil, nil
	for i := range ringCount {
		if m := nearest(members, i, func(h uint64) uint64 { return h - r.own[i] }, r.successors); m != nil {
			r.successors = append(r.successors, m)
		}
	}
	taken := slices.Clone(r.successors)
	for i := range ringCount {
		if m := nearest(members, i, func(h uint64) uint64 { return r.own[i] - h }, taken); m != nil {
			r.predecessors = append(r.predecessors, m)
			taken = append(taken, m)
		}
	}
}

// nearest returns the live member at the least distance on ring i that is not in
// taken, or nil.
func nearest(members []*member, i int, distance func(uint64) uint64, taken []*member) *member {
	var best *member
	for _, m := range members {
		if !m.record.live() || slices.Contains(taken, m) {
			continue
		}
		if best == nil || distance(m.hashes[i]) < distance(best.hashes[i]) {
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
// that probe it; at most 8 at any fleet size.
func (t *Table) Neighbours() []Record {
	var out []Record
	for _, m := range t.neighbours() {
		out = append(out, m.record)
	}
	return out
}
