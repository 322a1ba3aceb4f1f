package member

import "hickoryrail/core/clock"

const (
	// joinMillis is the time after AddSeeds during which several seeds are contacted
	// at once. When nodes start together, a single seed may have just started too and
	// have no records to return.
	joinMillis = 3 * clock.Second
	// joinIntervalMillis is the interval between these attempts, and joinSeedCount the
	// number of seeds contacted in each.
	joinIntervalMillis = 200 * clock.Millis(1)
	joinSeedCount      = 8
)

// AddSeeds adds seeds, for example those that a directory lists, and contacts several
// of them at once. A seed that exists already gets the new address.
func (t *Table) AddSeeds(now clock.Millis, seeds []Seed) {
	for _, s := range seeds {
		if s.Node != t.self.Node {
			t.addSeed(s)
		}
	}
	t.nextSeed = min(t.nextSeed, now)
	t.joinUntil = now + joinMillis
}

// addSeed adds a seed or changes its address.
func (t *Table) addSeed(s Seed) {
	for i := range t.config.Seeds {
		if t.config.Seeds[i].Node == s.Node {
			t.config.Seeds[i].Address = s.Address
			return
		}
	}
	t.config.Seeds = append(t.config.Seeds, s)
}

// contactSeeds requests all records from a few random seeds that are not live members.
func (t *Table) contactSeeds() []Action {
	missing := t.missingSeeds()
	t.random.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	var out []Action
	for _, s := range missing[:min(len(missing), joinSeedCount)] {
		out = append(out, Action{To: s.Node, Address: s.Address, Message: t.message(Sync, s.Node, 0)})
	}
	return out
}
