package member

import "hickoryrail/core/clock"

// AddSeeds adds nodes through which this one joins, for example those that a
// directory lists. A seed that is known keeps its newest address.
func (t *Table) AddSeeds(now clock.Millis, seeds []Seed) {
	for _, s := range seeds {
		if s.Node == t.self.Node {
			continue
		}
		known := false
		for i := range t.config.Seeds {
			if t.config.Seeds[i].Node == s.Node {
				t.config.Seeds[i].Address, known = s.Address, true
			}
		}
		if !known {
			t.config.Seeds = append(t.config.Seeds, s)
		}
	}
	t.nextSeed = min(t.nextSeed, now)
}
