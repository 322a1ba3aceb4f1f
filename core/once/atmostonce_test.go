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
		attempt  retry.CallState
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
	s.policy.Budget.RecordCall(w.now)
	s.attempt = retry.CallState{Route: model.Route{MaxAttempts: 3}, Deadline: w.now + 5000}
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
