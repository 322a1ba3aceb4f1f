package member

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

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
	position := make(map[ident.NodeID]int, len(t.config.Seeds)+len(seeds))
	for i, s := range t.config.Seeds {
		position[s.Node] = i
	}
	for _, s := range seeds {
		if s.Node == t.self.Node {
			continue
		}
		if i, known := position[s.Node]; known {
			t.config.Seeds[i].Address = s.Address
			continue
		}
		position[s.Node] = len(t.config.Seeds)
		t.config.Seeds = append(t.config.Seeds, s)
	}
	if t.joinedAt == 0 {
		t.joinedAt = now
	}
	t.unheardStale = true
	t.nextSeed = min(t.nextSeed, now)
	t.joinUntil = now + joinMillis
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
