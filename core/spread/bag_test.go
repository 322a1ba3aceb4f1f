package spread

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

// tickMillis is the interval of ticks in tests.
const tickMillis clock.Millis = 100

// TestMain fixes the seed of property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

type (
	// place is a node; node is nil while the process is down.
	place struct {
		node *Node
		// skew is added to the time that the node's clock shows.
		skew clock.Millis
		// highest is the highest version that any life of the node put in force.
		highest ident.Version
	}

	// letter is a message on its way.
	letter struct {
		at   clock.Millis
		from ident.NodeID
		Action
	}

	// bag carries messages between nodes with faults and checks every release
	// that is put in force.
	bag struct {
		t      *rapid.T
		random *rand.Rand
		now    clock.Millis
		config Config
		names  []ident.NodeID
		places map[ident.NodeID]*place
		// releases holds every accepted release by version - 1.
		releases []model.Release
		letters  []letter
		// loss, double and tamper are probabilities; hold is the longest delay.
		loss, double, tamper float64
		hold                 clock.Millis
		cut                  func(from, to ident.NodeID) bool
		// transfers holds the unconfirmed snapshots of each server by receiver.
		transfers map[ident.NodeID]map[ident.NodeID]clock.Millis
		// snapshots and reads count whole releases from peers and the source.
		snapshots, reads int
	}
)

// newBag starts n nodes with the given floor. The first node is the reader.
func newBag(t *rapid.T, seed uint64, n int) *bag {
	b := &bag{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: 1_000_000, config: DefaultConfig(),
		places: make(map[ident.NodeID]*place), transfers: make(map[ident.NodeID]map[ident.NodeID]clock.Millis),
	}
	for i := range n {
		name := ident.NodeID(fmt.Sprintf("n%03d", i))
		b.names = append(b.names, name)
		b.places[name] = &place{skew: clock.Millis(b.random.IntN(6000))}
	}
	for _, name := range b.names {
		b.start(name)
	}
	return b
}

// start starts a process with empty memory, whose floor is what it held before.
func (b *bag) start(name ident.NodeID) {
	p := b.places[name]
	p.node = New(b.config, rand.New(rand.NewPCG(b.random.Uint64(), 2)))
	now := b.now + p.skew
	b.post(name, p.node.SetNeighbours(now, b.neighbours(name)))
	b.post(name, p.node.SetFloor(now, p.highest))
}

// neighbours returns the nodes at distances 1 and 3 on both sides.
func (b *bag) neighbours(name ident.NodeID) []Neighbour {
	var out []Neighbour
	taken := map[ident.NodeID]bool{name: true}
	for i, other := range b.names {
		if other != name {
			continue
		}
		for _, d := range []int{1, 3, -1, -3} {
			x := b.names[((i+d)%len(b.names)+len(b.names))%len(b.names)]
			if !taken[x] {
				taken[x] = true
				out = append(out, Neighbour{Node: x, Address: string(x)})
			}
		}
	}
	return out
}

// configuration returns the valid configuration of a version.
func configuration(v int) model.Configuration {
	c := model.Configuration{Inventory: model.Inventory{
		FailureDomains: []model.FailureDomain{{Name: "a", Region: "r"}},
		Services:       []model.Service{{Name: "orders", Slots: 1, Connections: 10}},
	}}
	for i := range 1 + v%7 {
		c.Rules.Routes = append(c.Rules.Routes, model.Route{
			Name: ident.RouteName(fmt.Sprintf("r%d", i)), PathPrefix: fmt.Sprintf("/p%d", i), Service: "orders",
			TimeoutMillis: clock.Millis(1000 + v), MaxAttempts: 1,
		})
	}
	return c
}

// publish accepts a new release at the source and lets the reader see it.
func (b *bag) publish() {
	v := ident.Version(len(b.releases) + 1)
	r, err := model.NewRelease(v, "e", configuration(int(v)))
	if err != nil {
		b.t.Fatal(err)
	}
	b.releases = append(b.releases, r)
	b.poll()
}

// poll lets the reader read the head of the source.
func (b *bag) poll() {
	reader := b.places[b.names[0]]
	if reader.node == nil || len(b.releases) == 0 {
		return
	}
	r := b.releases[len(b.releases)-1]
	b.post(b.names[0], reader.node.SourceHead(b.now+reader.skew, r.Version, r.Digest))
}

// post carries out actions.
func (b *bag) post(from ident.NodeID, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Send:
			b.send(from, a)
		case Apply:
			b.check(from, a.Release)
		case ReadRelease:
			b.reads++
			p := b.places[from]
			b.post(from, p.node.SourceRelease(b.now+p.skew, b.releases[a.Version-1]))
		case NeedSource:
		}
	}
}

// check verifies a release that is put in force (I1, I3).
func (b *bag) check(at ident.NodeID, r model.Release) {
	p := b.places[at]
	if r.Version < p.highest || p.node.Applied() != r.Version {
		b.t.Fatalf("%s put version %d in force after %d", at, r.Version, p.highest)
	}
	if !bytes.Equal(model.EncodeRelease(r), model.EncodeRelease(b.releases[r.Version-1])) {
		b.t.Fatalf("%s put another version %d in force", at, r.Version)
	}
	p.highest = r.Version
}

// send puts a message in the bag.
func (b *bag) send(from ident.NodeID, a Action) {
	if a.Message.Kind == SnapshotBody {
		b.snapshots++
		if b.transfers[from] == nil {
			b.transfers[from] = make(map[ident.NodeID]clock.Millis)
		}
		b.transfers[from][a.To] = b.now
		if n := len(b.transfers[from]); n > b.config.MaxSnapshots {
			b.t.Fatalf("%s serves %d snapshots at a time", from, n)
		}
	}
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
		if b.random.Float64() < b.tamper {
			a.Message = b.tampered(a.Message)
		}
		b.letters = append(b.letters, letter{at: b.now + delay, from: from, Action: a})
	}
}

// tampered returns the message with another content.
func (b *bag) tampered(m Message) Message {
	if len(m.Body) > 0 {
		m.Body = bytes.Clone(m.Body)
		m.Body[b.random.IntN(len(m.Body))] ^= 1
	}
	if m.Delta != nil {
		d := *m.Delta
		d.Changes = d.Changes[:len(d.Changes)/2]
		m.Delta = &d
	}
	return m
}

// run lets the given time pass.
func (b *bag) run(d clock.Millis) {
	for end := b.now + d; b.now < end; b.now += tickMillis {
		b.expireTransfers()
		b.deliver()
		for _, name := range b.names {
			if p := b.places[name]; p.node != nil {
				b.post(name, p.node.Tick(b.now+p.skew))
			}
		}
		if int(b.now)%1000 < int(tickMillis) {
			b.poll()
		}
	}
}

// expireTransfers forgets snapshots that were not confirmed in time.
func (b *bag) expireTransfers() {
	for _, receivers := range b.transfers {
		for to, since := range receivers {
			if b.now-since >= b.config.SnapshotMillis {
				delete(receivers, to)
			}
		}
	}
}

// deliver hands over the messages that are due.
func (b *bag) deliver() {
	due := b.letters
	b.letters = nil
	for _, l := range due {
		p := b.places[l.To]
		if p == nil || p.node == nil {
			continue
		}
		if l.at > b.now {
			b.letters = append(b.letters, l)
			continue
		}
		if l.Message.Kind == Announce && l.Message.Version >= p.node.Held().Version {
			delete(b.transfers[l.To], l.from)
		}
		earlier := p.node.Held().Version
		b.post(l.To, p.node.Receive(b.now+p.skew, l.from, l.Message))
		if p.node.Held().Version < earlier {
			b.t.Fatalf("%s holds version %d after %d", l.To, p.node.Held().Version, earlier)
		}
	}
}

// lagging returns the running nodes that have not the latest release in force.
func (b *bag) lagging() []ident.NodeID {
	var out []ident.NodeID
	for _, name := range b.names {
		if n := b.places[name].node; n != nil && (int(n.Applied()) != len(b.releases) || !n.Ready()) {
			out = append(out, name)
		}
	}
	return out
}
