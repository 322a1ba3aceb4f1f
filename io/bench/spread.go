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
	// spreadSeed fixes delays, gaps and the nodes' choices.
	spreadSeed = 2025
	// SpreadBursts is the number of bursts of one row for figures that are
	// published.
	SpreadBursts = 5
	// spreadReleases is the number of releases of a burst, which follow each other
	// after 0 to spreadGap.
	spreadReleases = 20
	spreadGap      = 800
	// spreadTick is the interval of ticks of a node, and spreadQuiet the time
	// before a burst, in ms.
	spreadTick  = 100
	spreadQuiet = 10_000
	// spreadLimit ends a run that does not converge, in ms.
	spreadLimit = 120_000
)

type (
	// spreadArrival is a message that arrives.
	spreadArrival struct {
		to, from ident.NodeID
		message  spread.Message
	}

	// spreadLoop runs real nodes on a network with delays and without faults, in
	// steps of 1 ms.
	spreadLoop struct {
		names    []ident.NodeID
		nodes    map[ident.NodeID]*spread.Node
		arrivals map[int][]spreadArrival
		random   *rand.Rand
		now      int
		latest   ident.Version
		// behind is the number of nodes that lack the latest release.
		behind, messages, bytes int
	}
)

// ReleaseConvergence measures the time from the acceptance of the last of a burst
// of releases until all nodes have it in force, and the bytes for the burst. The
// neighbours are those of the member table. Published figures use SpreadBursts
// with 50, 200 and 790 nodes.
func ReleaseConvergence(bursts int, sizes ...int) (*Table, error) {
	t := NewTable(fmt.Sprintf("release convergence, %d bursts of %d releases 0 to %d ms apart, 1 to 5 ms one way, seed %d",
		bursts, spreadReleases, spreadGap, spreadSeed),
		"nodes", "RoundMillis", "mean ms of the last release", "max ms", "messages per node and burst", "bytes per node and release")
	for _, n := range sizes {
		overlay := spreadOverlay(n)
		for _, round := range []clock.Millis{100, 500, 2000} {
			var sum, most, messages, bytes int
			for run := range bursts {
				l := newSpreadLoop(overlay, round, uint64(run))
				took, err := l.run()
				if err != nil {
					return nil, err
				}
				sum, most = sum+took, max(most, took)
				messages, bytes = messages+l.messages, bytes+l.bytes
			}
			t.Add(n, float64(round), float64(sum)/float64(bursts), most,
				float64(messages)/float64(n*bursts), float64(bytes)/float64(n*bursts*spreadReleases))
		}
	}
	return t, nil
}

// spreadOverlay returns the neighbours of n nodes as their member tables see them.
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

// newSpreadLoop returns nodes that hold no release. The first one is the reader.
func newSpreadLoop(overlay [][]spread.Neighbour, round clock.Millis, run uint64) *spreadLoop {
	l := &spreadLoop{
		nodes: make(map[ident.NodeID]*spread.Node), arrivals: make(map[int][]spreadArrival),
		random: rand.New(rand.NewPCG(spreadSeed, run)),
	}
	config := spread.DefaultConfig()
	config.RoundMillis = round
	for i, neighbours := range overlay {
		name, node := memberRecord(i).Node, spread.New(config, rand.New(rand.NewPCG(l.random.Uint64(), 1)))
		l.names, l.nodes[name] = append(l.names, name), node
		l.carry(name, node.SetNeighbours(0, neighbours))
		l.carry(name, node.SetFloor(0, 0))
	}
	return l
}

// carry sends messages and counts releases in force.
func (l *spreadLoop) carry(from ident.NodeID, actions []spread.Action) {
	for _, a := range actions {
		if a.Kind == spread.Apply && a.Release.Version == l.latest {
			l.behind--
		}
		if a.Kind != spread.Send {
			continue
		}
		body, err := wire.EncodeControl(wire.Control{Spread: &a.Message})
		if err != nil {
			panic(err) // every message of a node has an encoding
		}
		l.messages++
		l.bytes += len(body) + messageOverhead + ackBytes
		at := l.now + 1 + l.random.IntN(5)
		l.arrivals[at] = append(l.arrivals[at], spreadArrival{to: a.To, from: from, message: a.Message})
	}
}

// run publishes the releases and returns the time that the last one took in ms.
func (l *spreadLoop) run() (int, error) {
	due, last := spreadQuiet, 0
	for ; l.now < spreadLimit; l.now++ {
		if l.latest < spreadReleases && l.now >= due {
			due, last = l.now+l.random.IntN(spreadGap), l.now
			if err := l.publish(); err != nil {
				return 0, err
			}
		}
		if l.latest == spreadReleases && l.behind == 0 {
			return l.now - last, nil
		}
		l.step()
	}
	return 0, errors.New("releases did not converge")
}

// step handles the arrivals and ticks of one millisecond.
func (l *spreadLoop) step() {
	now := clock.Millis(l.now)
	for _, e := range l.arrivals[l.now] {
		l.carry(e.to, l.nodes[e.to].Receive(now, e.from, e.message))
	}
	delete(l.arrivals, l.now)
	for i := l.now % spreadTick; i < len(l.names); i += spreadTick {
		l.carry(l.names[i], l.nodes[l.names[i]].Tick(now))
	}
}

// publish accepts the next release at the source and lets the reader read it.
func (l *spreadLoop) publish() error {
	if l.latest == 0 {
		l.messages, l.bytes = 0, 0
	}
	l.latest++
	l.behind = len(l.nodes)
	r, err := model.NewRelease(l.latest, "edit", spreadConfiguration(int(l.latest)))
	if err != nil {
		return err
	}
	reader, now := l.names[0], clock.Millis(l.now)
	l.carry(reader, l.nodes[reader].SourceHead(now, r.Version, r.Digest))
	l.carry(reader, l.nodes[reader].SourceRelease(now, r))
	return nil
}

// spreadConfiguration returns a configuration of 24 services, of which each
// version changes one route.
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
