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

// tickMillis is the interval between ticks in tests.
const tickMillis clock.Millis = 100

// TestMain sets a fixed seed for the property tests.
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
	// host is a machine that runs one node; its table is nil while the process is down.
	host struct {
		table *Table
		// skew is the offset of the node's clock from the simulation's.
		skew clock.Millis
		// pausedUntil is the end of a pause of the process, which delays its ticks
		// and messages.
		pausedUntil clock.Millis
		// overflow drops messages that arrive during the pause, like a full socket
		// buffer.
		overflow bool
	}

	// packet is a message in flight.
	packet struct {
		at   clock.Millis
		from ident.NodeID
		Action
	}

	// network simulates the transport between tables, with faults.
	network struct {
		random   *rand.Rand
		now      clock.Millis
		config   Config
		nodes    []ident.NodeID
		hosts    map[ident.NodeID]*host
		inFlight []packet
		sent     int
		// loss and duplicate are probabilities; maxExtraDelay bounds the delay that a
		// quarter of the messages get in addition.
		loss, duplicate float64
		maxExtraDelay   clock.Millis
		// blocked, if set, reports whether all messages from one node to another are
		// lost.
		blocked func(from, to ident.NodeID) bool
		// onChange, if set, is called for each change in the table of the node at.
		onChange func(at ident.NodeID, earlier, later Record, reason string)
	}
)

// newNetwork returns a network of n running nodes, of which the first two are seeds.
func newNetwork(seed uint64, n int) *network {
	net := &network{random: rand.New(rand.NewPCG(seed, 1)), now: 1_000_000, config: DefaultConfig(), hosts: make(map[ident.NodeID]*host)}
	for i := range n {
		node := ident.NodeID(fmt.Sprintf("n%03d", i))
		net.nodes = append(net.nodes, node)
		if i < 2 {
			net.config.Seeds = append(net.config.Seeds, Seed{Node: node, Address: string(node)})
		}
	}
	for _, node := range net.nodes {
		net.hosts[node] = &host{skew: clock.Millis(net.random.IntN(6000))}
		net.start(node, 0)
	}
	return net
}

// start starts a node's process with empty memory and a clock that lags by lag.
func (net *network) start(n ident.NodeID, lag clock.Millis) {
	h := net.hosts[n]
	self := Record{
		Node: n, Incarnation: ident.Incarnation(net.now + h.skew - lag), PeerAddress: string(n),
		Service: "orders", Target: ident.TargetID("t-" + n), TargetState: Ready,
	}
	h.table = New(self, net.config, rand.New(rand.NewPCG(net.random.Uint64(), 2)))
	h.table.OnChange = func(earlier, later Record, reason string) {
		if net.onChange != nil {
			net.onChange(n, earlier, later, reason)
		}
	}
}

// send puts messages of a node on the network, unless they are lost.
func (net *network) send(from ident.NodeID, actions []Action) {
	for _, a := range actions {
		net.sent++
		copies := 1
		if net.random.Float64() < net.duplicate {
			copies = 2
		}
		for range copies {
			if net.random.Float64() < net.loss || net.blocked != nil && net.blocked(from, a.To) {
				continue
			}
			delay := clock.Millis(1 + net.random.IntN(5))
			if net.maxExtraDelay > 0 && net.random.IntN(4) == 0 {
				delay += clock.Millis(net.random.Float64()) * net.maxExtraDelay
			}
			net.inFlight = append(net.inFlight, packet{at: net.now + delay, from: from, Action: a})
		}
	}
}

// run advances the simulation by d.
func (net *network) run(d clock.Millis) {
	for end := net.now + d; net.now < end; net.now += tickMillis {
		net.deliver()
		for _, n := range net.nodes {
			if h := net.hosts[n]; h.table != nil && net.now >= h.pausedUntil {
				net.send(n, h.table.Tick(net.now+h.skew))
			}
		}
	}
}

// deliver delivers the packets that are due, including answers that become due.
func (net *network) deliver() {
	for delivered := true; delivered; {
		delivered = false
		due := net.inFlight
		net.inFlight = nil
		for _, p := range due {
			h := net.hosts[p.To]
			if h == nil || h.table == nil {
				continue
			}
			if p.at <= net.now && net.now < h.pausedUntil && h.overflow {
				continue
			}
			if p.at > net.now || net.now < h.pausedUntil {
				net.inFlight = append(net.inFlight, p)
				continue
			}
			delivered = true
			net.send(p.To, h.table.Receive(net.now+h.skew, p.from, p.Message))
		}
	}
}

// checkAgreement returns an error unless every running table has exactly the running
// nodes as Alive, with their present incarnation and revision.
func (net *network) checkAgreement() error {
	for _, n := range net.nodes {
		t := net.hosts[n].table
		if t == nil {
			continue
		}
		for _, other := range net.nodes {
			r, known := t.Record(other)
			o := net.hosts[other].table
			switch {
			case o == nil && known && r.live():
				return fmt.Errorf("%s has the stopped node %s as %s", n, other, r.State)
			case o != nil && (!known || r.State != Alive || !r.sameRevision(o.Self())):
				return fmt.Errorf("%s has the running node %s as %+v, want %+v", n, other, r, o.Self())
			}
		}
	}
	return nil
}
