package member

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// startedAt is the wall clock at the start of the node of startedTable.
const startedAt = 10_000_000

// startedTable returns the table of a node that has just started and read a directory with
// three other nodes.
func startedTable() *Table {
	t := New(Record{Node: "a", Incarnation: startedAt, PeerAddress: "a"}, DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	t.AddSeeds(100, []Seed{{Node: "a", Address: "a"}, {Node: "b", Address: "b"}, {Node: "c", Address: "c"}, {Node: "d", Address: "d"}})
	return t
}

// tell lets a peer send the table a record of a node.
func (t *Table) tell(now clock.Millis, node ident.NodeID, state State, incarnation ident.Incarnation) {
	r := Record{Node: node, Incarnation: incarnation, State: state, PeerAddress: string(node)}
	t.Receive(now, "peer", Message{Kind: Notice, Updates: []Update{{Record: r}}})
}

// TestUnheardSeeds guards against a node that takes itself, and others that have just started
// too, for the whole fleet although the directory lists more.
func TestUnheardSeeds(t *testing.T) {
	is := is.New(t)
	table := startedTable()
	is.Equal(table.Unheard(200), 3)
	table.tell(300, "b", Alive, startedAt-5000)
	is.Equal(table.Unheard(300), 2)
	table.tell(400, "c", Alive, startedAt-3600_000)
	is.Equal(table.Unheard(400), 0) // c has been there for long and does not know d

	table = startedTable()
	is.Equal(table.Unheard(unheardMillis), 3)
	is.Equal(table.Unheard(100+unheardMillis), 0)
	alone := New(Record{Node: "a", Incarnation: startedAt}, DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	alone.AddSeeds(100, []Seed{{Node: "a", Address: "a"}})
	is.Equal(alone.Unheard(200), 0)
}

// TestUnheardDeadNodes guards against a node that has just started and does not count those
// which the others hold for dead, although they may be behind a partition.
func TestUnheardDeadNodes(t *testing.T) {
	is := is.New(t)
	table := startedTable()
	table.tell(200, "c", Alive, startedAt-3600_000)
	table.tell(200, "d", Dead, 7)
	table.tell(300, "e", Dead, 7)
	table.tell(300, "e", Dead, 7)
	is.Equal(table.Unheard(400), 2)
	table.tell(500, "d", Alive, 8)
	is.Equal(table.Unheard(500), 1)
	table.tell(600, "e", Left, 8)
	is.Equal(table.Unheard(600), 0)
	table.tell(700, "f", Dead, 7)
	is.Equal(table.Unheard(700+table.config.DeadMillis-1), 1)
	is.Equal(table.Unheard(700+table.config.DeadMillis), 0)
}

// TestUnheardInFleet guards against a node that restarts in a fleet behind a partition and
// knows only the nodes on its own side.
func TestUnheardInFleet(t *testing.T) {
	is := is.New(t)
	const size, away = 16, 5
	net := newNetwork(4, size)
	net.run(10 * clock.Second)
	cut := make(map[ident.NodeID]bool)
	var seeds []Seed
	for i, n := range net.nodes {
		cut[n] = i >= size-away
		seeds = append(seeds, Seed{Node: n, Address: string(n)})
	}
	net.blocked = func(from, to ident.NodeID) bool { return cut[from] || cut[to] }
	net.run(30 * clock.Second)
	for _, n := range []ident.NodeID{net.nodes[0], net.nodes[size-1]} {
		net.start(n, 0)
		h := net.hosts[n]
		h.table.AddSeeds(net.now+h.skew, seeds)
		for range 50 {
			net.run(clock.Second)
			is.True(h.table.Size()+h.table.Unheard(net.now+h.skew) >= size)
		}
	}
	net.blocked = nil
	net.run(clock.Minute)
	for _, n := range net.nodes {
		h := net.hosts[n]
		is.Equal(h.table.Size()+h.table.Unheard(net.now+h.skew), size)
	}
}
