package once

import (
	"fmt"

	"hickoryrail/core/ident"
	"hickoryrail/core/result"
	"hickoryrail/core/retry"
)

// tick drives the claim until it is settled.
func (s *submission) tick() {
	if s.crashed || s.claim.Settled() {
		return
	}
	s.act(s.claim.Tick(s.w.now))
	s.w.after(50, func() { s.tick() })
}

// act carries out a claim's actions.
func (s *submission) act(actions []Action) {
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
				s.w.t.Fatalf("%s got the outcome of request %s", s.name, a.Outcome.Body)
			}
		case RefuseRequest:
			s.answer(a.Verdict)
		}
	}
}

// answer notes the verdict that the caller gets.
func (s *submission) answer(v result.Verdict) {
	if s.answered {
		s.w.t.Fatalf("%s was answered twice", s.name)
	}
	s.answered, s.verdict = true, v
}

// reply returns an answer to the ingress, unless it has crashed.
func (s *submission) reply(step func()) {
	s.w.after(s.w.delay(), func() {
		if !s.crashed {
			step()
		}
	})
}

// readRow reads the row at the store, or fails.
func (s *submission) readRow() {
	s.w.after(s.w.delay(), func() {
		value, revision := s.w.values[s.key], s.w.written[s.key]
		ok := s.w.fault(1, "read") == 0
		s.reply(func() { s.act(s.claim.RowRead(s.w.now, value, revision, ok)) })
	})
}

// writeRow writes the row; faults are: surely no effect, lost before the effect,
// answer lost, answer lost and effect late.
func (s *submission) writeRow(a Action) {
	w := s.w
	apply := func() (WriteResult, ident.Revision) {
		if w.written[s.key] != a.Condition {
			return Conflict, 0
		}
		w.written[s.key]++
		w.values[s.key] = a.Value
		return Written, w.written[s.key]
	}
	answer := func(r WriteResult, v ident.Revision) {
		s.reply(func() { s.act(s.claim.RowWritten(w.now, r, v)) })
	}
	w.after(w.delay(), func() {
		switch w.fault(4, "write") {
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
			w.after(w.delay()*20, func() { apply() })
		}
	})
}

// forward sends an attempt to a gate, whose incarnation may be out of date.
func (s *submission) forward() {
	w := s.w
	if s.attempt.Sent == 0 {
		if s.forwards++; s.forwards > 1 {
			w.t.Fatalf("%s was forwarded twice", s.name)
		}
		if other, ok := w.forwarded[s.key]; ok && s.key != "" && other != s.request {
			w.t.Fatalf("requests %s and %s were forwarded for key %s", other, s.request, s.key)
		}
		w.forwarded[s.key] = s.request
	}
	s.attempt.Start(w.now)
	id := ident.RequestID(fmt.Sprintf("%s.%d", s.name, s.attempt.Sent))
	s.current = id
	i := s.attempt.Sent % len(w.gates)
	gate := w.gates[i].Gate - ident.Incarnation(w.fault(1, "stale"))
	w.sendTo(i, func() { s.arrive(i, gate, id) })
	w.after(60, func() { s.void(i, gate, id) })
}

// arrive is the gate's side of a request.
func (s *submission) arrive(i int, gate ident.Incarnation, id ident.RequestID) {
	w, fence := s.w, s.w.gates[i]
	a := fence.Arrive(w.now, gate, id)
	if a.Kind != Run {
		w.send(func() { s.ended(id, a.Verdict) })
		return
	}
	if w.fault(1, "full") == 1 {
		fence.Finish(w.now, id, result.NotRun, nil)
		w.send(func() { s.ended(id, result.NotRun) })
		return
	}
	w.ran[s.name]++
	w.ranKey[s.key]++
	w.after(w.delay(), func() {
		v := result.Ran
		if w.fault(1, "target") == 1 {
			v = result.MayHaveRun
		}
		fence.Finish(w.now, id, v, []byte("response"))
		if w.gates[i] == fence {
			w.send(func() { s.ended(id, v) })
		}
	})
}

// void asks the gate about an attempt without an answer; a lost void or answer
// leaves it as may have run.
func (s *submission) void(i int, gate ident.Incarnation, id ident.RequestID) {
	if s.current != id || s.crashed {
		return
	}
	s.w.sendTo(i, func() {
		a := s.w.gates[i].Void(s.w.now, gate, id)
		s.w.send(func() { s.ended(id, a.Verdict) })
	})
	s.w.after(400, func() { s.ended(id, result.MayHaveRun) })
}

// ended takes the verdict of the current attempt; later ones are ignored.
func (s *submission) ended(id ident.RequestID, v result.Verdict) {
	w := s.w
	if s.current != id || s.crashed {
		return
	}
	s.current = ""
	s.attempt.End(v)
	d := s.policy.Decide(w.now, s.attempt, v)
	if d.Kind == retry.Retry {
		w.after(d.At-w.now, s.forward)
		return
	}
	s.answer(d.Verdict)
	if s.claim != nil {
		s.act(s.claim.Finished(w.now, d.Verdict, Outcome{Status: 200, Body: []byte(s.request)}))
	}
}
