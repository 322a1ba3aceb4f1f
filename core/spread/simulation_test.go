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

// tickMillis is the interval of simulated ticks.
const tickMillis clock.Millis = 100

// TestMain sets a fixed seed for the property tests unless a flag sets another one.
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
	// process is the process of one node; node is nil while the process is down.
	process struct {
		node *Node
		// skew is the offset of the node's clock from the simulated time.
		skew clock.Millis
		// highest is the highest version that was applied, also before restarts.
		highest ident.Version
	}

	// packet is a message in flight.
	packet struct {
		// at is the time of delivery.
		at   clock.Millis
		from ident.NodeID
		Action
	}

	// simulation runs nodes on a network with injected faults and checks each release
	// that a node applies.
	simulation struct {
		t         *rapid.T
		random    *rand.Rand
		now       clock.Millis
		config    Config
		names     []ident.NodeID
		processes map[ident.NodeID]*process
		// releases holds all releases of the source; index i holds version i+1.
		releases []model.Release
		inFlight []packet
		// loss, duplicate and tamper are probabilities per message; maxExtraDelay bounds
		// the delay that a quarter of the messages get in addition.
		loss, duplicate, tamper float64
		maxExtraDelay           clock.Millis
		// blocked, if set, reports whether all messages from one node to another are
		// lost.
		blocked func(from, to ident.NodeID) bool
		// transfers holds the start of each unconfirmed snapshot transfer by sender and
		// receiver.
		transfers map[ident.NodeID]map[ident.NodeID]clock.Millis
		// snapshots counts the snapshots sent, and reads the reads of the source.
		snapshots, reads int
	}
)

// newSimulation starts n nodes without a release. The first node is the reader.
func newSimulation(t *rapid.T, seed uint64, n int) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: 1_000_000, config: DefaultConfig(),
		processes: make(map[ident.NodeID]*process), transfers: make(map[ident.NodeID]map[ident.NodeID]clock.Millis),
	}
	for i := range n {
		name := ident.NodeID(fmt.Sprintf("n%03d", i))
		s.names = append(s.names, name)
		s.processes[name] = &process{skew: clock.Millis(s.random.IntN(6000))}
	}
	for _, name := range s.names {
		s.start(name)
	}
	return s
}

// start starts a node's process with empty memory. Its floor is the highest version that
// the node applied before.
func (s *simulation) start(name ident.NodeID) {
	p := s.processes[name]
	p.node = New(s.config, rand.New(rand.NewPCG(s.random.Uint64(), 2)))
	now := s.now + p.skew
	s.perform(name, p.node.SetNeighbours(now, s.neighbours(name)))
	s.perform(name, p.node.SetFloor(now, p.highest))
}

// neighbours returns the nodes at distances 1 and 3 in both directions of the ring.
func (s *simulation) neighbours(name ident.NodeID) []Neighbour {
	var out []Neighbour
	seen := map[ident.NodeID]bool{name: true}
	for i, other := range s.names {
		if other != name {
			continue
		}
		for _, d := range []int{1, 3, -1, -3} {
			x := s.names[((i+d)%len(s.names)+len(s.names))%len(s.names)]
			if !seen[x] {
				seen[x] = true
				out = append(out, Neighbour{Node: x, Address: string(x)})
			}
		}
	}
	return out
}

// configuration returns a valid configuration that differs by version.
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

// publish adds a new release to the source and polls it.
func (s *simulation) publish() {
	v := ident.Version(len(s.releases) + 1)
	r, err := model.NewRelease(v, "e", configuration(int(v)))
	if err != nil {
		s.t.Fatal(err)
	}
	s.releases = append(s.releases, r)
	s.poll()
}

// poll passes the head of the source to the reader, if it runs.
func (s *simulation) poll() {
	reader := s.processes[s.names[0]]
	if reader.node == nil || len(s.releases) == 0 {
		return
	}
	r := s.releases[len(s.releases)-1]
	s.perform(s.names[0], reader.node.SourceHead(s.now+reader.skew, r.Version, r.Digest))
}

// perform carries out the actions of a node.
func (s *simulation) perform(from ident.NodeID, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Send:
			s.send(from, a)
		case Apply:
			s.checkApplied(from, a.Release)
		case ReadRelease:
			s.reads++
			p := s.processes[from]
			s.perform(from, p.node.SourceRelease(s.now+p.skew, s.releases[a.Version-1]))
		case NeedSource:
		}
	}
}

// checkApplied fails the test if an applied release is older than one before (I1) or
// differs from the release of the source (I3).
func (s *simulation) checkApplied(at ident.NodeID, r model.Release) {
	p := s.processes[at]
	if r.Version < p.highest || p.node.Applied() != r.Version {
		s.t.Fatalf("%s applied version %d after %d", at, r.Version, p.highest)
	}
	if !bytes.Equal(model.EncodeRelease(r), model.EncodeRelease(s.releases[r.Version-1])) {
		s.t.Fatalf("%s applied a version %d that differs from the source", at, r.Version)
	}
	p.highest = r.Version
}

// send puts a message in flight, with faults, and checks the limit of snapshot transfers.
func (s *simulation) send(from ident.NodeID, a Action) {
	if a.Message.Kind == SnapshotBody {
		s.snapshots++
		if s.transfers[from] == nil {
			s.transfers[from] = make(map[ident.NodeID]clock.Millis)
		}
		s.transfers[from][a.To] = s.now
		if n := len(s.transfers[from]); n > s.config.MaxSnapshots {
			s.t.Fatalf("%s serves %d snapshots at a time", from, n)
		}
	}
	copies := 1
	if s.random.Float64() < s.duplicate {
		copies = 2
	}
	for range copies {
		if s.random.Float64() < s.loss || s.blocked != nil && s.blocked(from, a.To) {
			continue
		}
		delay := clock.Millis(1 + s.random.IntN(5))
		if s.maxExtraDelay > 0 && s.random.IntN(4) == 0 {
			delay += clock.Millis(s.random.Float64()) * s.maxExtraDelay
		}
		if s.random.Float64() < s.tamper {
			a.Message = s.tampered(a.Message)
		}
		s.inFlight = append(s.inFlight, packet{at: s.now + delay, from: from, Action: a})
	}
}

// tampered returns a copy of the message with altered content.
func (s *simulation) tampered(m Message) Message {
	if len(m.Body) > 0 {
		m.Body = bytes.Clone(m.Body)
		m.Body[s.random.IntN(len(m.Body))] ^= 1
	}
	if m.Delta != nil {
		d := *m.Delta
		d.Changes = d.Changes[:len(d.Changes)/2]
		m.Delta = &d
	}
	return m
}

// run simulates the given time in steps of tickMillis.
func (s *simulation) run(d clock.Millis) {
	for end := s.now + d; s.now < end; s.now += tickMillis {
		s.expireTransfers()
		s.deliver()
		for _, name := range s.names {
			if p := s.processes[name]; p.node != nil {
				s.perform(name, p.node.Tick(s.now+p.skew))
			}
		}
		if int(s.now)%1000 < int(tickMillis) {
			s.poll()
		}
	}
}

// expireTransfers removes the snapshot transfers that were not confirmed in time.
func (s *simulation) expireTransfers() {
	for _, receivers := range s.transfers {
		for to, since := range receivers {
			if s.now-since >= s.config.SnapshotTimeoutMillis {
				delete(receivers, to)
			}
		}
	}
}

// deliver passes the due messages to the running nodes, and checks that the held version
// of none decreases.
func (s *simulation) deliver() {
	due := s.inFlight
	s.inFlight = nil
	for _, pkt := range due {
		p := s.processes[pkt.To]
		if p == nil || p.node == nil {
			continue
		}
		if pkt.at > s.now {
			s.inFlight = append(s.inFlight, pkt)
			continue
		}
		if pkt.Message.Kind == Announce && pkt.Message.Version >= p.node.Held().Version {
			delete(s.transfers[pkt.To], pkt.from)
		}
		earlier := p.node.Held().Version
		s.perform(pkt.To, p.node.Receive(s.now+p.skew, pkt.from, pkt.Message))
		if p.node.Held().Version < earlier {
			s.t.Fatalf("%s holds version %d after %d", pkt.To, p.node.Held().Version, earlier)
		}
	}
}

// lagging returns the running nodes that have not applied the latest release.
func (s *simulation) lagging() []ident.NodeID {
	var out []ident.NodeID
	for _, name := range s.names {
		if n := s.processes[name].node; n != nil && (int(n.Applied()) != len(s.releases) || !n.Ready()) {
			out = append(out, name)
		}
	}
	return out
}
