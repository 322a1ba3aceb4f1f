package member

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// spreadMillis bounds the time in which an update reaches n nodes: every node
// that has it forwards it to 4 others in each probe interval.
func spreadMillis(c Config, n int) clock.Millis {
	return c.ProbeMillis * clock.Millis(1+math.Ceil(math.Log2(float64(n))))
}

// detectionMillis bounds the time until all nodes have a killed node as Dead.
func detectionMillis(c Config, n int) clock.Millis {
	suspected := 3*c.ProbeMillis/2 + c.TimeoutMillis + c.IndirectMillis + 3*tickMillis
	return suspected + c.SuspectMaxMillis + spreadMillis(c, n)
}

// TestConvergence guards against tables that stay different after lost, duplicated,
// reordered and very late messages, one-way partitions, kills, restarts with empty
// memory, pauses and clock skews of seconds.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "nodes")
		net := newNetwork(rapid.Uint64().Draw(t, "seed"), n)
		net.run(10 * clock.Second)
		node := rapid.SampledFrom(net.nodes)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			net.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
			net.duplicate = rapid.Float64Range(0, 0.3).Draw(t, "duplicate")
			net.maxExtraDelay = clock.Millis(rapid.IntRange(0, 30_000).Draw(t, "extra delay"))
			from, to := node.Draw(t, "from"), node.Draw(t, "to")
			net.blocked = func(f, o ident.NodeID) bool { return f == from && o == to }
			h := net.hosts[node.Draw(t, "node")]
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				h.table = nil
			case 1:
				if h.table != nil {
					net.start(h.table.Self().Node, clock.Millis(rapid.IntRange(0, 60_000).Draw(t, "lag")))
				}
			case 2:
				h.pausedUntil = net.now + clock.Millis(rapid.IntRange(0, 20_000).Draw(t, "pause"))
			case 3:
				if h.table != nil {
					self := h.table.Self()
					net.send(self.Node, h.table.SetTarget(net.now+h.skew, self.Service, self.Target, Draining))
				}
			}
			net.run(clock.Millis(rapid.IntRange(0, 15_000).Draw(t, "duration")))
		}
		net.loss, net.duplicate, net.maxExtraDelay, net.blocked = 0, 0, 0, nil
		running := 0
		for i, name := range net.nodes {
			// Separated nodes can only find each other through a running seed.
			if net.hosts[name].table == nil && i < 2 {
				net.start(name, 0)
			}
			if net.hosts[name].table != nil {
				running++
			}
		}
		// Delayed messages arrive within 30 s and pauses end within 20 s; then nodes
		// contact dead members again and detect the stopped ones.
		net.run(30*clock.Second + 6*net.config.RetryMillis + 2*detectionMillis(net.config, n))
		if err := net.checkAgreement(); err != nil {
			t.Fatalf("%d of %d running: %v", running, n, err)
		}
	})
}

// TestLeadsDomain guards against a failure domain in which no node runs a shared task,
// and against nodes that still run it after another node has taken over.
func TestLeadsDomain(t *testing.T) {
	is := is.New(t)
	leaders := func(net *network) (out []ident.NodeID) {
		for _, n := range net.nodes {
			if h := net.hosts[n]; h.table != nil && h.table.LeadsDomain(2) {
				out = append(out, n)
			}
		}
		return out
	}
	net := newNetwork(5, 6)
	net.run(10 * clock.Second)
	is.Equal(leaders(net), net.nodes[:2])
	net.hosts[net.nodes[0]].table = nil
	net.run(detectionMillis(net.config, 6))
	is.Equal(leaders(net), net.nodes[1:3])
	net.start(net.nodes[0], 0)
	net.run(10 * clock.Second)
	is.Equal(leaders(net), net.nodes[:2])
}

// TestDetection guards against killed nodes that are detected late or not at all.
func TestDetection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 24).Draw(t, "nodes")
		net := newNetwork(rapid.Uint64().Draw(t, "seed"), n)
		net.run(20 * clock.Second)
		if err := net.checkAgreement(); err != nil {
			t.Fatal(err)
		}
		net.run(clock.Millis(rapid.IntRange(0, 1000).Draw(t, "phase")))
		net.hosts[rapid.SampledFrom(net.nodes).Draw(t, "killed")].table = nil
		net.run(detectionMillis(net.config, n))
		if err := net.checkAgreement(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestFalseDeathIsRefuted guards against a healthy node that becomes unroutable
// because a peer has it as Suspect or Dead, for example after a partition.
func TestFalseDeathIsRefuted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 16).Draw(t, "nodes")
		net := newNetwork(rapid.Uint64().Draw(t, "seed"), n)
		net.run(20 * clock.Second)
		suspected := net.nodes[rapid.IntRange(0, n-1).Draw(t, "suspected")]
		net.onChange = func(at ident.NodeID, _, later Record, reason string) {
			if later.State == Dead {
				t.Fatalf("%s has %s as Dead: %s", at, later.Node, reason)
			}
		}
		r := net.hosts[suspected].table.Self()
		r.State = rapid.SampledFrom([]State{Suspect, Dead}).Draw(t, "state")
		for range rapid.IntRange(1, 3).Draw(t, "reporters") {
			from, to := rapid.SampledFrom(net.nodes).Draw(t, "from"), rapid.SampledFrom(net.nodes).Draw(t, "to")
			net.send(to, net.hosts[to].table.Receive(net.now+net.hosts[to].skew, from, Message{Kind: Notice, Updates: []Update{{Record: r, Observer: from}}}))
		}
		net.run(net.config.SuspectMinMillis + spreadMillis(net.config, n))
		if err := net.checkAgreement(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestDrainReachesAll guards against nodes that still route to a draining target
// because messages were lost.
func TestDrainReachesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 24).Draw(t, "nodes")
		net := newNetwork(rapid.Uint64().Draw(t, "seed"), n)
		net.run(20 * clock.Second)
		net.loss = 0.2
		leaving := rapid.SampledFrom(net.nodes).Draw(t, "leaving")
		h := net.hosts[leaving]
		before := make(map[ident.NodeID]uint64)
		for _, node := range net.nodes {
			before[node] = net.hosts[node].table.Sequence()
		}
		net.send(leaving, h.table.SetTarget(net.now+h.skew, "orders", h.table.Self().Target, Draining))
		net.run(2 * spreadMillis(net.config, n))
		for _, node := range net.nodes {
			table := net.hosts[node].table
			if r, _ := table.Record(leaving); r.Routable() {
				t.Fatalf("%s still routes to %s", node, leaving)
			}
			if table.Sequence() == before[node] {
				t.Fatalf("%s did not increase its sequence", node)
			}
		}
	})
}

// TestRegionsHeal guards against regions that stay separated after a partition ends,
// and against nodes that their own region changes to Dead meanwhile.
func TestRegionsHeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 16).Draw(t, "nodes")
		net := newNetwork(rapid.Uint64().Draw(t, "seed"), n)
		net.run(20 * clock.Second)
		size := rapid.IntRange(1, n-1).Draw(t, "size")
		if rapid.Bool().Draw(t, "without seeds") {
			for _, h := range net.hosts {
				h.table.config.Seeds = nil
			}
		}
		inFirst := func(x ident.NodeID) bool { return x < net.nodes[size] }
		net.blocked = func(from, to ident.NodeID) bool { return inFirst(from) != inFirst(to) }
		net.run(3 * detectionMillis(net.config, n))
		for _, x := range net.nodes {
			for _, y := range net.nodes {
				r, _ := net.hosts[x].table.Record(y)
				if inFirst(x) != inFirst(y) && r.live() {
					t.Fatalf("%s has %s of the other side as %s", x, y, r.State)
				}
			}
		}
		net.onChange = func(at ident.NodeID, _, later Record, reason string) {
			if later.State == Dead && inFirst(at) == inFirst(later.Node) {
				t.Fatalf("%s has %s of its own side as Dead: %s", at, later.Node, reason)
			}
		}
		net.blocked = nil
		net.run(4*net.config.RetryMillis + net.config.SyncMillis + 3*spreadMillis(net.config, n))
		if err := net.checkAgreement(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestPausedNodeSuspectsNobody guards against a node that suspects all others because
// its own process was paused.
func TestPausedNodeSuspectsNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 10).Draw(t, "nodes")
		net := newNetwork(rapid.Uint64().Draw(t, "seed"), n)
		net.run(20 * clock.Second)
		paused := rapid.SampledFrom(net.nodes).Draw(t, "paused")
		net.onChange = func(at ident.NodeID, _, later Record, _ string) {
			if at == paused && later.State != Alive {
				t.Fatalf("the paused node has %s as %s", later.Node, later.State)
			}
		}
		net.run(clock.Millis(rapid.IntRange(0, 1000).Draw(t, "phase")))
		pause := clock.Millis(rapid.IntRange(1000, 60_000).Draw(t, "pause"))
		net.hosts[paused].pausedUntil = net.now + pause
		net.hosts[paused].overflow = rapid.Bool().Draw(t, "overflow")
		net.run(pause + 3*net.config.RetryMillis + detectionMillis(net.config, n))
		if err := net.checkAgreement(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestRestart guards against a restarted node whose incarnation stays below its
// previous one because its clock lags, and against a lost version floor (I1).
func TestRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 10).Draw(t, "nodes")
		net := newNetwork(rapid.Uint64().Draw(t, "seed"), n)
		restarted := rapid.SampledFrom(net.nodes).Draw(t, "restarted")
		net.hosts[restarted].table.SetHeld(42)
		net.run(20 * clock.Second)
		earlier := net.hosts[restarted].table.Self()
		net.start(restarted, clock.Millis(rapid.IntRange(0, 600_000).Draw(t, "lag")))
		net.run(4*net.config.RetryMillis + 2*spreadMillis(net.config, n))
		if err := net.checkAgreement(); err != nil {
			t.Fatal(err)
		}
		table := net.hosts[restarted].table
		if table.Self().Incarnation <= earlier.Incarnation {
			t.Fatalf("incarnation %d after %d", table.Self().Incarnation, earlier.Incarnation)
		}
		if table.RecordedHeld() != 42 {
			t.Fatalf("peers recorded version %d", table.RecordedHeld())
		}
	})
}

// TestLeave guards against a node that left in order and counts as Dead.
func TestLeave(t *testing.T) {
	is := is.New(t)
	net := newNetwork(3, 8)
	net.run(20 * clock.Second)
	h := net.hosts["n004"]
	net.send("n004", h.table.Leave(net.now+h.skew))
	net.deliver()
	net.run(spreadMillis(net.config, 8))
	h.table = nil
	for _, n := range net.nodes {
		if table := net.hosts[n].table; table != nil {
			r, _ := table.Record("n004")
			is.Equal(r.State, Left)
		}
	}
	net.run(detectionMillis(net.config, 8))
	is.NoErr(net.checkAgreement())
}

// TestMessageRate guards against a message rate per node that grows with the fleet.
func TestMessageRate(t *testing.T) {
	for _, n := range []int{12, 60} {
		net := newNetwork(5, n)
		net.run(60 * clock.Second)
		net.sent = 0
		seconds := 20
		net.run(clock.Millis(seconds) * clock.Second)
		// One probe and one answer per ring and second, and an occasional sync.
		if limit := n * seconds * (2*ringCount + 1); net.sent > limit {
			t.Errorf("%d nodes sent %d messages in %d s, limit %d", n, net.sent, seconds, limit)
		}
		if err := net.checkAgreement(); err != nil {
			t.Error(err)
		}
	}
}

// TestSequence guards against views that are rebuilt although no field that affects
// routing changed.
func TestSequence(t *testing.T) {
	is := is.New(t)
	net := newNetwork(4, 3)
	net.run(10 * clock.Second)
	table := net.hosts["n000"].table
	before := table.Sequence()
	net.hosts["n001"].table.SetHeld(9)
	r := net.hosts["n001"].table.Self()
	r.State = Suspect
	table.Receive(net.now, "n002", Message{Kind: Notice, Updates: []Update{{Record: r, Observer: "n002"}}})
	net.run(10 * clock.Second)
	is.NoErr(net.checkAgreement())
	is.Equal(table.Sequence(), before)
	held, _ := table.Record("n001")
	is.Equal(held.Held, ident.Version(9))
}
