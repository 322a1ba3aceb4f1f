package admit

import (
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

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

// TestDownloadsOfAllTargets guards against a bound that refuses downloads for which the link
// of another target has room. It replays the load of the six targets, chosen at random.
func TestDownloadsOfAllTargets(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		var inTime [2]int
		for i, bounded := range []bool{false, true} {
			first := newEgressSim(seed, bounded, 1)
			for range 5 {
				other := newEgressSim(seed, bounded, 1)
				other.simClock = first.simClock
				first.others = append(first.others, other)
			}
			first.run()
			for _, o := range first.others {
				first.onTime += o.onTime
				first.late += o.late
				first.refused += o.refused
				first.innerRefused += o.innerRefused
				first.innerDelays = append(first.innerDelays, o.innerDelays...)
			}
			t.Logf("seed %d, bounded %v: %s", seed, bounded, first)
			inTime[i] = first.onTime
			is.Equal(first.sent, first.onTime+first.late+first.refused)
		}
		is.True(inTime[1]*10 > inTime[0]*15)
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
