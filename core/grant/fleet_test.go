package grant

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// testDelay is the one-way delay of messages, and testStep the interval between ticks.
	testDelay = 2 * clock.Millis(1)
	testStep  = 1 * clock.Millis(1)
	// testTeam is the team of most tests.
	testTeam ident.TeamName = "north"
)

// testConfig holds the usual bounds of the platform.
var testConfig = Config{WindowMillis: 5 * clock.Second, Overage: 0.1, Slack: 20}

type (
	// testFleet runs the agents of a few nodes in virtual time.
	testFleet struct {
		now    clock.Millis
		agents []*Agent
		// pending holds the messages on their way.
		pending []testMessage
		// cut lists the nodes that exchange no messages, and dropped decides about single
		// ones.
		cut     map[ident.NodeID]bool
		dropped func(from ident.NodeID, a Action) bool
		// sent counts the messages of each kind.
		sent [2]int
		// results holds the decisions about requests that waited, by node.
		results []map[uint64]Decision
	}

	// testMessage is a message on its way.
	testMessage struct {
		at   clock.Millis
		from ident.NodeID
		Action
	}
)

// nodeName returns the id of a node of a testFleet.
func nodeName(i int) ident.NodeID {
	return ident.NodeID(fmt.Sprintf("n%d", i))
}

// newTestFleet returns a fleet whose nodes have known each other for a minute.
func newTestFleet(nodes int) *testFleet {
	f := &testFleet{now: 10 * clock.Minute, cut: make(map[ident.NodeID]bool)}
	for i := range nodes {
		f.agents = append(f.agents, nil)
		f.results = append(f.results, nil)
		f.start(i)
	}
	for i := range nodes {
		f.tellMembers(i, nodes)
	}
	f.now += clock.Minute
	for _, a := range f.agents {
		a.tickedAt = f.now
	}
	return f
}

// start replaces the agent of a node by that of a new process.
func (f *testFleet) start(i int) {
	run := uint64(f.now) + uint64(i)
	f.agents[i] = NewAgent(f.now, testConfig, nodeName(i), run, rand.New(rand.NewPCG(run, 1)))
	f.results[i] = make(map[uint64]Decision)
}

// tellMembers tells node i that the nodes from 0 to live-1 are live, out of all nodes.
func (f *testFleet) tellMembers(i, live int) {
	var list []Member
	for j := range live {
		list = append(list, Member{Node: nodeName(j)})
	}
	f.agents[i].SetMembers(f.now, list, len(f.agents))
}

// coordinator returns the index of the node that coordinates a team.
func (f *testFleet) coordinator(team ident.TeamName) int {
	for i, a := range f.agents {
		if m, _ := a.members.coordinator(hashOf(team)); m.Node == a.members.self {
			return i
		}
	}
	return -1
}

// other returns a node that does not coordinate a team.
func (f *testFleet) other(team ident.TeamName) int {
	return (f.coordinator(team) + 1) % len(f.agents)
}

// collect takes over what the agents send and decide.
func (f *testFleet) collect() {
	for i, a := range f.agents {
		for _, action := range a.Actions() {
			f.sent[action.Message.Kind]++
			lost := f.cut[a.members.self] || f.cut[action.To] || f.dropped != nil && f.dropped(a.members.self, action)
			if !lost {
				f.pending = append(f.pending, testMessage{at: f.now + testDelay, from: a.members.self, Action: action})
			}
		}
		for _, r := range a.Results() {
			f.results[i][r.Ticket] = r.Decision
		}
	}
}

// run advances the time by d; arrive, unless it is nil, is called in every millisecond.
func (f *testFleet) run(d clock.Millis, arrive func()) {
	for end := f.now + d; f.now < end; f.now += testStep {
		if arrive != nil {
			arrive()
		}
		f.collect()
		due := f.pending
		f.pending = nil
		for _, m := range due {
			if m.at > f.now {
				f.pending = append(f.pending, m)
				continue
			}
			for _, a := range f.agents {
				if a.members.self == m.To {
					a.Receive(f.now, Member{Node: m.from}, &m.Message)
				}
			}
		}
		for _, a := range f.agents {
			a.Tick(f.now)
		}
		f.collect()
	}
}

// take sends a request to node i and waits for its decision.
func (f *testFleet) take(t *testing.T, i int, l Limits) Decision {
	t.Helper()
	d := f.agents[i].Take(f.now, testTeam, l)
	for start := f.now; d.Outcome == Waiting; {
		f.run(testStep, nil)
		if r, ok := f.results[i][d.Ticket]; ok {
			d = r
		} else if f.now-start > clock.Second {
			t.Fatal("no decision within a second")
		}
	}
	return d
}

// load sends perSecond requests to each of the given nodes for d and returns the number that
// each admitted.
func (f *testFleet) load(d clock.Millis, l Limits, perSecond map[int]float64) map[int]int {
	admitted, due := make(map[int]int), make(map[int]float64)
	waiting := make(map[int][]uint64)
	f.run(d, func() {
		for i, rate := range perSecond {
			for due[i] += rate * float64(testStep/clock.Second); due[i] >= 1; due[i]-- {
				switch r := f.agents[i].Take(f.now, testTeam, l); r.Outcome {
				case Waiting:
					waiting[i] = append(waiting[i], r.Ticket)
				case Admitted, AdmittedSafe:
					admitted[i]++
				}
			}
		}
	})
	for i, tickets := range waiting {
		for _, ticket := range tickets {
			if r, ok := f.results[i][ticket]; ok && r.Outcome != Refused {
				admitted[i]++
			}
		}
	}
	return admitted
}

// bound returns the number of requests that the platform allows in d.
func bound(l Limits, d clock.Millis) float64 {
	return (l.Rate*float64(d/clock.Second)+l.Burst)*(1+testConfig.Overage) + testConfig.Slack
}
