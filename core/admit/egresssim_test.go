package admit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// The load of one of six targets of deployment K, each with a link of 13 Mbit/s.
	simLinkRate      = 13e6 / 8 / 1000 // bytes per millisecond
	simDownloads     = 99.0 / 6 / 1000 // calls per millisecond
	simInner         = 400.0 / 6 / 1000
	simBytes         = 90e3
	simMaxBytes      = 540e3
	simInnerBytes    = 400
	simPiece         = 16 << 10
	simBurst         = 2.4
	simBurstAt       = 20 * clock.Second
	simBurstUntil    = 26 * clock.Second
	simUntil         = 40 * clock.Second
	simGoal          = 2 * clock.Second
	simInnerGoal     = 300 * clock.Millis(1)
	simBufferMillis  = 100 // what the buffers of the connections hold before a write blocks
	simRoute         = ident.RouteName("download")
	simConnectionIDs = 8
	simTries         = 3 // gates that a call tries
)

type (
	// egressSim replays the load of a target with a gate and a link in virtual time.
	egressSim struct {
		*simClock
		// others are the other targets, which get the downloads that this one refuses at
		// once. It gets the arrivals of all.
		others []*egressSim
		// arriving and running are separate, so that both gates see the same arrivals.
		arriving, running *rand.Rand
		gate              Gate
		// pacer is nil for the sending of whole frames at once.
		pacer *Pacer
		// linkRate is the true rate of the link, and busyUntil when it has sent everything.
		linkRate  float64
		busyUntil clock.Millis
		calls     map[ident.RequestID]*simCall
		turns     map[*Turn]*simCall
		// pacerAt is the instant of the planned grant.
		pacerAt clock.Millis

		sequence                                  int
		sent, onTime, late, refused, innerRefused int
		innerDelays                               []clock.Millis
	}

	// simClock is the virtual time of one or more targets.
	simClock struct {
		now    clock.Millis
		events simEvents
	}

	// simCall is a call of the replay.
	simCall struct {
		large          bool
		arrived, ended clock.Millis
		bytes          float64
	}

	// simEvent is something that happens at an instant.
	simEvent struct {
		at clock.Millis
		do func()
	}

	// simEvents is a heap of events.
	simEvents []simEvent
)

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// newEgressSim returns a replay with or without the pacing and the bound of the link, whose
// true rate is a share of its setting.
func newEgressSim(seed uint64, bounded bool, share float64) *egressSim {
	s := &egressSim{
		simClock: &simClock{}, arriving: rand.New(rand.NewPCG(seed, 1)), running: rand.New(rand.NewPCG(seed, 2)), linkRate: simLinkRate * share,
		calls: make(map[ident.RequestID]*simCall), turns: make(map[*Turn]*simCall), pacerAt: clock.Forever,
	}
	s.gate = Gate{Order: ByGoal, Slots: 18, Connections: 420, QueueLength: 64, RunMillis: 10, OccupiedMillis: clock.Minute}
	if bounded {
		s.pacer = &Pacer{BytesPerMilli: simLinkRate}
		s.gate.Egress = &Egress{Sender: s}
		s.gate.Egress.SetRoutes([]ident.RouteName{simRoute})
	}
	return s
}

// Backlog implements Sender.
func (s *egressSim) Backlog() (ident.Bytes, float64) { return s.pacer.Backlog(), s.pacer.Rate() }

// at plans an event.
func (s *simClock) at(t clock.Millis, do func()) { heap.Push(&s.events, simEvent{t, do}) }

// run replays the load to its end.
func (s *egressSim) run() {
	s.arrivals(true)
	s.arrivals(false)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

// arrivals plans the next arrival of a kind, and those after it.
func (s *egressSim) arrivals(large bool) {
	rate := simInner
	if large {
		rate = simDownloads
		if s.now >= simBurstAt && s.now < simBurstUntil {
			rate *= simBurst
		}
	}
	rate *= float64(1 + len(s.others))
	next := s.now + clock.Millis(s.arriving.ExpFloat64()/rate)
	if next > simUntil {
		return
	}
	s.at(next, func() {
		s.arrive(large)
		s.arrivals(large)
	})
}

// arrive passes a call to the gate, and to those of other targets if it is refused at once.
func (s *egressSim) arrive(large bool) {
	id := ident.RequestID(fmt.Sprint(s.sequence))
	s.sequence++
	c := simCall{large: large, arrived: s.now, bytes: simInnerBytes}
	call := Call{ID: id, Rank: NewRank(1).Inner(), Goal: s.now + simInnerGoal, Deadline: s.now + 800}
	if large {
		s.sent++
		c.bytes = min(max(s.arriving.ExpFloat64()*simBytes, simPiece), simMaxBytes)
		call = Call{ID: id, Route: simRoute, Rank: NewRank(2), Goal: s.now + simGoal, Deadline: s.now + 6*clock.Second}
	}
	targets := append([]*egressSim{s}, s.others...)
	s.running.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for i, t := range targets[:min(len(targets), simTries)] {
		t.calls[id] = &c
		actions := slices.Clone(t.gate.Arrive(s.now, call))
		refused := slices.IndexFunc(actions, func(a Action) bool { return a.Kind == Refuse && a.ID == id })
		if refused < 0 || i+1 == min(len(targets), simTries) {
			t.apply(actions)
			return
		}
		t.apply(slices.Delete(actions, refused, refused+1))
	}
}

// apply performs the gate's actions.
func (s *egressSim) apply(actions []Action) {
	for _, a := range slices.Clone(actions) {
		c := s.calls[a.ID]
		switch {
		case a.Kind == Refuse && c.large:
			s.refused++
		case a.Kind == Refuse:
			s.innerRefused++
		case a.Kind == Start:
			run := 72 * clock.Millis(0.7+0.6*s.running.Float64())
			if c.large {
				run = 230 * clock.Millis(0.7+0.6*s.running.Float64())
			}
			s.at(s.now+run, func() { s.ended(a.ID, c, run) })
		}
	}
	if next := s.gate.Next(); next < clock.Forever {
		s.at(max(next, s.now), func() {
			if s.gate.Next() <= s.now {
				s.apply(s.gate.Tick(s.now))
			}
		})
	}
}

// ended passes the answer of a call to the link.
func (s *egressSim) ended(id ident.RequestID, c *simCall, run clock.Millis) {
	c.ended = s.now
	if s.gate.Egress != nil {
		s.gate.Egress.Answered(id, ident.Bytes(c.bytes))
	}
	s.apply(s.gate.Finish(s.now, id, run))
	if s.pacer == nil || !c.large {
		if s.pacer != nil {
			s.pacer.Sent(s.now, ident.Bytes(c.bytes))
		}
		s.write(c, c.bytes, true)
		return
	}
	t := s.pacer.Begin(ident.Bytes(c.bytes))
	s.turns[t] = c
	s.pacer.Ask(t, simPiece)
	s.grant()
}

// grant writes the pieces that may be written.
func (s *egressSim) grant() {
	for granted := s.pacer.Grant(s.now); len(granted) > 0; granted = s.pacer.Grant(s.now) {
		for _, t := range granted {
			c := s.turns[t]
			blocked := s.write(c, min(c.bytes, simPiece), c.bytes <= simPiece)
			if blocked > 0 {
				s.at(s.now+blocked, func() {
					s.wrote(t, c, blocked)
					s.grant()
				})
				continue
			}
			s.wrote(t, c, 0)
		}
	}
	if next := s.pacer.Next(); next < s.pacerAt {
		s.pacerAt = max(next, s.now+0.01)
		s.at(s.pacerAt, func() {
			s.pacerAt = clock.Forever
			s.grant()
		})
	}
}

// wrote records that the write of a piece has returned, and asks for the next one.
func (s *egressSim) wrote(t *Turn, c *simCall, took clock.Millis) {
	s.pacer.Wrote(s.now, t.number%simConnectionIDs, simPiece, took)
	if c.bytes -= simPiece; c.bytes > 0 {
		s.pacer.Ask(t, simPiece)
	}
}

// write puts bytes in the queue of the link, which ends a call if they are the last ones. It
// returns for how long a write of that many bytes would have been blocked by full buffers.
func (s *egressSim) write(c *simCall, bytes float64, last bool) clock.Millis {
	s.busyUntil = max(s.busyUntil, s.now) + clock.Millis(bytes/s.linkRate)
	if !last {
		return max(s.busyUntil-s.now-simBufferMillis, 0)
	}
	delivered := s.busyUntil
	switch {
	case !c.large:
		s.innerDelays = append(s.innerDelays, delivered-c.ended)
	case delivered <= c.arrived+simGoal:
		s.onTime++
	default:
		s.late++
	}
	return max(s.busyUntil-s.now-simBufferMillis, 0)
}

// String returns the results.
func (s *egressSim) String() string {
	return fmt.Sprintf("%d downloads, %d on time, %d late, %d refused; inner calls wait %.0f ms (median), %.0f ms (99 in 100), %.0f ms (longest), %d refused",
		s.sent, s.onTime, s.late, s.refused, s.innerDelay(0.5), s.innerDelay(0.99), s.innerDelay(1), s.innerRefused)
}

// innerDelay returns a quantile of the time that the answers of inner calls waited.
func (s *egressSim) innerDelay(q float64) clock.Millis {
	slices.Sort(s.innerDelays)
	return s.innerDelays[int(q*float64(len(s.innerDelays)-1))]
}
