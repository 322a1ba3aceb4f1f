package member

// LeadsDomain reports whether the node is one of the first count Alive nodes of its
// failure domain, in order of id. It assigns a task to a few nodes without a lease:
// while their tables differ, more nodes or other nodes may run the task, so it must be
// safe to run twice.
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
