package bench

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
	"hickoryrail/core/spread"
	"hickoryrail/io/wire"
)

const (
	// spreadSeed fixes delays, gaps and the nodes' random choices.
	spreadSeed = 2025
	// SpreadBursts is the number of bursts of one row for published figures.
	SpreadBursts = 5
	// spreadReleases is the number of releases of a burst. The gap between two of them
	// is less than spreadMaxGap, in ms.
	spreadReleases = 20
	spreadMaxGap   = 800
	// spreadTick is the interval between ticks of a node, and spreadWarmup the time
	// before a burst, in ms.
	spreadTick   = 100
	spreadWarmup = 10_000
	// spreadTimeout ends a run that does not converge, in ms.
	spreadTimeout = 120_000
)

type (
	// spreadPacket is a message in flight.
	spreadPacket struct {
		to, from ident.NodeID
		message  spread.Message
	}

	// spreadSimulation runs instances of spread.Node on a simulated network with delays
	// and without faults, in steps of 1 ms.
	spreadSimulation struct {
		names []ident.NodeID
		nodes map[ident.NodeID]*spread.Node
		// arrivals holds the packets in flight by the millisecond of their arrival.
		arrivals map[int][]spreadPacket
		random   *rand.Rand
		now      int
		// latest is the version that was published last.
		latest ident.Version
		// outdated is the number of nodes that have not applied the latest release.
		outdated int
		// messages and bytes are counted from the first release on.
		messages, bytes int
	}
)

// ReleaseConvergence measures the time from the acceptance of the last release of a
// burst until it is in force on all nodes, and the messages and bytes of the burst. The
// neighbours are those of the member table. Published figures use SpreadBursts with 50,
// 200 and 790 nodes.
func ReleaseConvergence(bursts int, sizes ...int) (*Table, error) {
	t := NewTable(fmt.Sprintf("release convergence, %d bursts of %d releases 0 to %d ms apart, 1 to 5 ms one way, seed %d",
		bursts, spreadReleases, spreadMaxGap, spreadSeed),
		"nodes", "RoundMillis", "mean ms of the last release", "max ms", "messages per node and burst", "bytes per node and release")
	for _, n := range sizes {
		overlay := spreadOverlay(n)
		for _, round := range []clock.Millis{100, 500, 2000} {
			var sum, longest, messages, bytes int
			for run := range bursts {
				s := newSpreadSimulation(overlay, round, uint64(run))
				took, err := s.run()
				if err != nil {
					return nil, err
				}
				sum, longest = sum+took, max(longest, took)
				messages, bytes = messages+s.messages, bytes+s.bytes
			}
			t.Add(n, float64(round), float64(sum)/float64(bursts), longest,
				float64(messages)/float64(n*bursts), float64(bytes)/float64(n*bursts*spreadReleases))
		}
	}
	return t, nil
}

// spreadOverlay returns the neighbours of n nodes, as their member tables select them.
func spreadOverlay(n int) [][]spread.Neighbour {
	all := member.Message{Kind: member.SyncReply, Final: true}
	for i := range n {
		all.Updates = append(all.Updates, member.Update{Record: memberRecord(i)})
	}
	out := make([][]spread.Neighbour, n)
	for i := range n {
		table := member.New(memberRecord(i), member.DefaultConfig(), rand.New(rand.NewPCG(spreadSeed, 1)))
		table.Receive(0, "driver", all)
		for _, r := range table.Neighbours() {
			out[i] = append(out[i], spread.Neighbour{Node: r.Node, Address: r.PeerAddress})
		}
	}
	return out
}

// newSpreadSimulation returns a simulation of nodes without a release. The first node
// reads the source.
func newSpreadSimulation(overlay [][]spread.Neighbour, round clock.Millis, run uint64) *spreadSimulation {
	s := &spreadSimulation{
		nodes: make(map[ident.NodeID]*spread.Node), arrivals: make(map[int][]spreadPacket),
		random: rand.New(rand.NewPCG(spreadSeed, run)),
	}
	config := spread.DefaultConfig()
	config.RoundMillis = round
	for i, neighbours := range overlay {
		name, node := memberRecord(i).Node, spread.New(config, rand.New(rand.NewPCG(s.random.Uint64(), 1)))
		s.names, s.nodes[name] = append(s.names, name), node
		s.handleActions(name, node.SetNeighbours(0, neighbours))
		s.handleActions(name, node.SetFloor(0, 0))
	}
	return s
}

// handleActions sends the messages of a node and counts its Apply actions.
func (s *spreadSimulation) handleActions(from ident.NodeID, actions []spread.Action) {
	for _, a := range actions {
		if a.Kind == spread.Apply && a.Release.Version == s.latest {
			s.outdated--
		}
		if a.Kind != spread.Send {
			continue
		}
		body, err := wire.EncodeControl(wire.Control{Spread: &a.Message})
		if err != nil {
			panic(err) // every message of a node can be encoded
		}
		s.messages++
		s.bytes += len(body) + messageOverhead + ackBytes
		at := s.now + 1 + s.random.IntN(5)
		s.arrivals[at] = append(s.arrivals[at], spreadPacket{to: a.To, from: from, message: a.Message})
	}
}

// run publishes the releases and returns the convergence time of the last one in ms.
func (s *spreadSimulation) run() (int, error) {
	due, last := spreadWarmup, 0
	for ; s.now < spreadTimeout; s.now++ {
		if s.latest < spreadReleases && s.now >= due {
			due, last = s.now+s.random.IntN(spreadMaxGap), s.now
			if err := s.publish(); err != nil {
				return 0, err
			}
		}
		if s.latest == spreadReleases && s.outdated == 0 {
			return s.now - last, nil
		}
		s.step()
	}
	return 0, errors.New("releases did not converge")
}

// step processes the arrivals and ticks of one millisecond.
func (s *spreadSimulation) step() {
	now := clock.Millis(s.now)
	for _, e := range s.arrivals[s.now] {
		s.handleActions(e.to, s.nodes[e.to].Receive(now, e.from, e.message))
	}
	delete(s.arrivals, s.now)
	for i := s.now % spreadTick; i < len(s.names); i += spreadTick {
		s.handleActions(s.names[i], s.nodes[s.names[i]].Tick(now))
	}
}

// publish creates the next release and passes it to the node that reads the source.
func (s *spreadSimulation) publish() error {
	if s.latest == 0 {
		s.messages, s.bytes = 0, 0
	}
	s.latest++
	s.outdated = len(s.nodes)
	r, err := model.NewRelease(s.latest, "edit", spreadConfiguration(int(s.latest)))
	if err != nil {
		return err
	}
	reader, now := s.names[0], clock.Millis(s.now)
	s.handleActions(reader, s.nodes[reader].SourceHead(now, r.Version, r.Digest))
	s.handleActions(reader, s.nodes[reader].SourceRelease(now, r))
	return nil
}

// spreadConfiguration returns the configuration of a version. It has 24 services, and
// one route has a timeout that depends on the version.
func spreadConfiguration(version int) model.Configuration {
	c := model.Configuration{Inventory: model.Inventory{FailureDomains: []model.FailureDomain{{Name: "wdh-north", Region: "windhoek"}}}}
	for i := range 24 {
		name := ident.ServiceName(fmt.Sprintf("service-%02d", i))
		c.Inventory.Services = append(c.Inventory.Services, model.Service{Name: name, Slots: 9, Connections: 130})
		timeout := clock.Millis(1000)
		if i == version%24 {
			timeout += clock.Millis(version)
		}
		c.Rules.Routes = append(c.Rules.Routes, model.Route{
			Name: ident.RouteName(name), PathPrefix: "/" + string(name), Service: name, TimeoutMillis: timeout, MaxAttempts: 3,
		})
	}
	return c
}
