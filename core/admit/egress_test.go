package admit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

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
)

type (
	// egressSim replays the load of a target with a gate and a link in virtual time.
	egressSim struct {
		now    clock.Millis
		events simEvents
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

		sent, onTime, late, refused, innerRefused int
		innerDelays                               []clock.Millis
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
		arriving: rand.New(rand.NewPCG(seed, 1)), running: rand.New(rand.NewPCG(seed, 2)), linkRate: simLinkRate * share,
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
func (s *egressSim) at(t clock.Millis, do func()) { heap.Push(&s.events, simEvent{t, do}) }

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
	next := s.now + clock.Millis(s.arriving.ExpFloat64()/rate)
	if next > simUntil {
		return
	}
	s.at(next, func() {
		s.arrive(large)
		s.arrivals(large)
	})
}

// arrive passes a call to the gate.
func (s *egressSim) arrive(large bool) {
	id := ident.RequestID(fmt.Sprint(len(s.calls)))
	c := &simCall{large: large, arrived: s.now, bytes: simInnerBytes}
	call := Call{ID: id, Rank: NewRank(1).Inner(), Goal: s.now + simInnerGoal, Deadline: s.now + 800}
	if large {
		s.sent++
		c.bytes = min(max(s.arriving.ExpFloat64()*simBytes, simPiece), simMaxBytes)
		call = Call{ID: id, Route: simRoute, Rank: NewRank(2), Goal: s.now + simGoal, Deadline: s.now + 6*clock.Second}
	}
	s.calls[id] = c
	s.apply(s.gate.Arrive(s.now, call))
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

// TestDownloadsOfDeploymentK guards against answers that are admitted although the link
// cannot send them by their goal, and against small answers that wait behind large ones. It
// replays the load of one target with the former gate and with the bound of the link.
func TestDownloadsOfDeploymentK(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		former, bounded := newEgressSim(seed, false, 1), newEgressSim(seed, true, 1)
		former.run()
		bounded.run()
		t.Logf("seed %d former: %s", seed, former)
		t.Logf("seed %d bounded: %s", seed, bounded)
		is.Equal(bounded.sent, former.sent)
		is.True(bounded.onTime*2 > former.onTime*3) // half as many again are in time
		is.True(bounded.late*50 < bounded.sent)     // nearly no answer is sent late
		is.True(bounded.innerDelay(1) < 30)
		is.Equal(bounded.innerRefused, 0)
	}
}

// TestSlowerLink guards against a link that is slower than its setting and is flooded for
// good, because the rate is not corrected.
func TestSlowerLink(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		s := newEgressSim(seed, true, 0.6)
		s.run()
		t.Logf("seed %d: %s", seed, s)
		is.True(s.late*5 < s.onTime)
		is.True(s.innerDelay(0.5) < 100)
	}
}

// TestOtherRoutesAreNotBounded guards against a gate that decides otherwise than before on
// routes without large answers.
func TestOtherRoutesAreNotBounded(t *testing.T) {
	is := is.New(t)
	former, other := newEgressSim(3, false, 1), newEgressSim(3, false, 1)
	idle := &egressSim{pacer: &Pacer{BytesPerMilli: 1e-6}} // a link that could send nothing
	other.gate.Egress = &Egress{Sender: idle}
	other.gate.Egress.SetRoutes([]ident.RouteName{"another"})
	former.run()
	other.run()
	is.Equal(former.String(), other.String())
	is.Equal(other.gate.Egress.Refused(), uint64(0))
}

// TestLateDownloads guards against a link that is idle although calls ask for it whose goals
// have passed, and against such calls that delay the others.
func TestLateDownloads(t *testing.T) {
	is := is.New(t)
	s := newEgressSim(1, true, 1)
	s.now = 10 * clock.Second
	late := func(id string) Kind {
		actions := s.gate.Arrive(s.now, Call{ID: ident.RequestID(id), Route: simRoute, Goal: s.now - 1, Deadline: s.now + 4*clock.Second})
		is.Equal(len(actions), 1)
		if actions[0].Kind == Refuse {
			is.Equal(actions[0].Reason, ReasonLink)
		}
		return actions[0].Kind
	}
	s.gate.Egress.routes[simRoute].run = 230
	is.Equal(late("idle"), Start)
	s.gate.Finish(s.now, "idle", 230)
	s.pacer.Begin(1e6) // what the link sends in 0.6 s
	is.Equal(late("busy"), Refuse)
}

// TestWaitingDownloadIsRefused guards against a call that waits for a slot and is started
// although the link can no longer send its answer in time, against a slot that stays idle
// for it, and against calls that the gate has forgotten but that still count.
func TestWaitingDownloadIsRefused(t *testing.T) {
	is := is.New(t)
	s := newEgressSim(1, true, 1)
	s.gate.Slots = 1
	e := s.gate.Egress
	inner := func(id ident.RequestID) Call {
		return Call{ID: id, Rank: LastRank, Goal: 5 * clock.Second, Deadline: 9 * clock.Second}
	}
	download := Call{ID: "download", Route: simRoute, Rank: NewRank(1), Goal: simGoal, Deadline: 6 * clock.Second}
	is.Equal(s.gate.Arrive(0, inner("first"))[0].Kind, Start)
	is.Equal(len(s.gate.Arrive(0, download)), 0)
	is.Equal(len(s.gate.Arrive(0, inner("second"))), 0)
	is.Equal(e.Expected(), ident.Bytes(initialAnswerBytes))
	s.pacer.Begin(10e6) // more than the link sends in five seconds
	is.Equal(s.gate.Finish(100, "first", 100), []Action{
		{Kind: Refuse, ID: "download", Reason: ReasonLink}, {Kind: Start, ID: "second", Reason: ReasonQueued},
	})
	is.Equal(len(e.calls), 0)
	is.Equal(*e.routes[simRoute], largeRoute{})
	s.pacer = &Pacer{BytesPerMilli: simLinkRate}
	is.Equal(len(s.gate.Arrive(100, download)), 0)
	s.gate.Cancel(200, "download")
	is.Equal(*e.routes[simRoute], largeRoute{})
	is.Equal(len(s.gate.Arrive(200, download)), 0)
	is.Equal(s.gate.Finish(300, "second", 100)[0].Kind, Start)
	is.Equal(e.routes[simRoute].running, 1)
	e.Answered("download", 100e3)
	s.gate.Finish(400, "download", 100)
	is.Equal(*e.routes[simRoute], largeRoute{bytes: 100e3, run: 100})
}
