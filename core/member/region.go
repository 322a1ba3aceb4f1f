package member

import "hickoryrail/core/ident"

// RegionSize returns the number of live nodes in a region, including the node itself.
// It copies no records, so that frequent calls are cheap.
func (t *Table) RegionSize(region ident.Region) int {
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
