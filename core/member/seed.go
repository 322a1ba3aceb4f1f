package member

import "hickoryrail/core/clock"

const (
	// joinMillis is the time after a list of seeds for which several are tried at
	// once. Nodes that start together know nothing of each other, and one seed
	// that has just started itself is of no help.
	joinMillis = 3 * clock.Second
	// joinIntervalMillis is the interval between these tries, and joinSeeds the
	// number of seeds in each.
	joinIntervalMillis = 200 * clock.Millis(1)
	joinSeeds          = 8
)

// AddSeeds adds nodes through which this one joins, for example those that a
// directory lists. A seed that is known keeps its newest address.
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

// trySeeds asks a few random seeds that are not live members for all records.
func (t *Table) trySeeds() []Action {
	lost := t.lostSeeds()
	t.random.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	var out []Action
	for _, s := range lost[:min(len(lost), joinSeeds)] {
		out = append(out, Action{To: s.Node, Address: s.Address, Message: t.message(Sync, s.Node, 0)})
	}
	return out
}
