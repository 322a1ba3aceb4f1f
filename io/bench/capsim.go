package bench

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/grant"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

const (
	// capTick is the interval between ticks of an agent.
	capTick = 25 * clock.Millis(1)
	// capLatency and capJitter are the least delay of a message and the mean of an
	// exponential addition: 2 to 10 ms for a round trip.
	capLatency = 1 * clock.Millis(1)
	capJitter  = 1.5 * clock.Millis(1)
	// deathMillis is the time from the end of a node until others know of it, and
	// deathSpread the difference between them; joinMillis and joinSpread are the same for
	// its return.
	deathMillis = 4500 * clock.Millis(1)
	deathSpread = 700 * clock.Millis(1)
	joinMillis  = 200 * clock.Millis(1)
	joinSpread  = 600 * clock.Millis(1)
)

type (
	// capSim runs the agents of a fleet in virtual time.
	capSim struct {
		scheduler
		random *rand.Rand
		nodes  []*capNode
		byID   map[ident.NodeID]*capNode
		teams  []*capTeam
		// version is that of the caps in force.
		version ident.Version
		// loss is the share of messages that do not arrive.
		loss float64
		// messages counts the messages that were sent; peak is the largest number of one
		// node in a second.
		messages, peak int
	}

	// capNode is a node of the fleet.
	capNode struct {
		index int
		id    ident.NodeID
		agent *grant.Agent
		run   uint64
		up    bool
		// group is that of the nodes that can reach each other.
		group int
		// pausedUntil is the end of a pause.
		pausedUntil clock.Millis
		// alive holds the node's view of the others.
		alive []bool
		// waiting holds the requests that wait for a token.
		waiting map[uint64]*capRequest
		// sent counts the messages of the current second.
		second, sent int
	}

	// capRequest is a request of a team.
	capRequest struct {
		team *capTeam
		at   clock.Millis
		node int
	}
)

// newCapSim returns a fleet of running nodes that know each other.
func newCapSim(nodes int, seed uint64) *capSim {
	s := &capSim{random: rand.New(rand.NewPCG(seed, uint64(nodes))), version: 1, byID: make(map[ident.NodeID]*capNode)}
	s.now = clock.Minute
	for i := range nodes {
		n := &capNode{index: i, id: ident.NodeID(fmt.Sprintf("n-%03d", i))}
		s.nodes = append(s.nodes, n)
		s.byID[n.id] = n
	}
	for _, n := range s.nodes {
		s.boot(n)
		for i := range n.alive {
			n.alive[i] = true
		}
		s.tellMembers(n)
	}
	return s
}

// at calls do after d.
func (s *capSim) at(d clock.Millis, do func()) {
	s.schedule(s.now+d, do)
}

// run runs the events of the next d.
func (s *capSim) run(d clock.Millis) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// boot starts the process of a node, which knows only itself.
func (s *capSim) boot(n *capNode) {
	n.run++
	n.up, n.pausedUntil = true, 0
	n.alive = make([]bool, len(s.nodes))
	n.alive[n.index] = true
	n.waiting = make(map[uint64]*capRequest)
	n.agent = grant.NewAgent(s.now, capConfig, n.id, n.run, rand.New(rand.NewPCG(s.random.Uint64(), n.run)))
	s.tellTeams(n)
	s.tellMembers(n)
	run := n.run
	var tick func()
	tick = func() {
		if !n.up || n.run != run {
			return
		}
		n.agent.Tick(s.now)
		s.flush(n)
		s.at(capTick, func() { s.when(n, run, tick) })
	}
	s.at(capTick*clock.Millis(s.random.Float64()), tick)
}

// when calls do for a running node, after a pause if it is in one.
func (s *capSim) when(n *capNode, run uint64, do func()) {
	if !n.up || n.run != run {
		return
	}
	if n.pausedUntil > s.now {
		s.at(n.pausedUntil-s.now, func() { s.when(n, run, do) })
		return
	}
	do()
}

// tellTeams passes the caps in force to a node.
func (s *capSim) tellTeams(n *capNode) {
	teams := make([]model.Team, len(s.teams))
	for i, t := range s.teams {
		teams[i] = model.Team{Name: t.name, RequestsPerSecond: t.limits.Rate, BurstRequests: t.limits.Burst}
	}
	n.agent.SetTeams(s.version, teams)
	for _, t := range s.teams {
		t.held[n.index] = t.limits
	}
}

// tellMembers passes a node's view of the fleet to its agent.
func (s *capSim) tellMembers(n *capNode) {
	var live []grant.Member
	known := 0
	for i, alive := range n.alive {
		if alive {
			live = append(live, grant.Member{Node: s.nodes[i].id})
		}
	}
	known = len(live)
	if known > 1 {
		known = len(s.nodes)
	}
	n.agent.SetMembers(s.now, live, known)
	s.flush(n)
}

// see changes a node's view of another after d.
func (s *capSim) see(n *capNode, other int, alive bool, d clock.Millis) {
	run := n.run
	s.at(d, func() {
		s.when(n, run, func() {
			if n.alive[other] == alive || alive != (s.nodes[other].up && s.nodes[other].group == n.group) {
				return
			}
			n.alive[other] = alive
			s.tellMembers(n)
		})
	})
}

// reachabilityChanged makes all nodes notice who can reach whom.
func (s *capSim) reachabilityChanged() {
	for _, n := range s.nodes {
		if !n.up {
			continue
		}
		// One node notices each change at about the same time.
		death := deathMillis + clock.Millis(s.random.Float64())*deathSpread
		join := joinMillis + clock.Millis(s.random.Float64())*joinSpread
		for i, other := range s.nodes {
			reaches := other.up && other.group == n.group
			switch {
			case reaches && !n.alive[i]:
				s.see(n, i, true, join)
			case !reaches && n.alive[i]:
				s.see(n, i, false, death)
			}
		}
	}
}

// kill ends the process of a node, which starts again after down.
func (s *capSim) kill(n *capNode, down clock.Millis) {
	n.up = false
	s.reachabilityChanged()
	s.at(down, func() {
		s.boot(n)
		s.reachabilityChanged()
	})
}

// flush sends the messages of a node and decides on the requests that waited.
func (s *capSim) flush(n *capNode) {
	for _, a := range n.agent.Actions() {
		s.send(n, a)
	}
	for _, r := range n.agent.Results() {
		if q := n.waiting[r.Ticket]; q != nil {
			delete(n.waiting, r.Ticket)
			s.decided(q, r.Decision)
		}
	}
	n.agent.Events()
}

// send delivers a message after the delay of the network.
func (s *capSim) send(n *capNode, a grant.Action) {
	s.messages++
	if second := int(s.now / clock.Second); second != n.second {
		n.second, n.sent = second, 0
	}
	n.sent++
	s.peak = max(s.peak, n.sent)
	to := s.byID[a.To]
	if s.random.Float64() < s.loss {
		return
	}
	run := to.run
	delay := capLatency + capJitter*clock.Millis(s.random.ExpFloat64())
	s.at(delay, func() {
		if n.group != to.group {
			return
		}
		s.when(to, run, func() {
			to.agent.Receive(s.now, grant.Member{Node: n.id}, &a.Message)
			s.flush(to)
		})
	})
}

// arrive passes a request to a node; it is lost if the node is down.
func (s *capSim) arrive(t *capTeam, node int) {
	n := s.nodes[node]
	if !n.up {
		return
	}
	q := &capRequest{team: t, at: s.now, node: node}
	s.when(n, n.run, func() {
		d := n.agent.Take(s.now, t.name, t.held[node])
		if d.Outcome == grant.Waiting {
			n.waiting[d.Ticket] = q
		} else {
			s.decided(q, d)
		}
		s.flush(n)
	})
}

// decided counts a request.
func (s *capSim) decided(q *capRequest, d grant.Decision) {
	q.team.decided(q, d, s.now)
}

// exponential returns a random interval of a Poisson process.
func (s *capSim) exponential(perSecond float64) clock.Millis {
	return clock.Millis(-math.Log(1-s.random.Float64())/perSecond) * clock.Second
}
