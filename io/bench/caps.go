package bench

import (
	"fmt"
	"slices"

	"github.com/sourcegraph/conc/pool"

	"hickoryrail/core/clock"
)

const (
	// capSeed fixes the traffic and the faults.
	capSeed = 61
	// capPerNode is the usual number of requests of a node, in requests/s.
	capPerNode = 30
	// capSurge is the factor by which a team exceeds its usual rate.
	capSurge = 7.5
	// capWarmup is the time before a fault or a surge.
	capWarmup = 6 * clock.Second
	// capSurgeMillis is the time of a surge, and capRest the time after it.
	capSurgeMillis = 6 * clock.Second
	capRest        = 8 * clock.Second
	// capWorkers is the number of runs at the same time.
	capWorkers = 3
)

type (
	// CapSize is the size of one fleet.
	CapSize struct {
		Nodes, Teams int
		// Runs is the number of runs with different seeds, at least 1.
		Runs int
	}

	// capCase is one kind of traffic with its faults.
	capCase struct {
		name string
		// oneNode sends all requests of a team to one node.
		oneNode bool
		// surge is the number of the largest teams that surge; below 0, of the smallest.
		surge int
		// large is set if the case is also run in large fleets, which takes long.
		large bool
		// fault is called in the middle of the surge.
		fault func(s *capSim)
	}
)

// allTeams is a number of teams that no fleet exceeds.
const allTeams = 1 << 20

// largeFleet is the number of nodes from which only some cases are run.
const largeFleet = 300

// CapSizes are the fleets of published figures.
var CapSizes = []CapSize{{16, 72, 1}, {61, 72, 1}, {300, 72, 1}, {790, 72, 1}, {61, 2000, 1}, {790, 2000, 1}}

// capCases lists the cases of UsageCaps.
var capCases = []capCase{
	{name: "calm, all nodes", large: true},
	{name: "calm, one node a team", oneNode: true},
	{name: "surge, all nodes", large: true, surge: 3},
	{name: "surge, one node a team", oneNode: true, surge: 3},
	{name: "surge of the smallest teams", surge: -3},
	{name: "surge of all teams", surge: allTeams},
	{name: "calm, 1 coordinator killed", fault: killCoordinator},
	{name: "calm, one node a team, 1 coordinator killed", oneNode: true, fault: killCoordinator},
	{name: "surge, 1 coordinator killed", surge: 3, fault: killCoordinator},
	{name: "surge, 1 coordinator killed for 8 s", large: true, surge: 3, fault: killCoordinatorLong},
	{name: "surge, 1 coordinator paused 3 s", surge: 3, fault: pauseCoordinator(3 * clock.Second)},
	{name: "surge, 1 coordinator paused 12 s", surge: 3, fault: pauseCoordinator(12 * clock.Second)},
	{name: "surge, quarter of the nodes cut off", large: true, surge: 3, fault: divide(4, 10*clock.Second)},
	{name: "surge, half of the nodes cut off", surge: 3, fault: divide(2, 10*clock.Second)},
	{name: "surge, coordinator alone cut off", surge: 3, fault: cutCoordinator},
	{name: "surge, nodes restart in turn", surge: 3, fault: restartInTurn},
	{name: "surge, 5 in 100 messages lost", surge: 3, fault: func(s *capSim) { s.loss = 0.05 }},
	{name: "surge, cap halved", surge: 3, fault: changeCaps(0.5)},
	{name: "surge, cap doubled", surge: 3, fault: changeCaps(2)},
	{name: "surge, cap halved and doubled", large: true, surge: 3, fault: lowerAndRaise},
}

// coordinatorOf returns the node that coordinates a team.
func (s *capSim) coordinatorOf(t *capTeam) *capNode {
	for _, n := range s.nodes {
		if n.up && n.agent.Coordinates(t.name) {
			return n
		}
	}
	return s.nodes[0]
}

// killCoordinator kills the coordinator of the largest team, which starts again after 3 s.
func killCoordinator(s *capSim) {
	s.kill(s.coordinatorOf(s.teams[0]), 3*clock.Second)
}

// killCoordinatorLong does the same for so long that others take over.
func killCoordinatorLong(s *capSim) {
	s.kill(s.coordinatorOf(s.teams[0]), 8*clock.Second)
}

// pauseCoordinator pauses the coordinator of the largest team.
func pauseCoordinator(d clock.Millis) func(s *capSim) {
	return func(s *capSim) {
		n := s.coordinatorOf(s.teams[0])
		n.pausedUntil = s.now + d
		if d < deathMillis {
			return
		}
		for _, other := range s.nodes {
			if other == n {
				continue
			}
			run := other.run
			spread := clock.Millis(s.random.Float64()) * deathSpread
			s.at(deathMillis+spread, func() { s.when(other, run, func() { other.alive[n.index] = false; s.tellMembers(other) }) })
		}
		s.at(d, func() {
			n.agent.Reset(s.now) // the node refutes its death
			s.reachabilityChanged()
		})
	}
}

// divide cuts a part of the nodes, with the coordinator of the largest team, off the rest.
func divide(part int, d clock.Millis) func(s *capSim) {
	return func(s *capSim) {
		first := s.coordinatorOf(s.teams[0]).index
		for i := range len(s.nodes) / part {
			s.nodes[(first+i)%len(s.nodes)].group = 1
		}
		s.reachabilityChanged()
		s.at(d, s.heal)
	}
}

// cutCoordinator cuts the coordinator of the largest team off all others.
func cutCoordinator(s *capSim) {
	s.coordinatorOf(s.teams[0]).group = 1
	s.reachabilityChanged()
	s.at(10*clock.Second, s.heal)
}

// heal lets all nodes reach each other again.
func (s *capSim) heal() {
	for _, n := range s.nodes {
		n.group = 0
	}
	s.reachabilityChanged()
}

// restartInTurn restarts 8 nodes, one every 800 ms; each is away for a second.
func restartInTurn(s *capSim) {
	first := s.coordinatorOf(s.teams[0]).index
	for i := range 8 {
		s.at(clock.Millis(i)*800, func() { s.kill(s.nodes[(first+i)%len(s.nodes)], clock.Second) })
	}
}

// changeCaps multiplies the caps of the surging teams.
func changeCaps(factor float64) func(s *capSim) {
	return func(s *capSim) {
		for _, t := range s.teams[:3] {
			s.setCap(t, factor, 2*clock.Second)
		}
	}
}

// lowerAndRaise halves the caps of the surging teams and doubles them 1.5 s later.
func lowerAndRaise(s *capSim) {
	changeCaps(0.5)(s)
	s.at(1.5*clock.Second, func() { changeCaps(2)(s) })
}

// UsageCaps measures the caps over all nodes: the largest number of requests of a team in
// a window relative to the bound, the share of requests by which the teams got less than
// from one token bucket that sees all of them, and the messages.
func UsageCaps(sizes ...CapSize) *Table {
	t := NewTable(fmt.Sprintf("usage caps, %d requests/s a node, cap 1.6 times the usual rate, surge to %.1f times, seeds from %d",
		capPerNode, capSurge, capSeed),
		"nodes", "teams", "case", "largest window in % of the bound", "refused needlessly %", "refused %", "safe part %",
		"mean wait ms", "longest wait ms", "messages/s a node", "peak messages/s")
	for _, size := range sizes {
		// The runs are independent; their order does not affect the figures.
		cases := capCases
		if size.Nodes >= largeFleet {
			cases = slices.DeleteFunc(slices.Clone(capCases), func(c capCase) bool { return !c.large })
		}
		runs := make([][]*capSim, len(cases))
		group := pool.New().WithMaxGoroutines(capWorkers)
		for i, c := range cases {
			group.Go(func() {
				for seed := range uint64(max(size.Runs, 1)) {
					runs[i] = append(runs[i], runCapCase(size, c, capSeed+seed))
				}
			})
		}
		group.Wait()
		for i, c := range cases {
			addCapRow(t, size, c, runs[i])
		}
	}
	return t
}

// runCapCase runs one case.
func runCapCase(size CapSize, c capCase, seed uint64) *capSim {
	s := newCapSim(size.Nodes, seed)
	s.newCapTeams(size.Teams, capPerNode*float64(size.Nodes), c.oneNode)
	s.run(capWarmup)
	s.resetCounts()
	surging := s.teams[:min(max(c.surge, 0), len(s.teams))]
	if c.surge < 0 {
		surging = s.teams[len(s.teams)+c.surge:]
	}
	for _, t := range surging {
		t.factor = capSurge
	}
	s.run(capSurgeMillis / 2)
	if c.fault != nil {
		c.fault(s)
	}
	s.run(capSurgeMillis)
	for _, t := range s.teams {
		t.factor = 1
	}
	s.run(capRest)
	s.events, s.nodes, s.byID = nil, nil, nil // the counts remain
	return s
}

// resetCounts sets the counts of all teams to 0; windows go on.
func (s *capSim) resetCounts() {
	s.messages, s.peak = 0, 0
	for _, t := range s.teams {
		t.requests, t.passed, t.safe, t.idealPassed, t.waits, t.longest = 0, 0, 0, 0, 0, 0
	}
}

// addCapRow adds the figures of some runs: the largest of the maxima, and otherwise means.
func addCapRow(t *Table, size CapSize, c capCase, runs []*capSim) {
	worst, longest, waits := 0.0, clock.Millis(0), clock.Millis(0)
	requests, passed, safe, needless, messages, peak := 0, 0, 0, 0, 0, 0
	for _, s := range runs {
		messages, peak = messages+s.messages, max(peak, s.peak)
		for _, team := range s.teams {
			worst, longest = max(worst, team.worst), max(longest, team.longest)
			waits += team.waits
			requests += team.requests
			passed += team.passed
			safe += team.safe
			needless += max(team.idealPassed-team.passed, 0)
		}
	}
	percent := func(n int) float64 { return 100 * float64(n) / float64(max(requests, 1)) }
	seconds := float64((1.5*capSurgeMillis+capRest)/clock.Second) * float64(len(runs))
	t.Add(size.Nodes, size.Teams, c.name, 100*worst, percent(needless), percent(requests-passed), percent(safe),
		float64(waits)/float64(max(requests, 1)), float64(longest), float64(messages)/seconds/float64(size.Nodes), peak)
}
