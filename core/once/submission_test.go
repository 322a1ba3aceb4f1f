package once

import (
	"fmt"

	"hickoryrail/core/ident"
	"hickoryrail/core/result"
	"hickoryrail/core/retry"
)

// tick calls the claim's Tick periodically until the claim is done.
func (s *submission) tick() {
	if s.crashed || s.claim.Done() {
		return
	}
	s.perform(s.claim.Tick(s.sim.now))
	s.sim.after(50, func() { s.tick() })
}

// perform performs the actions of the claim.
func (s *submission) perform(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case ReadRow:
			s.readRow()
		case WriteRow:
			s.writeRow(a)
		case Forward:
			s.forward()
		case ReplayOutcome:
			s.answer(result.Ran)
			s.replayed = true
			if string(a.Outcome.Body) != s.request {
				s.sim.t.Fatalf("%s got the outcome of request %s", s.name, a.Outcome.Body)
			}
		case RefuseRequest:
			s.answer(a.Verdict)
		}
	}
}

// answer records the verdict that the caller receives.
func (s *submission) answer(v result.Verdict) {
	if s.answered {
		s.sim.t.Fatalf("%s was answered twice", s.name)
	}
	s.answered, s.verdict = true, v
}

// returnToIngress delivers a response of the store, unless the ingress has crashed.
func (s *submission) returnToIngress(step func()) {
	s.sim.after(s.sim.drawDelay(), func() {
		if !s.crashed {
			step()
		}
	})
}

// readRow reads the row at the store; a fault makes the read fail.
func (s *submission) readRow() {
	s.sim.after(s.sim.drawDelay(), func() {
		value, revision := s.sim.values[s.key], s.sim.revisions[s.key]
		ok := s.sim.drawFault(1, "read") == 0
		s.returnToIngress(func() { s.perform(s.claim.RowRead(s.sim.now, value, revision, ok)) })
	})
}

// writeRow writes the row at the store. The faults are: a known failure, a lost request,
// a lost response, and a lost response with a delayed effect.
func (s *submission) writeRow(a Action) {
	sim := s.sim
	apply := func() (WriteResult, ident.Revision) {
		if sim.revisions[s.key] != a.Condition {
			return Conflict, 0
		}
		sim.revisions[s.key]++
		sim.values[s.key] = a.Value
		return Written, sim.revisions[s.key]
	}
	answer := func(r WriteResult, v ident.Revision) {
		s.returnToIngress(func() { s.perform(s.claim.RowWritten(sim.now, r, v)) })
	}
	sim.after(sim.drawDelay(), func() {
		switch sim.drawFault(4, "write") {
		case 0:
			answer(apply())
		case 1:
			answer(Failed, 0)
		case 2:
			answer(Unknown, 0)
		case 3:
			apply()
			answer(Unknown, 0)
		case 4:
			answer(Unknown, 0)
			sim.after(sim.drawDelay()*20, func() { apply() })
		}
	})
}

// forward sends an attempt to a gate; the addressed incarnation may be out of date.
func (s *submission) forward() {
	sim := s.sim
	if s.call.Sent == 0 {
		if s.forwards++; s.forwards > 1 {
			sim.t.Fatalf("%s was forwarded twice", s.name)
		}
		if other, ok := sim.forwarded[s.key]; ok && s.key != "" && other != s.request {
			sim.t.Fatalf("requests %s and %s were forwarded for key %s", other, s.request, s.key)
		}
		sim.forwarded[s.key] = s.request
	}
	s.call.Start(sim.now)
	id := ident.RequestID(fmt.Sprintf("%s.%d", s.name, s.call.Sent))
	s.current = id
	i := s.call.Sent % len(sim.gates)
	gate := sim.gates[i].Gate - ident.Incarnation(sim.drawFault(1, "stale"))
	sim.sendTo(i, func() { s.serveAtGate(i, gate, id) })
	sim.after(60, func() { s.sendVoid(i, gate, id) })
}

// serveAtGate handles the arrival of a request at a gate.
func (s *submission) serveAtGate(i int, gate ident.Incarnation, id ident.RequestID) {
	sim, dedup := s.sim, s.sim.gates[i]
	decision := dedup.Begin(sim.now, gate, id)
	if decision.Kind != Run {
		sim.send(func() { s.endAttempt(id, decision.Verdict) })
		return
	}
	if sim.drawFault(1, "full") == 1 {
		dedup.Finish(sim.now, id, result.NotRun, nil)
		sim.send(func() { s.endAttempt(id, result.NotRun) })
		return
	}
	sim.executions[s.name]++
	sim.keyExecutions[s.key]++
	sim.after(sim.drawDelay(), func() {
		v := result.Ran
		if sim.drawFault(1, "target") == 1 {
			v = result.MayHaveRun
		}
		dedup.Finish(sim.now, id, v, []byte("response"))
		if sim.gates[i] == dedup {
			sim.send(func() { s.endAttempt(id, v) })
		}
	})
}

// sendVoid sends a void for an attempt without a response. If the void or its response is
// lost, the attempt ends as MayHaveRun.
func (s *submission) sendVoid(i int, gate ident.Incarnation, id ident.RequestID) {
	if s.current != id || s.crashed {
		return
	}
	s.sim.sendTo(i, func() {
		decision := s.sim.gates[i].Void(s.sim.now, gate, id)
		s.sim.send(func() { s.endAttempt(id, decision.Verdict) })
	})
	s.sim.after(400, func() { s.endAttempt(id, result.MayHaveRun) })
}

// endAttempt handles the verdict of the current attempt; verdicts of other attempts are
// ignored.
func (s *submission) endAttempt(id ident.RequestID, v result.Verdict) {
	sim := s.sim
	if s.current != id || s.crashed {
		return
	}
	s.current = ""
	s.call.End(v)
	d := s.policy.Decide(sim.now, s.call, v)
	if d.Kind == retry.Retry {
		sim.after(d.At-sim.now, s.forward)
		return
	}
	s.answer(d.Verdict)
	if s.claim != nil {
		s.perform(s.claim.Finished(sim.now, d.Verdict, Outcome{Status: 200, Body: []byte(s.request)}))
	}
}
