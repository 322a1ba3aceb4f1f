package once

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
	"hickoryrail/core/retry"
)

const (
	// holdMillis is the longest time that the simulated network takes to open a
	// connection, and again to deliver a message.
	holdMillis = 150
	// horizonMillis is later than the last event of a simulation.
	horizonMillis = 100_000
)

type (
	// event is a step of the simulation at an instant.
	event struct {
		at   clock.Millis
		seq  int
		step func()
	}

	// events is a heap in order of time.
	events []event

	// world is a simulated deployment: gates, a store, a network and faults.
	world struct {
		t      *rapid.T
		now    clock.Millis
		seq    int
		events events
		faulty bool
		gates  []*Fence
		// records bounds the records of each gate.
		records int
		values  map[string][]byte
		written map[string]ident.Revision
		// ran counts executions by submission, ranKey by key.
		ran    map[string]int
		ranKey map[string]int
		// forwarded holds the request that was forwarded first for each key.
		forwarded map[string]string
	}

	// submission is one caller's request at one ingress node.
	submission struct {
		w    *world
		name string
		key  string
		// request stands for method, URI and body.
		request  string
		claim    *Claim
		policy   *retry.Policy
		attempt  retry.Attempt
		current  ident.RequestID
		crashed  bool
		forwards int
		// verdict is the answer to the caller, if answered.
		verdict  result.Verdict
		answered bool
		replayed bool
	}
)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// after schedules a step.
func (w *world) after(d clock.Millis, step func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + d, w.seq, step})
}

// run executes all steps in order of time.
func (w *world) run() {
	for w.events.Len() > 0 {
		e := heap.Pop(&w.events).(event)
		if w.now = e.at; w.now > horizonMillis {
			w.t.Fatal("simulation does not end")
		}
		e.step()
	}
}

// fault draws a kind of fault from 0 (none) to kinds.
func (w *world) fault(kinds int, label string) int {
	if !w.faulty {
		return 0
	}
	return max(0, rapid.IntRange(-2*kinds, kinds).Draw(w.t, label))
}

// delay draws a time on the network.
func (w *world) delay() clock.Millis {
	if !w.faulty {
		return 1
	}
	return clock.Millis(rapid.IntRange(1, holdMillis-1).Draw(w.t, "delay"))
}

// send delivers a message, or loses or duplicates it.
func (w *world) send(deliver func()) {
	switch w.fault(2, "network") {
	case 0:
		w.after(w.delay(), deliver)
	case 1: // lost
	case 2:
		w.after(w.delay(), deliver)
		w.after(w.delay(), deliver)
	}
}

// sendTo sends a message to a gate on a connection that opens after a delay. Every
// copy of it arrives at the life that the connection leads to or never, as with
// QUIC, but that life can be a later one than at the time of sending.
func (w *world) sendTo(i int, deliver func()) {
	w.after(w.delay(), func() {
		life := w.gates[i]
		w.send(func() {
			if w.gates[i] == life {
				deliver()
			}
		})
	})
}

// submit starts a request; an empty key means none.
func (w *world) submit(name, key, request string) *submission {
	s := &submission{w: w, name: name, key: key, request: request}
	s.policy = &retry.Policy{Budget: &retry.Budget{PerSecond: 1e6}, Rand: rand.New(rand.NewPCG(1, uint64(len(name))))}
	s.policy.Budget.Call(w.now)
	s.attempt = retry.Attempt{Route: model.Route{MaxAttempts: 3}, Deadline: w.now + 5000}
	if key == "" {
		s.forward()
		return s
	}
	s.claim = &Claim{ID: ident.RequestID(name), Fingerprint: Fingerprint("POST", []byte("/order"), []byte(request)), StoreMillis: 200}
	s.act(s.claim.Begin(w.now))
	w.after(200, func() { s.tick() })
	if w.faulty && rapid.IntRange(0, 4).Draw(w.t, "crashes") == 0 {
		w.after(clock.Millis(rapid.IntRange(0, 600).Draw(w.t, "crash")), func() { s.crashed = true })
	}
	return s
}

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

// newWorld returns a world with gates whose records expire after the network has
// lost or delivered every message.
func newWorld(t *rapid.T, faulty bool) *world {
	w := &world{
		t: t, faulty: faulty, values: map[string][]byte{}, written: map[string]ident.Revision{},
		ran: map[string]int{}, ranKey: map[string]int{}, forwarded: map[string]string{},
		records: rapid.IntRange(1, 6).Draw(t, "records"),
	}
	for i := range 3 {
		w.gates = append(w.gates, w.newGate(ident.Incarnation(10*i+10)))
	}
	return w
}

// newGate returns a gate with small bounds.
func (w *world) newGate(n ident.Incarnation) *Fence {
	return &Fence{Gate: n, KeepMillis: 3 * holdMillis, MaxRecords: w.records, MaxBytes: 16}
}

// TestAtMostOnce guards against a second execution of one action, and against
// NotRun for a request that ran, over losses, duplicates, late arrivals, voids,
// gate restarts, store faults, crashes and resubmission through another node. It
// also guards against a key that serves two different requests.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, true)
		var all []*submission
		for i := range rapid.IntRange(1, 4).Draw(t, "submissions") {
			key := rapid.SampledFrom([]string{"", "k1", "k1", "k2"}).Draw(t, "key")
			request := rapid.SampledFrom([]string{"r1", "r1", "r2"}).Draw(t, "request")
			w.after(clock.Millis(rapid.IntRange(0, 600).Draw(t, "start")), func() {
				all = append(all, w.submit(fmt.Sprintf("s%d", i), key, request))
			})
		}
		for range rapid.IntRange(0, 6).Draw(t, "restarts") {
			w.after(clock.Millis(rapid.IntRange(0, 600).Draw(t, "restart")), func() {
				i := rapid.IntRange(0, len(w.gates)-1).Draw(t, "gate")
				w.gates[i] = w.newGate(w.gates[i].Gate + 1)
			})
		}
		w.run()
		for _, s := range all {
			if w.ran[s.name] > 1 {
				t.Fatalf("%s ran %d times", s.name, w.ran[s.name])
			}
			if s.answered && s.verdict == result.NotRun && w.ran[s.name] > 0 {
				t.Fatalf("%s was refused as not run, and ran", s.name)
			}
			if s.answered && s.verdict == result.Ran && w.ranKey[s.key] == 0 {
				t.Fatalf("%s was answered, and never ran", s.name)
			}
			if !s.crashed && !s.answered {
				t.Fatalf("%s was not answered", s.name)
			}
		}
		for key, n := range w.ranKey {
			if key != "" && n > 1 {
				t.Fatalf("key %s ran %d times", key, n)
			}
		}
		for _, f := range w.gates {
			if f.Tick(horizonMillis); f.Records() > 0 || f.Bytes() != 0 {
				t.Fatalf("fence keeps %d records and %d bytes", f.Records(), f.Bytes())
			}
		}
	})
}

// TestResubmissionWithoutFaults guards against a claim that refuses everything,
// and against one that replays or forwards for another request.
func TestResubmissionWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, false)
		first := w.submit("first", "k", "r1")
		w.run()
		other := w.submit("other", "k", "r2")
		w.run()
		if other.verdict != result.NotRun || other.replayed || other.forwards > 0 || w.ran["other"] > 0 {
			t.Fatalf("another request: %s, replayed %t, forwarded %d times", other.verdict, other.replayed, other.forwards)
		}
		second := w.submit("second", "k", "r1")
		w.run()
		if first.verdict != result.Ran || w.ran["first"] != 1 || !second.replayed || w.ran["second"] != 0 {
			t.Fatalf("first %s, second replayed %t", first.verdict, second.replayed)
		}
	})
}
