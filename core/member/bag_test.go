package member

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// tickMillis is the interval of ticks in tests.
const tickMillis clock.Millis = 100

// TestMain fixes the seed of property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

type (
	// slot is a node's place; its table is nil while the process is down.
	slot struct {
		table *Table
		// skew is added to the time that the node's clock shows.
		skew clock.Millis
		// pausedUntil delays ticks and messages like a stopped process.
		pausedUntil clock.Millis
		// overflow drops what arrives during the pause, like a full socket buffer.
		overflow bool
	}

	// letter is a message on its way.
	letter struct {
		at   clock.Millis
		from ident.NodeID
		Action
	}

	// bag carries messages between tables with faults.
	bag struct {
		random  *rand.Rand
		now     clock.Millis
		config  Config
		nodes   []ident.NodeID
		slots   map[ident.NodeID]*slot
		letters []letter
		sent    int
		// loss and double are probabilities; hold is the longest extra delay.
		loss, double float64
		hold         clock.Millis
		// cut reports whether messages between two nodes are lost.
		cut func(from, to ident.NodeID) bool
		// onChange is told of changes in the table of the node at.
		onChange func(at ident.NodeID, earlier, later Record, reason string)
	}
)

// newBag starts n nodes, of which the first two are seeds.
func newBag(seed uint64, n int) *bag {
	b := &bag{random: rand.New(rand.NewPCG(seed, 1)), now: 1_000_000, config: DefaultConfig(), slots: make(map[ident.NodeID]*slot)}
	for i := range n {
		node := ident.NodeID(fmt.Sprintf("n%03d", i))
		b.nodes = append(b.nodes, node)
		if i < 2 {
			b.config.Seeds = append(b.config.Seeds, Seed{Node: node, Address: string(node)})
		}
	}
	for _, node := range b.nodes {
		b.slots[node] = &slot{skew: clock.Millis(b.random.IntN(6000))}
		b.start(node, 0)
	}
	return b
}

// start starts a process with empty memory. Its clock lags by lag.
func (b *bag) start(n ident.NodeID, lag clock.Millis) {
	s := b.slots[n]
	self := Record{
		Node: n, Incarnation: ident.Incarnation(b.now + s.skew - lag), PeerAddress: string(n),
		Service: "orders", Target: ident.TargetID("t-" + n), TargetState: Ready,
	}
	s.table = New(self, b.config, rand.New(rand.NewPCG(b.random.Uint64(), 2)))
	s.table.OnChange = func(earlier, later Record, reason string) {
		if b.onChange != nil {
			b.onChange(n, earlier, later, reason)
		}
	}
}

// post puts messages in the bag.
func (b *bag) post(from ident.NodeID, actions []Action) {
	for _, a := range actions {
		b.sent++
		copies := 1
		if b.random.Float64() < b.double {
			copies = 2
		}
		for range copies {
			if b.random.Float64() < b.loss || b.cut != nil && b.cut(from, a.To) {
				continue
			}
			delay := clock.Millis(1 + b.random.IntN(5))
			if b.hold > 0 && b.random.IntN(4) == 0 {
				delay += clock.Millis(b.random.Float64()) * b.hold
			}
			b.letters = append(b.letters, letter{at: b.now + delay, from: from, Action: a})
		}
	}
}

// run lets the given time pass.
func (b *bag) run(d clock.Millis) {
	for end := b.now + d; b.now < end; b.now += tickMillis {
		b.deliver()
		for _, n := range b.nodes {
			if s := b.slots[n]; s.table != nil && b.now >= s.pausedUntil {
				b.post(n, s.table.Tick(b.now+s.skew))
			}
		}
	}
}

// deliver hands over the messages that are due; answers can be due as well.
func (b *bag) deliver() {
	for again := true; again; {
		again = false
		due := b.letters
		b.letters = nil
		for _, l := range due {
			s := b.slots[l.To]
			if s == nil || s.table == nil {
				continue
			}
			if l.at <= b.now && b.now < s.pausedUntil && s.overflow {
				continue
			}
			if l.at > b.now || b.now < s.pausedUntil {
				b.letters = append(b.letters, l)
				continue
			}
			again = true
			b.post(l.To, s.table.Receive(b.now+s.skew, l.from, l.Message))
		}
	}
}

// agree returns an error unless all running tables hold exactly the running nodes
// for alive, with equal records.
func (b *bag) agree() error {
	for _, n := range b.nodes {
		t := b.slots[n].table
		if t == nil {
			continue
		}
		for _, other := range b.nodes {
			r, known := t.Record(other)
			o := b.slots[other].table
			switch {
			case o == nil && known && r.live():
				return fmt.Errorf("%s holds the stopped %s for %s", n, other, r.State)
			case o != nil && (!known || r.State != Alive || !r.sameLife(o.Self())):
				return fmt.Errorf("%s holds the running %s for %+v, not %+v", n, other, r, o.Self())
			}
		}
	}
	return nil
}
