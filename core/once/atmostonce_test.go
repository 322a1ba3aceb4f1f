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
	// maxDelayMillis bounds the time that the simulated network takes to open a
	// connection, and also the time that it takes to deliver a message.
	maxDelayMillis = 150
	// horizonMillis bounds the simulated time; every simulation must end before it.
	horizonMillis = 100_000
)

type (
	// event is a step of the simulation that is scheduled for an instant.
	event struct {
		at   clock.Millis
		seq  int
		step func()
	}

	// events is a heap of events ordered by time, then by order of scheduling.
	events []event

	// simulation is a simulated deployment of gates, a store and a network with faults.
	simulation struct {
		t      *rapid.T
		now    clock.Millis
		seq    int
		events events
		faulty bool
		gates  []*Dedup
		// maxRecords bounds the records of each gate.
		maxRecords int
		// values and revisions are the rows of the store, by idempotency key.
		values    map[string][]byte
		revisions map[string]ident.Revision
		// executions counts the executions by submission, keyExecutions by idempotency
		// key.
		executions    map[string]int
		keyExecutions map[string]int
		// forwarded holds the request that was forwarded first for each key.
		forwarded map[string]string
	}

	// submission is a request of one caller at one ingress node.
	submission struct {
		sim  *simulation
		name string
		key  string
		// request represents method, URI and body.
		request  string
		claim    *Claim
		policy   *retry.Policy
		call     retry.CallState
		current  ident.RequestID
		crashed  bool
		forwards int
		// verdict is the verdict that the caller received; valid if answered is set.
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

// after schedules a step to run after d.
func (sim *simulation) after(d clock.Millis, step func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.now + d, sim.seq, step})
}

// run executes all steps in order of time.
func (sim *simulation) run() {
	for sim.events.Len() > 0 {
		e := heap.Pop(&sim.events).(event)
		if sim.now = e.at; sim.now > horizonMillis {
			sim.t.Fatal("simulation does not end")
		}
		e.step()
	}
}

// drawFault draws a kind of fault from 1 to kinds, or 0 for no fault.
func (sim *simulation) drawFault(kinds int, label string) int {
	if !sim.faulty {
		return 0
	}
	return max(0, rapid.IntRange(-2*kinds, kinds).Draw(sim.t, label))
}

// drawDelay draws the duration of one step: opening a connection, delivering a message,
// accessing the store or executing a request.
func (sim *simulation) drawDelay() clock.Millis {
	if !sim.faulty {
		return 1
	}
	return clock.Millis(rapid.IntRange(1, maxDelayMillis-1).Draw(sim.t, "delay"))
}

// send delivers, loses or duplicates a message.
func (sim *simulation) send(deliver func()) {
	switch sim.drawFault(2, "network") {
	case 0:
		sim.after(sim.drawDelay(), deliver)
	case 1: // lost
	case 2:
		sim.after(sim.drawDelay(), deliver)
		sim.after(sim.drawDelay(), deliver)
	}
}

// sendTo sends a message to a gate on a connection that opens after a delay. As with
// QUIC, a copy of it arrives only at the incarnation to which the connection was opened,
// but the gate may have restarted between the call and the opening.
func (sim *simulation) sendTo(i int, deliver func()) {
	sim.after(sim.drawDelay(), func() {
		connected := sim.gates[i]
		sim.send(func() {
			if sim.gates[i] == connected {
				deliver()
			}
		})
	})
}

// submit starts a request; an empty key means that it has no idempotency key.
func (sim *simulation) submit(name, key, request string) *submission {
	s := &submission{sim: sim, name: name, key: key, request: request}
	s.policy = &retry.Policy{Budget: &retry.Budget{PerSecond: 1e6}, Rand: rand.New(rand.NewPCG(1, uint64(len(name))))}
	s.policy.Budget.RecordCall(sim.now)
	s.call = retry.CallState{Route: model.Route{MaxAttempts: 3}, Deadline: sim.now + 5000}
	if key == "" {
		s.forward()
		return s
	}
	s.claim = &Claim{ID: ident.RequestID(name), Fingerprint: Fingerprint("POST", []byte("/order"), []byte(request)), StoreMillis: 200}
	s.perform(s.claim.Begin(sim.now))
	sim.after(200, func() { s.tick() })
	if sim.faulty && rapid.IntRange(0, 4).Draw(sim.t, "crashes") == 0 {
		sim.after(clock.Millis(rapid.IntRange(0, 600).Draw(sim.t, "crash")), func() { s.crashed = true })
	}
	return s
}

// newSimulation returns a simulation with gates whose records expire only after the
// network has lost or delivered every message.
func newSimulation(t *rapid.T, faulty bool) *simulation {
	sim := &simulation{
		t: t, faulty: faulty, values: map[string][]byte{}, revisions: map[string]ident.Revision{},
		executions: map[string]int{}, keyExecutions: map[string]int{}, forwarded: map[string]string{},
		maxRecords: rapid.IntRange(1, 6).Draw(t, "records"),
	}
	for i := range 3 {
		sim.gates = append(sim.gates, sim.newGate(ident.Incarnation(10*i+10)))
	}
	return sim
}

// newGate returns the deduplication of a gate, with small bounds so that they are
// reached.
func (sim *simulation) newGate(n ident.Incarnation) *Dedup {
	return &Dedup{Gate: n, KeepMillis: 3 * maxDelayMillis, MaxRecords: sim.maxRecords, MaxBytes: 16}
}

// TestAtMostOnce guards against a second execution of one action, and against NotRun for
// a request that ran, under losses, duplicates, delays, voids, gate restarts, store
// faults, crashes and resubmission through another node. It also guards against a key
// that is accepted for two different requests.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, true)
		var all []*submission
		for i := range rapid.IntRange(1, 4).Draw(t, "submissions") {
			key := rapid.SampledFrom([]string{"", "k1", "k1", "k2"}).Draw(t, "key")
			request := rapid.SampledFrom([]string{"r1", "r1", "r2"}).Draw(t, "request")
			sim.after(clock.Millis(rapid.IntRange(0, 600).Draw(t, "start")), func() {
				all = append(all, sim.submit(fmt.Sprintf("s%d", i), key, request))
			})
		}
		for range rapid.IntRange(0, 6).Draw(t, "restarts") {
			sim.after(clock.Millis(rapid.IntRange(0, 600).Draw(t, "restart")), func() {
				i := rapid.IntRange(0, len(sim.gates)-1).Draw(t, "gate")
				sim.gates[i] = sim.newGate(sim.gates[i].Gate + 1)
			})
		}
		sim.run()
		for _, s := range all {
			if sim.executions[s.name] > 1 {
				t.Fatalf("%s ran %d times", s.name, sim.executions[s.name])
			}
			if s.answered && s.verdict == result.NotRun && sim.executions[s.name] > 0 {
				t.Fatalf("%s was refused as not run, and ran", s.name)
			}
			if s.answered && s.verdict == result.Ran && sim.keyExecutions[s.key] == 0 {
				t.Fatalf("%s was answered, and never ran", s.name)
			}
			if !s.crashed && !s.answered {
				t.Fatalf("%s was not answered", s.name)
			}
		}
		for key, n := range sim.keyExecutions {
			if key != "" && n > 1 {
				t.Fatalf("key %s ran %d times", key, n)
			}
		}
		for _, d := range sim.gates {
			if d.Tick(horizonMillis); d.Records() > 0 || d.Bytes() != 0 {
				t.Fatalf("gate keeps %d expired records and %d bytes", d.Records(), d.Bytes())
			}
		}
	})
}

// TestResubmissionWithoutFaults guards against a claim that refuses every request, and
// against one that replays the outcome to, or forwards, a different request with the
// same key.
func TestResubmissionWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, false)
		first := sim.submit("first", "k", "r1")
		sim.run()
		other := sim.submit("other", "k", "r2")
		sim.run()
		if other.verdict != result.NotRun || other.replayed || other.forwards > 0 || sim.executions["other"] > 0 {
			t.Fatalf("another request: %s, replayed %t, forwarded %d times", other.verdict, other.replayed, other.forwards)
		}
		second := sim.submit("second", "k", "r1")
		sim.run()
		if first.verdict != result.Ran || sim.executions["first"] != 1 || !second.replayed || sim.executions["second"] != 0 {
			t.Fatalf("first %s, second replayed %t", first.verdict, second.replayed)
		}
	})
}
