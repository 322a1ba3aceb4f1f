package spread

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/codec"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

// TestReleases guards against versions that decrease (I1), releases that are applied in
// part or altered (I3), and nodes that do not converge, under lost, duplicated, tampered,
// reordered and very late messages, one-way partitions, kills and restarts with empty
// memory.
func TestReleases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 16).Draw(t, "nodes")
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), n)
		sim.publish()
		sim.run(3 * clock.Second)
		node := rapid.SampledFrom(sim.names)
		for range rapid.IntRange(1, 10).Draw(t, "faults") {
			sim.config.RoundMillis = clock.Millis(rapid.SampledFrom([]int{100, 500, 2000}).Draw(t, "round"))
			sim.loss = rapid.Float64Range(0, 0.9).Draw(t, "loss")
			sim.duplicate = rapid.Float64Range(0, 0.5).Draw(t, "duplicate")
			sim.tamper = rapid.Float64Range(0, 0.3).Draw(t, "tamper")
			sim.maxExtraDelay = clock.Millis(rapid.IntRange(0, 30_000).Draw(t, "extra delay"))
			from, to := node.Draw(t, "from"), node.Draw(t, "to")
			sim.blocked = func(f, o ident.NodeID) bool { return f == from && o == to }
			p := node.Draw(t, "node")
			switch rapid.IntRange(0, 2).Draw(t, "fault") {
			case 0:
				sim.processes[p].node = nil
			case 1:
				sim.start(p)
			}
			for range rapid.IntRange(0, 20).Draw(t, "releases") {
				sim.publish()
				sim.run(clock.Millis(rapid.IntRange(0, 1000).Draw(t, "gap")))
			}
		}
		sim.loss, sim.duplicate, sim.tamper, sim.maxExtraDelay, sim.blocked = 0, 0, 0, 0, nil
		for _, name := range sim.names {
			if sim.processes[name].node == nil {
				sim.start(name)
			}
		}
		// The delayed messages arrive first. Then each hop takes at most one repair
		// announcement to every neighbour in turn and one fetch after the last backoff.
		c := sim.config
		sim.run(30*clock.Second + clock.Millis(n)*(2*c.SilentBackoffMillis+2*c.FetchTimeoutMillis+c.RoundMillis))
		if lag := sim.lagging(); len(lag) > 0 {
			t.Fatalf("of %d nodes, %v lack version %d", n, lag, len(sim.releases))
		}
	})
}

// TestConvergenceTime guards against hops that take longer than a round on a network
// without faults.
func TestConvergenceTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "nodes")
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), n)
		sim.config.RoundMillis = clock.Millis(rapid.SampledFrom([]int{100, 500, 2000}).Draw(t, "round"))
		for _, name := range sim.names {
			sim.start(name)
		}
		for range rapid.IntRange(1, 6).Draw(t, "releases") {
			sim.publish()
			sim.run(clock.Millis(rapid.IntRange(0, 3000).Draw(t, "gap")))
		}
		// The farthest node is at distance n/2, which takes steps of 3. A hop takes at
		// most a round and three messages, each of which is delivered at the next tick.
		hops := clock.Millis(n/6 + 3)
		sim.run(hops * (sim.config.RoundMillis + 4*tickMillis))
		if lag := sim.lagging(); len(lag) > 0 {
			t.Fatalf("of %d nodes, %v lack version %d", n, lag, len(sim.releases))
		}
		if sim.snapshots > n || sim.reads > len(sim.releases) {
			t.Fatalf("%d snapshots and %d reads for %d nodes and %d releases", sim.snapshots, sim.reads, n, len(sim.releases))
		}
	})
}

// TestGroupReturns guards against a group of nodes that overloads its neighbours or the
// source when it restarts with empty memory. The simulation checks the limit of snapshot
// transfers.
func TestGroupReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(8, 40).Draw(t, "nodes")
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), n)
		sim.config.MaxSnapshots = 1
		for _, name := range sim.names {
			sim.start(name)
		}
		sim.publish()
		sim.run(clock.Millis(n) * clock.Second)
		if lag := sim.lagging(); len(lag) > 0 {
			t.Fatalf("before: %v", lag)
		}
		// The group is all nodes except the reader and the nodes that keep running.
		sim.reads = 0
		for _, name := range sim.names[rapid.IntRange(1, n/2).Draw(t, "stay"):] {
			sim.start(name)
		}
		sim.run(clock.Millis(n) * (sim.config.BusyBackoffMillis + sim.config.FetchTimeoutMillis + sim.config.RoundMillis))
		if lag := sim.lagging(); len(lag) > 0 {
			t.Fatalf("of %d nodes, %v lack the release", n, lag)
		}
		if sim.reads != 0 {
			t.Fatalf("the source was read %d times", sim.reads)
		}
	})
}

// release returns a valid release.
func release(t *testing.T, v ident.Version) model.Release {
	r, err := model.NewRelease(v, "e", configuration(int(v)))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// snapshot returns the SnapshotBody of a release.
func snapshot(r model.Release) Message {
	body := codec.Compress(model.EncodeRelease(r))
	sum := ident.Sum(body)
	return Message{Kind: SnapshotBody, Version: r.Version, Digest: r.Digest, Body: body, Sum: sum[:]}
}

// sent returns the Send actions whose message is of a kind.
func sent(kind Kind, actions []Action) []Action {
	return slices.DeleteFunc(only(Send, actions), func(a Action) bool { return a.Message.Kind != kind })
}

// only returns the actions of a kind.
func only(kind ActionKind, actions []Action) []Action {
	var out []Action
	for _, a := range actions {
		if a.Kind == kind {
			out = append(out, a)
		}
	}
	return out
}

// TestFloor guards against a restarted node that applies a version older than one that its
// predecessor process held (I1).
func TestFloor(t *testing.T) {
	is := is.New(t)
	n := New(DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	n.SetNeighbours(0, []Neighbour{{Node: "b"}})
	five, seven := release(t, 5), release(t, 7)
	is.Equal(len(only(Apply, n.Receive(1, "b", snapshot(five)))), 0)
	is.True(!n.Ready())
	is.Equal(len(only(Apply, n.SetFloor(2, 7))), 0)
	n.SetFloor(3, 1)
	is.True(!n.Ready())
	is.Equal(len(only(NeedSource, n.Tick(4))), 0)
	is.Equal(len(only(NeedSource, n.Tick(40_000))), 1)
	delta := model.MakeDelta(five, seven)
	applied := only(Apply, n.Receive(5, "b", Message{Kind: DeltaBody, Version: 7, Digest: seven.Digest, Delta: &delta}))
	is.Equal(len(applied), 1)
	is.Equal(applied[0].Release.Version, ident.Version(7))
	is.True(n.Ready())
}

// TestSourceIsChecked guards against accepting a release that differs from the head of the
// source, and against a stale read of the head.
func TestSourceIsChecked(t *testing.T) {
	is := is.New(t)
	n := New(DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	var refused []error
	n.OnRefuse = func(_ ident.NodeID, _ ident.Version, err error) { refused = append(refused, err) }
	n.SetFloor(0, 0)
	two := release(t, 2)
	is.Equal(len(only(ReadRelease, n.SourceHead(1, 2, two.Digest))), 1)
	is.Equal(len(n.SourceHead(2, 2, two.Digest)), 0) // already requested
	is.Equal(len(n.SourceRelease(3, release(t, 3))), 0)
	broken := two
	broken.Configuration = configuration(9)
	is.Equal(len(n.SourceRelease(3, broken)), 0)
	is.True(len(refused) == 2 && errors.Is(refused[1], model.ErrDigest))
	is.Equal(len(only(Apply, n.SourceRelease(4, two))), 1)
	is.Equal(len(n.SourceHead(5, 1, ident.Digest{})), 0)
	is.Equal(n.Applied(), ident.Version(2))
}

// TestSilentNeighbourIsReplaced guards against a fetch that waits forever for a neighbour
// that does not answer.
func TestSilentNeighbourIsReplaced(t *testing.T) {
	is := is.New(t)
	c := DefaultConfig()
	n := New(c, rand.New(rand.NewPCG(1, 1)))
	n.SetNeighbours(0, []Neighbour{{Node: "b"}, {Node: "c"}})
	n.SetFloor(0, 0)
	r := release(t, 3)
	announce := Message{Kind: Announce, Version: 3, Digest: r.Digest}
	first := only(Send, n.Receive(1, "b", announce))
	is.Equal(first[0].Message.Kind, Fetch)
	is.Equal(first[0].To, ident.NodeID("b"))
	n.Receive(1, "c", announce)
	second := sent(Fetch, n.Tick(1+c.FetchTimeoutMillis))
	is.Equal(len(second), 1)
	is.Equal(second[0].To, ident.NodeID("c"))
}

// newLagReader returns a node that holds version 1 and reads the source after a lag of a
// second.
func newLagReader(t *testing.T) *Node {
	t.Helper()
	config := DefaultConfig()
	config.LagMillis = clock.Second
	n := New(config, rand.New(rand.NewPCG(1, 1)))
	n.SetFloor(0, 0)
	n.SourceHead(0, 1, release(t, 1).Digest)
	n.SourceRelease(0, release(t, 1))
	return n
}

// TestLaggingNodeReadsSource guards against a node that knows of a newer release for
// seconds and does not have it, because all of its neighbours answer too slowly. A release
// must be in force within 2 s, of which the first half is left to the neighbours.
func TestLaggingNodeReadsSource(t *testing.T) {
	is := is.New(t)
	n := newLagReader(t)
	n.SetNeighbours(0, []Neighbour{{Node: "b"}, {Node: "c"}})
	newer := release(t, 2)
	read := clock.Millis(0)
	for now := clock.Millis(100); now < 10*clock.Second; now += 100 {
		var actions []Action
		if now == 100 {
			actions = n.Receive(now, "b", Message{Kind: Announce, Version: 2, Digest: newer.Digest})
		}
		actions = append(actions, n.Tick(now)...)
		if len(only(NeedSource, actions)) > 0 {
			read = now
			break
		}
	}
	is.True(read >= 800 && read <= 1800)
	n.SourceHead(read, 2, newer.Digest)
	n.SourceRelease(read, newer)
	is.Equal(n.Applied(), ident.Version(2))
	for now := read; now < 10*clock.Second; now += 100 {
		is.Equal(len(only(NeedSource, n.Tick(now))), 0) // it has the newest release
	}
}

// TestFetchingNodeDoesNotReadSource guards against a node that reads the source although
// its neighbours send it one release after the other: in a large fleet, every change would
// cost as many reads as there are nodes.
func TestFetchingNodeDoesNotReadSource(t *testing.T) {
	is := is.New(t)
	n := newLagReader(t)
	n.SetNeighbours(0, []Neighbour{{Node: "b"}})
	for v := ident.Version(2); v < 40; v++ {
		now := clock.Millis(v) * 250
		announced := n.Receive(now, "b", Message{Kind: Announce, Version: v + 1, Digest: release(t, v+1).Digest})
		is.Equal(len(only(NeedSource, announced)), 0)
		is.Equal(len(only(NeedSource, n.Receive(now+100, "b", snapshot(release(t, v))))), 0) // one release behind
		is.Equal(len(only(NeedSource, n.Tick(now+200))), 0)
	}
}

// TestBadDeltaLeadsToSnapshot guards against a node that fetches the same invalid delta
// forever.
func TestBadDeltaLeadsToSnapshot(t *testing.T) {
	is := is.New(t)
	n := New(DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	n.SetNeighbours(0, []Neighbour{{Node: "b"}})
	n.SetFloor(0, 0)
	two, three := release(t, 2), release(t, 3)
	n.Receive(1, "b", snapshot(two))
	asked := sent(Fetch, n.Receive(2, "b", Message{Kind: Announce, Version: 3, Digest: three.Digest}))
	is.Equal(asked[0].Message.Version, ident.Version(2))
	delta := model.MakeDelta(two, three)
	delta.Changes = delta.Changes[1:]
	asked = sent(Fetch, n.Receive(3, "b", Message{Kind: DeltaBody, Version: 3, Digest: three.Digest, Delta: &delta}))
	is.Equal(asked[0].Message.Version, ident.Version(0))
	is.Equal(n.Applied(), ident.Version(2))
	is.Equal(len(only(Apply, n.Receive(4, "b", snapshot(three)))), 1)
}

// TestSourceBeforeSnapshot guards against snapshots between nodes that each read the source
// themselves at start, and against a node that waits forever for a source that does not
// answer.
func TestSourceBeforeSnapshot(t *testing.T) {
	is := is.New(t)
	c := DefaultConfig()
	c.SourceTimeoutMillis = 800
	newNode := func() *Node {
		n := New(c, rand.New(rand.NewPCG(1, 1)))
		n.SetNeighbours(0, []Neighbour{{Node: "b"}})
		n.SetFloor(0, 0)
		return n
	}
	two, three := release(t, 2), release(t, 3)
	announce := func(r model.Release) Message { return Message{Kind: Announce, Version: r.Version, Digest: r.Digest} }

	n := newNode() // a node that has just started
	actions := n.Receive(1, "b", announce(two))
	is.Equal(len(only(NeedSource, actions)), 1)
	is.Equal(len(sent(Fetch, actions)), 0)
	is.Equal(len(only(NeedSource, n.Tick(100))), 0)
	is.Equal(len(sent(Fetch, n.Tick(1+c.SourceTimeoutMillis))), 1)
	is.Equal(len(only(Apply, n.Receive(900, "b", snapshot(two)))), 1)

	// A node that holds a release fetches at once.
	asked := sent(Fetch, n.Receive(1000, "b", announce(three)))
	is.Equal(len(asked), 1)
	is.Equal(asked[0].Message.Version, ident.Version(2))
}

// TestRounds guards against changes within a round that are announced one by one, and
// against a last change that is announced late or not at all.
func TestRounds(t *testing.T) {
	is := is.New(t)
	c := DefaultConfig()
	c.RoundMillis, c.RepairMillis = 2000, clock.Forever
	n := New(c, rand.New(rand.NewPCG(1, 1)))
	n.SetFloor(0, 0)
	n.SetNeighbours(0, []Neighbour{{Node: "b"}})
	n.Tick(0)
	var announced []ident.Version
	for now := clock.Millis(1); now < 3000; now += tickMillis {
		actions := n.Tick(now)
		if v := ident.Version(now/tickMillis) + 1; v <= 10 {
			actions = append(actions, n.Receive(now, "x", snapshot(release(t, v)))...)
		}
		for _, a := range sent(Announce, actions) {
			if a.To == "b" {
				announced = append(announced, a.Message.Version)
			}
		}
	}
	is.Equal(announced, []ident.Version{1, 10})
}

// TestHeartbeat guards against a reader that counts as live because of old or repeated
// heartbeats, and against heartbeats that do not reach all nodes.
func TestHeartbeat(t *testing.T) {
	is := is.New(t)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "nodes")
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), n)
		hops := clock.Millis(n/6 + 3)
		reader := sim.processes[sim.names[0]]
		for range 10 {
			sim.perform(sim.names[0], reader.node.ReaderHeartbeat(sim.now+reader.skew, "r", 1))
			sim.run(sim.config.HeartbeatMillis)
		}
		sim.run(hops * (sim.config.HeartbeatMillis + tickMillis))
		for _, name := range sim.names {
			p := sim.processes[name]
			if p.node.heartbeats["r"].heartbeat.Count != 10 {
				t.Fatalf("%s knows heartbeat %d of 10", name, p.node.heartbeats["r"].heartbeat.Count)
			}
		}
		sim.run(20 * clock.Second)
		for _, name := range sim.names {
			p := sim.processes[name]
			if age := p.node.HeartbeatAge(sim.now+p.skew, "r"); age < 20*clock.Second {
				t.Fatalf("%s learned a heartbeat %v ago", name, age)
			}
		}
	})
	m := New(DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	heartbeat := func(epoch ident.Epoch, count uint64) Message {
		return Message{Kind: Announce, Heartbeats: []Heartbeat{{Region: "r", Epoch: epoch, Count: count}}}
	}
	is.Equal(m.HeartbeatAge(5, "r"), clock.Forever)
	m.Receive(10, "b", heartbeat(2, 5))
	m.Receive(20, "b", heartbeat(2, 5))
	m.Receive(30, "c", heartbeat(1, 9))
	is.Equal(m.HeartbeatAge(40, "r"), clock.Millis(30))
	m.Receive(50, "c", heartbeat(3, 1))
	is.Equal(m.HeartbeatAge(60, "r"), clock.Millis(10))
}
