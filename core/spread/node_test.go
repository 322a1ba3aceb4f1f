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

// TestReleases guards against versions that fall (I1), against releases that are
// put in force in part or altered (I3), and against nodes that stay behind, under
// loss, doubled, tampered, reordered and very late messages, one-way cuts, kills
// and restarts with empty memory.
func TestReleases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 16).Draw(t, "nodes")
		b := newBag(t, rapid.Uint64().Draw(t, "seed"), n)
		b.publish()
		b.run(3 * clock.Second)
		node := rapid.SampledFrom(b.names)
		for range rapid.IntRange(1, 10).Draw(t, "faults") {
			b.config.RoundMillis = clock.Millis(rapid.SampledFrom([]int{100, 500, 2000}).Draw(t, "round"))
			b.loss = rapid.Float64Range(0, 0.9).Draw(t, "loss")
			b.double = rapid.Float64Range(0, 0.5).Draw(t, "double")
			b.tamper = rapid.Float64Range(0, 0.3).Draw(t, "tamper")
			b.hold = clock.Millis(rapid.IntRange(0, 30_000).Draw(t, "hold"))
			from, to := node.Draw(t, "from"), node.Draw(t, "to")
			b.cut = func(f, o ident.NodeID) bool { return f == from && o == to }
			p := node.Draw(t, "node")
			switch rapid.IntRange(0, 2).Draw(t, "fault") {
			case 0:
				b.places[p].node = nil
			case 1:
				b.start(p)
			}
			for range rapid.IntRange(0, 20).Draw(t, "releases") {
				b.publish()
				b.run(clock.Millis(rapid.IntRange(0, 1000).Draw(t, "gap")))
			}
		}
		b.loss, b.double, b.tamper, b.hold, b.cut = 0, 0, 0, 0, nil
		for _, name := range b.names {
			if b.places[name].node == nil {
				b.start(name)
			}
		}
		// Held messages arrive; then each hop takes at most one repair to every
		// neighbour in turn and one fetch after the last silence.
		c := b.config
		b.run(30*clock.Second + clock.Millis(n)*(2*c.SilentMillis+2*c.FetchMillis+c.RoundMillis))
		if lag := b.lagging(); len(lag) > 0 {
			t.Fatalf("of %d nodes, %v lack version %d", n, lag, len(b.releases))
		}
	})
}

// TestConvergenceTime guards against hops that take longer than a round on a
// network without faults.
func TestConvergenceTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "nodes")
		b := newBag(t, rapid.Uint64().Draw(t, "seed"), n)
		b.config.RoundMillis = clock.Millis(rapid.SampledFrom([]int{100, 500, 2000}).Draw(t, "round"))
		for _, name := range b.names {
			b.start(name)
		}
		for range rapid.IntRange(1, 6).Draw(t, "releases") {
			b.publish()
			b.run(clock.Millis(rapid.IntRange(0, 3000).Draw(t, "gap")))
		}
		// The farthest node is at distance n/2 in steps of 3. A hop takes at most
		// a round and three messages, each delivered with the next tick.
		hops := clock.Millis(n/6 + 3)
		b.run(hops * (b.config.RoundMillis + 4*tickMillis))
		if lag := b.lagging(); len(lag) > 0 {
			t.Fatalf("of %d nodes, %v lack version %d", n, lag, len(b.releases))
		}
		if b.snapshots > n || b.reads > len(b.releases) {
			t.Fatalf("%d snapshots and %d reads for %d nodes and %d releases", b.snapshots, b.reads, n, len(b.releases))
		}
	})
}

// TestGroupReturns guards against a group that overloads its neighbours or the
// source when it returns with empty memory. The bag checks the limit.
func TestGroupReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(8, 40).Draw(t, "nodes")
		b := newBag(t, rapid.Uint64().Draw(t, "seed"), n)
		b.config.MaxSnapshots = 1
		for _, name := range b.names {
			b.start(name)
		}
		b.publish()
		b.run(clock.Millis(n) * clock.Second)
		if lag := b.lagging(); len(lag) > 0 {
			t.Fatalf("before: %v", lag)
		}
		// The group is everything but the reader and its like; it lost a version.
		b.reads = 0
		for _, name := range b.names[rapid.IntRange(1, n/2).Draw(t, "stay"):] {
			b.start(name)
		}
		b.run(clock.Millis(n) * (b.config.BusyMillis + b.config.FetchMillis + b.config.RoundMillis))
		if lag := b.lagging(); len(lag) > 0 {
			t.Fatalf("of %d nodes, %v lack the release", n, lag)
		}
		if b.reads != 0 {
			t.Fatalf("the source was read %d times", b.reads)
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

// snapshot returns a whole release as a message.
func snapshot(r model.Release) Message {
	body := codec.Compress(model.EncodeRelease(r))
	sum := ident.Sum(body)
	return Message{Kind: SnapshotBody, Version: r.Version, Digest: r.Digest, Body: body, Sum: sum[:]}
}

// sent returns the messages of a kind.
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

// TestFloor guards against a restarted node that serves a version older than one
// that its slot held (I1).
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

// TestSourceIsChecked guards against a source whose body is not the one that its
// head names, and against a stale read of the head.
func TestSourceIsChecked(t *testing.T) {
	is := is.New(t)
	n := New(DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	var refused []error
	n.OnRefuse = func(_ ident.NodeID, _ ident.Version, err error) { refused = append(refused, err) }
	n.SetFloor(0, 0)
	two := release(t, 2)
	is.Equal(len(only(ReadRelease, n.SourceHead(1, 2, two.Digest))), 1)
	is.Equal(len(n.SourceHead(2, 2, two.Digest)), 0) // already asked for
	is.Equal(len(n.SourceRelease(3, release(t, 3))), 0)
	broken := two
	broken.Configuration = configuration(9)
	is.Equal(len(n.SourceRelease(3, broken)), 0)
	is.True(len(refused) == 2 && errors.Is(refused[1], model.ErrDigest))
	is.Equal(len(only(Apply, n.SourceRelease(4, two))), 1)
	is.Equal(len(n.SourceHead(5, 1, ident.Digest{})), 0)
	is.Equal(n.Applied(), ident.Version(2))
}

// TestSilentNeighbourIsReplaced guards against a fetch that waits for ever for a
// neighbour that went silent.
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
	second := sent(Fetch, n.Tick(1+c.FetchMillis))
	is.Equal(len(second), 1)
	is.Equal(second[0].To, ident.NodeID("c"))
}

// TestBadDeltaLeadsToSnapshot guards against a node that asks for the same failing
// delta for ever.
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

// TestSourceBeforeSnapshot guards against whole releases that cross the fleet although
// each node that starts reads the source itself, and against a node that waits for ever
// for a source that does not answer.
func TestSourceBeforeSnapshot(t *testing.T) {
	is := is.New(t)
	c := DefaultConfig()
	c.SourceMillis = 800
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
	is.Equal(len(sent(Fetch, n.Tick(1+c.SourceMillis))), 1)
	is.Equal(len(only(Apply, n.Receive(900, "b", snapshot(two)))), 1)

	// A node that holds a release asks at once.
	asked := sent(Fetch, n.Receive(1000, "b", announce(three)))
	is.Equal(len(asked), 1)
	is.Equal(asked[0].Message.Version, ident.Version(2))
}

// TestRounds guards against changes that do not coalesce within a round, and
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

// TestPulse guards against a reader that counts as live because of old or
// repeated pulses, and against pulses that do not reach everyone.
func TestPulse(t *testing.T) {
	is := is.New(t)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "nodes")
		b := newBag(t, rapid.Uint64().Draw(t, "seed"), n)
		hops := clock.Millis(n/6 + 3)
		reader := b.places[b.names[0]]
		for range 10 {
			b.post(b.names[0], reader.node.ReaderPulse(b.now+reader.skew, "r", 1))
			b.run(b.config.PulseMillis)
		}
		b.run(hops * (b.config.PulseMillis + tickMillis))
		for _, name := range b.names {
			p := b.places[name]
			if p.node.pulses["r"].pulse.Count != 10 {
				t.Fatalf("%s knows pulse %d of 10", name, p.node.pulses["r"].pulse.Count)
			}
		}
		b.run(20 * clock.Second)
		for _, name := range b.names {
			p := b.places[name]
			if age := p.node.PulseAge(b.now+p.skew, "r"); age < 20*clock.Second {
				t.Fatalf("%s saw progress %v ago", name, age)
			}
		}
	})
	m := New(DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	pulse := func(epoch ident.Epoch, count uint64) Message {
		return Message{Kind: Announce, Pulses: []Pulse{{Region: "r", Epoch: epoch, Count: count}}}
	}
	is.Equal(m.PulseAge(5, "r"), clock.Forever)
	m.Receive(10, "b", pulse(2, 5))
	m.Receive(20, "b", pulse(2, 5))
	m.Receive(30, "c", pulse(1, 9))
	is.Equal(m.PulseAge(40, "r"), clock.Millis(30))
	m.Receive(50, "c", pulse(3, 1))
	is.Equal(m.PulseAge(60, "r"), clock.Millis(10))
}
