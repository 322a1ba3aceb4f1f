package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// TestStartTogether guards against a slow join when all nodes restart at the same time
// without stored state. Their only seeds come from a directory in which one entry in
// five is of a stopped node; all must be in each other's tables within a second.
func TestStartTogether(t *testing.T) {
	is := is.New(t)
	const nodes = 24
	tables := make(map[ident.NodeID]*Table)
	var seeds []Seed
	for i := range nodes + nodes/4 {
		id := ident.NodeID(fmt.Sprintf("n%02d", i))
		seeds = append(seeds, Seed{Node: id, Address: string(id)})
		if i < nodes {
			self := Record{Node: id, Incarnation: 1, PeerAddress: string(id), FailureDomain: "d", Region: "r"}
			tables[id] = New(self, DefaultConfig(), rand.New(rand.NewPCG(uint64(i), 7)))
		}
	}
	var inFlight []packet
	send := func(from ident.NodeID, actions []Action) {
		for _, a := range actions {
			inFlight = append(inFlight, packet{from: from, Action: a})
		}
	}
	startsAt := func(id ident.NodeID) clock.Millis { return clock.Millis(ringPositions(id)[0] % 300) }
	leastSize := func() int {
		least := nodes
		for _, table := range tables {
			least = min(least, table.Size())
		}
		return least
	}
	now := clock.Millis(0)
	for ; now <= 300+clock.Second && leastSize() < nodes; now += 50 {
		arrived := inFlight
		inFlight = nil
		for _, m := range arrived {
			if to := tables[m.To]; to != nil && startsAt(m.To) <= now {
				send(m.To, to.Receive(now, m.from, m.Message))
			}
		}
		for id, table := range tables {
			if at := startsAt(id); at <= now {
				if at > now-50 {
					table.AddSeeds(now, seeds)
				}
				send(id, table.Tick(now))
			}
		}
	}
	is.Equal(leastSize(), nodes)
}

// TestManySeeds guards against a start that takes time with the square of the directory's
// entries: those of nodes that are gone stay there. The directory is read again, with a
// new address for one node.
func TestManySeeds(t *testing.T) {
	is := is.New(t)
	const entries = 100_000
	seeds := make([]Seed, entries)
	for i := range seeds {
		seeds[i] = Seed{Node: ident.NodeID(fmt.Sprintf("sidecar-%d", i)), Address: "a"}
	}
	self := Record{Node: "sidecar-0", Incarnation: 1, PeerAddress: "a", FailureDomain: "d", Region: "r"}
	table := New(self, DefaultConfig(), rand.New(rand.NewPCG(1, 7)))
	began := time.Now()
	table.AddSeeds(0, seeds)
	seeds[1].Address = "b"
	table.AddSeeds(1, seeds)
	is.True(time.Since(began) < 2*time.Second)
	is.Equal(len(table.config.Seeds), entries-1) // without the node itself
	is.Equal(table.config.Seeds[0], Seed{Node: "sidecar-1", Address: "b"})
}
