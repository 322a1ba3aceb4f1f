package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/option"
	"hickoryrail/core/result"
	"hickoryrail/core/view"
)

// The values of the users' pages: a target may get 1.5 times its limit and 5 more in
// 4 s, from 3 s after it first stated the limit, summed over the nodes that passed on an
// answer with it half a second before.
const (
	limitWindow = 4 * clock.Second
	limitStable = 3 * clock.Second
	limitHeard  = 500 * clock.Millis(1)
	limitFactor = 1.5
	limitMore   = 5

	fleetTargets = 20
	fleetLimit   = 10.0
	fleetSlots   = 6
	fleetRun     = 60 * clock.Millis(1)
	fleetHop     = 2 * clock.Millis(1)
	// fleetRate is the number of requests per second for all targets, five times what
	// the limits allow.
	fleetRate = 5 * fleetLimit * fleetTargets
	fleetEnd  = 24 * clock.Second
	// limitedAt is the instant at which the targets begin to state the limit.
	limitedAt = 4 * clock.Second
	// outageMillis is the length of a restart and of a freeze.
	outageMillis = 1500 * clock.Millis(1)
)

type (
	// simEvent is an event of the simulation.
	simEvent struct {
		at clock.Millis
		do func()
	}

	// simEvents is a heap of events in order of time.
	simEvents []simEvent

	// simNode is a node that sends requests. It hears of the limit with its answers.
	simNode struct {
		picker *Picker
		// heardAt is the instant at which it passed on an answer of each target with a
		// limit for the first time since it last restarted or froze.
		heardAt map[ident.TargetID]clock.Millis
		// downUntil is the end of the present restart or freeze.
		downUntil clock.Millis
		// epoch counts restarts.
		epoch int
	}

	// simGate is the gate of a target.
	simGate struct {
		gate        *admit.Gate
		incarnation ident.Incarnation
		frozenUntil clock.Millis
		calls       map[ident.RequestID]func(a admit.Action)
	}

	// arrival is a request that a target got.
	arrival struct {
		at clock.Millis
		// told is set if the sender's node had passed on an answer with the limit.
		told bool
	}

	// fleetSim is a fleet of nodes that send requests to the targets of one service.
	fleetSim struct {
		random *rand.Rand
		now    clock.Millis
		events simEvents
		nodes  []*simNode
		gates  map[ident.TargetID]*simGate
		view   *view.View
		sent   int
		// keepLimits is set if the gates apply the limits.
		keepLimits bool
		arrivals   map[ident.TargetID][]arrival
		served     int
	}
)

func (h simEvents) Len() int           { return len(h) }
func (h simEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h simEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(e any)        { *h = append(*h, e.(simEvent)) }
func (h *simEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// after schedules an event.
func (s *fleetSim) after(d clock.Millis, do func()) {
	heap.Push(&s.events, simEvent{s.now + d, do})
}

// newFleetSim returns a fleet of n nodes. Slots is the number of slots of each target.
func newFleetSim(seed uint64, n int, keepLimits bool) *fleetSim {
	s := &fleetSim{
		random: rand.New(rand.NewPCG(seed, 9)), gates: make(map[ident.TargetID]*simGate), view: viewOfSize(fleetTargets),
		keepLimits: keepLimits, arrivals: make(map[ident.TargetID][]arrival),
	}
	for _, t := range s.view.Targets("orders") {
		g := &simGate{incarnation: t.GateIncarnation}
		s.gates[t.ID] = g
		s.restartGate(g)
	}
	for range n {
		s.addNode()
	}
	return s
}

// addNode adds a node that sends its part of the load.
func (s *fleetSim) addNode() *simNode {
	node := &simNode{}
	s.restartNode(node)
	s.nodes = append(s.nodes, node)
	return node
}

// restartNode gives a node an empty memory.
func (s *fleetSim) restartNode(n *simNode) {
	p := newPicker(s.random.Uint64())
	p.Self = ident.NodeID(fmt.Sprint("caller-", s.random.Uint64()))
	p.SetView(s.now, s.view)
	n.picker, n.heardAt = p, make(map[ident.TargetID]clock.Millis)
	n.epoch++
}

// restartGate gives a gate an empty memory. Its running calls end without an answer.
func (s *fleetSim) restartGate(g *simGate) {
	g.gate = &admit.Gate{
		Order: admit.ByGoal, Slots: fleetSlots, Connections: 99, QueueLength: 64,
		RunMillis: 10, OccupiedMillis: clock.Minute,
	}
	g.calls = make(map[ident.RequestID]func(admit.Action))
}

// run plays the simulation to its end.
func (s *fleetSim) run() {
	var next func()
	next = func() {
		s.send(s.nodes[s.random.IntN(len(s.nodes))])
		s.after(clock.Second/fleetRate*clock.Millis(s.random.ExpFloat64()), next)
	}
	next()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if s.now = max(s.now, e.at); s.now > fleetEnd {
			return
		}
		e.do()
	}
}

// send makes a request of a node, with up to three attempts.
func (s *fleetSim) send(n *simNode) {
	if s.now < n.downUntil {
		return
	}
	s.sent++
	s.attempt(n, ident.RequestID(fmt.Sprint(s.sent)), s.now+400, nil)
}

// attempt makes one attempt of a request.
func (s *fleetSim) attempt(n *simNode, id ident.RequestID, goal clock.Millis, tried []ident.TargetID) {
	choice, ok := n.picker.Pick(s.now, "orders", tried)
	if !ok || len(tried) == 3 {
		return
	}
	target, epoch := choice.Target.ID, n.epoch
	heardAt, told := n.heardAt[target]
	told = told && s.now >= heardAt+limitHeard
	id += "-" // unique for each attempt
	answer := func(v result.Verdict, limited bool) {
		s.after(fleetHop, func() {
			if n.epoch != epoch || s.now < n.downUntil {
				return // the node has restarted, or is frozen
			}
			n.picker.Done(s.now, target, Outcome{Delay: fleetRun, Verdict: v, Load: s.gates[target].gate.Load(), HasLoad: true})
			if _, known := n.heardAt[target]; limited && !known {
				n.heardAt[target] = s.now
			}
			if v == result.NotRun {
				s.attempt(n, id, goal, append(tried, target))
			}
		})
	}
	s.after(fleetHop, func() { s.arrive(target, id, goal, told, answer) })
}

// arrive passes an attempt to a gate.
func (s *fleetSim) arrive(target ident.TargetID, id ident.RequestID, goal clock.Millis, told bool, answer func(result.Verdict, bool)) {
	g := s.gates[target]
	if s.now < g.frozenUntil {
		s.after(g.frozenUntil-s.now, func() { s.arrive(target, id, goal, told, answer) })
		return
	}
	g.calls[id] = func(a admit.Action) {
		if a.Kind == admit.Refuse {
			answer(result.NotRun, false)
			return
		}
		s.arrivals[target] = append(s.arrivals[target], arrival{s.now, told})
		s.after(fleetRun*clock.Millis(0.5+s.random.Float64()), s.finisher(g, g.gate, id, answer))
	}
	s.apply(g, g.gate.Arrive(s.now, admit.Call{ID: id, Goal: goal, Deadline: goal + 400, Rank: 3}))
	s.scheduleTick(g, g.gate)
}

// finisher returns the event at which a target answers a request that is sent now.
func (s *fleetSim) finisher(g *simGate, gate *admit.Gate, id ident.RequestID, answer func(result.Verdict, bool)) func() {
	sentAt := s.now
	return func() {
		if g.gate != gate {
			return // the gate has restarted
		}
		s.served++
		limited := s.now >= limitedAt
		if s.keepLimits {
			limit := option.None[float64]()
			if limited {
				limit = option.Some(fleetLimit)
			}
			s.apply(g, gate.SetLimit(s.now, sentAt, limit))
		}
		s.apply(g, gate.Finish(s.now, id, fleetRun))
		s.scheduleTick(g, gate)
		answer(result.Ran, limited)
	}
}

// scheduleTick schedules the next tick of a gate, for which the caller's event may have
// changed the time.
func (s *fleetSim) scheduleTick(g *simGate, gate *admit.Gate) {
	next := gate.Next()
	if next > s.now+clock.Minute {
		return
	}
	s.after(max(next-s.now, 0.1), func() {
		if g.gate == gate && s.now >= gate.Next() && s.now >= g.frozenUntil {
			s.apply(g, gate.Tick(s.now))
			s.scheduleTick(g, gate)
		}
	})
}

// apply delivers the actions of a gate.
func (s *fleetSim) apply(g *simGate, actions []admit.Action) {
	for _, a := range append([]admit.Action(nil), actions...) {
		call := g.calls[a.ID]
		delete(g.calls, a.ID)
		call(a)
	}
}

// disturb restarts, freezes, adds and removes nodes and gates until the end.
func (s *fleetSim) disturb(every clock.Millis) {
	s.after(every, func() {
		n := s.nodes[s.random.IntN(len(s.nodes))]
		targets := s.view.Targets("orders")
		g := s.gates[targets[s.random.IntN(len(targets))].ID]
		switch s.random.IntN(6) {
		case 0:
			s.restartNode(n)
			n.downUntil = s.now + outageMillis
		case 1:
			n.downUntil, n.heardAt = s.now+outageMillis, make(map[ident.TargetID]clock.Millis)
		case 2:
			s.addNode()
		case 3:
			n.downUntil = clock.Forever
		case 4:
			s.restartGate(g)
			g.frozenUntil = s.now + outageMillis
		case 5:
			g.frozenUntil = s.now + outageMillis
		}
		s.disturb(every)
	})
}

// worstExcess returns the largest difference between the requests that a target got from
// nodes that were told and what the pages allow; above 0 it breaks the promise.
func (s *fleetSim) worstExcess() float64 {
	worst := -limitFactor * fleetLimit * float64(limitWindow/clock.Second)
	for _, list := range s.arrivals {
		var times []clock.Millis
		for _, a := range list {
			if a.told && a.at >= limitedAt+limitStable {
				times = append(times, a.at)
			}
		}
		first := 0
		for i, at := range times {
			for at-times[first] > limitWindow {
				first++
			}
			allowed := limitFactor*fleetLimit*float64(limitWindow/clock.Second) + limitMore
			worst = max(worst, float64(i-first+1)-allowed)
		}
	}
	return worst
}

// TestLimitHoldsOverAllNodes guards against targets that get more requests than the limit
// that they stated, summed over all nodes, while nodes and gates come, go, freeze and
// restart.
func TestLimitHoldsOverAllNodes(t *testing.T) {
	for _, c := range []struct {
		nodes int
		every clock.Millis
	}{{16, clock.Minute}, {16, 400}, {80, 200}, {300, 100}} {
		t.Run(fmt.Sprintf("%d nodes, disturbed every %v ms", c.nodes, c.every), func(t *testing.T) {
			for seed := range uint64(3) {
				s := newFleetSim(seed, c.nodes, true)
				s.disturb(c.every)
				s.run()
				if excess := s.worstExcess(); excess > 0 {
					t.Errorf("seed %d: a target got %v requests more than allowed", seed, excess)
				}
				// The limits are used: most of what they allow is served.
				if want := 0.6 * fleetLimit * fleetTargets * float64((fleetEnd-limitedAt)/clock.Second); float64(s.served) < want {
					t.Errorf("seed %d: %d requests are served, want %v", seed, s.served, want)
				}
			}
			without := newFleetSim(1, c.nodes, false)
			without.disturb(c.every)
			without.run()
			if without.worstExcess() <= 0 {
				t.Error("the load does not exceed the limits of gates that ignore them")
			}
		})
	}
}
