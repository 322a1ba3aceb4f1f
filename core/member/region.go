package member

import "hickoryrail/core/ident"

// SizeOf returns the number of live nodes in a region with the node itself. It
// copies no records, so that it can be asked often.
func (t *Table) SizeOf(region ident.Region) int {
	n := 0
	if t.self.Region == region {
		n++
	}
	for _, m := range t.ordered {
		if m.record.Region == region && m.record.live() {
			n++
		}
	}
	return n
}
