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
// that has it tells 4 others in each probe interval.
func spreadMillis(c Config, n int) clock.Millis {
	return c.ProbeMillis * clock.Millis(1+math.Ceil(math.Log2(float64(n))))
}

// detectionMillis bounds the time until all nodes hold a killed one for dead.
func detectionMillis(c Config, n int) clock.Millis {
	suspected := 3*c.ProbeMillis/2 + c.TimeoutMillis + c.IndirectMillis + 3*tickMillis
	return suspected + c.SuspectMaxMillis + spreadMillis(c, n)
}

// TestConvergence guards against tables that differ for good after loss, doubled,
// reordered and very late messages, one-way cuts, kills, restarts with empty
// memory, pauses and clocks that are seconds apart.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "nodes")
		b := newBag(rapid.Uint64().Draw(t, "seed"), n)
		b.run(10 * clock.Second)
		node := rapid.SampledFrom(b.nodes)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			b.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
			b.double = rapid.Float64Range(0, 0.3).Draw(t, "double")
			b.hold = clock.Millis(rapid.IntRange(0, 30_000).Draw(t, "hold"))
			from, to := node.Draw(t, "from"), node.Draw(t, "to")
			b.cut = func(f, o ident.NodeID) bool { return f == from && o == to }
			s := b.slots[node.Draw(t, "node")]
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				s.table = nil
			case 1:
				if s.table != nil {
					b.start(s.table.Self().Node, clock.Millis(rapid.IntRange(0, 60_000).Draw(t, "lag")))
				}
			case 2:
				s.pausedUntil = b.now + clock.Millis(rapid.IntRange(0, 20_000).Draw(t, "pause"))
			case 3:
				if s.table != nil {
					self := s.table.Self()
					b.post(self.Node, s.table.SetTarget(b.now+s.skew, self.Service, self.Target, Draining))
				}
			}
			b.run(clock.Millis(rapid.IntRange(0, 15_000).Draw(t, "while")))
		}
		b.loss, b.double, b.hold, b.cut = 0, 0, 0, nil
		running := 0
		for i, name := range b.nodes {
			// A fleet can only meet again through a seed.
			if b.slots[name].table == nil && i < 2 {
				b.start(name, 0)
			}
			if b.slots[name].table != nil {
				running++
			}
		}
		// Held messages arrive within 30 s and pauses end within 20 s; then lost
		// members are tried, and stopped ones detected.
		b.run(30*clock.Second + 6*b.config.RetryMillis + 2*detectionMillis(b.config, n))
		if err := b.agree(); err != nil {
			t.Fatalf("%d of %d running: %v", running, n, err)
		}
	})
}

// TestLeadsDomain guards against a shared duty that nobody in a failure domain
// carries out, or that nodes keep from which another one has taken over.
func TestLeadsDomain(t *testing.T) {
	is := is.New(t)
	leaders := func(b *bag) (out []ident.NodeID) {
		for _, n := range b.nodes {
			if s := b.slots[n]; s.table != nil && s.table.LeadsDomain(2) {
				out = append(out, n)
			}
		}
		return out
	}
	b := newBag(5, 6)
	b.run(10 * clock.Second)
	is.Equal(leaders(b), b.nodes[:2])
	b.slots[b.nodes[0]].table = nil
	b.run(detectionMillis(b.config, 6))
	is.Equal(leaders(b), b.nodes[1:3])
	b.start(b.nodes[0], 0)
	b.run(10 * clock.Second)
	is.Equal(leaders(b), b.nodes[:2])
}

// TestDetection guards against killed nodes that are found late or not at all.
func TestDetection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 24).Draw(t, "nodes")
		b := newBag(rapid.Uint64().Draw(t, "seed"), n)
		b.run(20 * clock.Second)
		if err := b.agree(); err != nil {
			t.Fatal(err)
		}
		b.run(clock.Millis(rapid.IntRange(0, 1000).Draw(t, "phase")))
		b.slots[rapid.SampledFrom(b.nodes).Draw(t, "killed")].table = nil
		b.run(detectionMillis(b.config, n))
		if err := b.agree(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestFalseDeathIsRefuted guards against a healthy node that becomes unroutable
// because a peer holds it for suspect or dead, for example after a partition.
func TestFalseDeathIsRefuted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 16).Draw(t, "nodes")
		b := newBag(rapid.Uint64().Draw(t, "seed"), n)
		b.run(20 * clock.Second)
		accused := b.nodes[rapid.IntRange(0, n-1).Draw(t, "accused")]
		b.onChange = func(at ident.NodeID, _, later Record, reason string) {
			if later.State == Dead {
				t.Fatalf("%s holds %s for dead: %s", at, later.Node, reason)
			}
		}
		r := b.slots[accused].table.Self()
		r.State = rapid.SampledFrom([]State{Suspect, Dead}).Draw(t, "state")
		for range rapid.IntRange(1, 3).Draw(t, "accusers") {
			from, to := rapid.SampledFrom(b.nodes).Draw(t, "from"), rapid.SampledFrom(b.nodes).Draw(t, "to")
			b.post(to, b.slots[to].table.Receive(b.now+b.slots[to].skew, from, Message{Kind: Notice, Updates: []Update{{Record: r, Observer: from}}}))
		}
		b.run(b.config.SuspectMinMillis + spreadMillis(b.config, n))
		if err := b.agree(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestDrainReachesAll guards against nodes that go on sending to a target that
// left, although messages are lost.
func TestDrainReachesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 24).Draw(t, "nodes")
		b := newBag(rapid.Uint64().Draw(t, "seed"), n)
		b.run(20 * clock.Second)
		b.loss = 0.2
		leaving := rapid.SampledFrom(b.nodes).Draw(t, "leaving")
		s := b.slots[leaving]
		before := make(map[ident.NodeID]uint64)
		for _, node := range b.nodes {
			before[node] = b.slots[node].table.Sequence()
		}
		b.post(leaving, s.table.SetTarget(b.now+s.skew, "orders", s.table.Self().Target, Draining))
		b.run(2 * spreadMillis(b.config, n))
		for _, node := range b.nodes {
			table := b.slots[node].table
			if r, _ := table.Record(leaving); r.Routable() {
				t.Fatalf("%s still routes to %s", node, leaving)
			}
			if table.Sequence() == before[node] {
				t.Fatalf("%s did not count the change", node)
			}
		}
	})
}

// TestRegionsHeal guards against regions that stay apart after their link returns,
// and against nodes that their own region takes for dead meanwhile.
func TestRegionsHeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 16).Draw(t, "nodes")
		b := newBag(rapid.Uint64().Draw(t, "seed"), n)
		b.run(20 * clock.Second)
		size := rapid.IntRange(1, n-1).Draw(t, "size")
		if rapid.Bool().Draw(t, "without seeds") {
			for _, s := range b.slots {
				s.table.config.Seeds = nil
			}
		}
		left := func(x ident.NodeID) bool { return x < b.nodes[size] }
		b.cut = func(from, to ident.NodeID) bool { return left(from) != left(to) }
		b.run(3 * detectionMillis(b.config, n))
		for _, x := range b.nodes {
			for _, y := range b.nodes {
				r, _ := b.slots[x].table.Record(y)
				if left(x) != left(y) && r.live() {
					t.Fatalf("%s holds %s of the other side for %s", x, y, r.State)
				}
			}
		}
		b.onChange = func(at ident.NodeID, _, later Record, reason string) {
			if later.State == Dead && left(at) == left(later.Node) {
				t.Fatalf("%s holds its neighbour %s for dead: %s", at, later.Node, reason)
			}
		}
		b.cut = nil
		b.run(4*b.config.RetryMillis + b.config.SyncMillis + 3*spreadMillis(b.config, n))
		if err := b.agree(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestPauseAccusesNobody guards against a node that takes all others for dead
// because it did not run itself.
func TestPauseAccusesNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 10).Draw(t, "nodes")
		b := newBag(rapid.Uint64().Draw(t, "seed"), n)
		b.run(20 * clock.Second)
		paused := rapid.SampledFrom(b.nodes).Draw(t, "paused")
		b.onChange = func(at ident.NodeID, _, later Record, _ string) {
			if at == paused && later.State != Alive {
				t.Fatalf("the paused node holds %s for %s", later.Node, later.State)
			}
		}
		b.run(clock.Millis(rapid.IntRange(0, 1000).Draw(t, "phase")))
		pause := clock.Millis(rapid.IntRange(1000, 60_000).Draw(t, "pause"))
		b.slots[paused].pausedUntil = b.now + pause
		b.slots[paused].overflow = rapid.Bool().Draw(t, "overflow")
		b.run(pause + 3*b.config.RetryMillis + detectionMillis(b.config, n))
		if err := b.agree(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestRestart guards against a restarted node that stays behind its earlier life
// because its clock lags, and against a lost version floor (I1).
func TestRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 10).Draw(t, "nodes")
		b := newBag(rapid.Uint64().Draw(t, "seed"), n)
		restarted := rapid.SampledFrom(b.nodes).Draw(t, "restarted")
		b.slots[restarted].table.SetHeld(42)
		b.run(20 * clock.Second)
		earlier := b.slots[restarted].table.Self()
		b.start(restarted, clock.Millis(rapid.IntRange(0, 600_000).Draw(t, "lag")))
		b.run(4*b.config.RetryMillis + 2*spreadMillis(b.config, n))
		if err := b.agree(); err != nil {
			t.Fatal(err)
		}
		table := b.slots[restarted].table
		if table.Self().Incarnation <= earlier.Incarnation {
			t.Fatalf("incarnation %d after %d", table.Self().Incarnation, earlier.Incarnation)
		}
		if table.RecordedHeld() != 42 {
			t.Fatalf("peers recorded version %d", table.RecordedHeld())
		}
	})
}

// TestLeave guards against a node that left and counts as failed.
func TestLeave(t *testing.T) {
	is := is.New(t)
	b := newBag(3, 8)
	b.run(20 * clock.Second)
	s := b.slots["n004"]
	b.post("n004", s.table.Leave(b.now+s.skew))
	b.deliver()
	b.run(spreadMillis(b.config, 8))
	s.table = nil
	for _, n := range b.nodes {
		if table := b.slots[n].table; table != nil {
			r, _ := table.Record("n004")
			is.Equal(r.State, Left)
		}
	}
	b.run(detectionMillis(b.config, 8))
	is.NoErr(b.agree())
}

// TestMessageRate guards against a rate of messages that grows with the fleet.
func TestMessageRate(t *testing.T) {
	for _, n := range []int{12, 60} {
		b := newBag(5, n)
		b.run(60 * clock.Second)
		b.sent = 0
		seconds := 20
		b.run(clock.Millis(seconds) * clock.Second)
		// One probe and one answer per ring and second, and a sync now and then.
		if limit := n * seconds * (2*ringCount + 1); b.sent > limit {
			t.Errorf("%d nodes sent %d messages in %d s, limit %d", n, b.sent, seconds, limit)
		}
		if err := b.agree(); err != nil {
			t.Error(err)
		}
	}
}

// TestSequence guards against views that are built anew although no routable fact
// changed.
func TestSequence(t *testing.T) {
	is := is.New(t)
	b := newBag(4, 3)
	b.run(10 * clock.Second)
	table := b.slots["n000"].table
	before := table.Sequence()
	b.slots["n001"].table.SetHeld(9)
	r := b.slots["n001"].table.Self()
	r.State = Suspect
	table.Receive(b.now, "n002", Message{Kind: Notice, Updates: []Update{{Record: r, Observer: "n002"}}})
	b.run(10 * clock.Second)
	is.NoErr(b.agree())
	is.Equal(table.Sequence(), before)
	held, _ := table.Record("n001")
	is.Equal(held.Held, ident.Version(9))
}
