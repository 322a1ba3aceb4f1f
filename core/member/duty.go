package member

// LeadsDomain reports whether the node is one of the first count nodes that answer in
// its failure domain, in order of id. Nodes use it to share a duty without a lease:
// while their tables differ, a few more or others carry it out, so it must be one
// that does no harm when it is done twice.
func (t *Table) LeadsDomain(count int) bool {
	before := 0
	for _, m := range t.ordered {
		if m.node >= t.self.Node || before >= count {
			break
		}
		if m.record.State == Alive && m.record.FailureDomain == t.self.FailureDomain {
			before++
		}
	}
	return before < count
}
