package admit

import (
	"flag"
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

func init() {
	_ = flag.Set("rapid.seed", "11")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.steps", "60")
}

type (
	// oracle models a gate and checks each action against the documented invariants.
	oracle struct {
		t    *rapid.T
		gate *Gate
		now  clock.Millis
		// lastID is the number of the last call that arrived.
		lastID int
		// calls holds every call that arrived, by id.
		calls map[ident.RequestID]*trackedCall
		// waiting and running are the ids in each state.
		waiting, running map[ident.RequestID]bool
		// passedOverSince is the time since which each class with waiting calls has
		// been passed over.
		passedOverSince [classCount]clock.Millis
		// startsSinceAction counts the starts of other classes since the last action.
		startsSinceAction int
		// earlier is the actual number of running calls that an earlier gate started.
		earlier      int
		draining     bool
		drainedCount int
	}

	// trackedCall is a call and the number of actions that the gate returned for it.
	trackedCall struct {
		Call
		arrived          clock.Millis
		started, refused int
	}
)

// waitingIn returns the number of waiting calls of a class.
func (o *oracle) waitingIn(class model.Class) int {
	n := 0
	for id := range o.waiting {
		if o.calls[id].Class == class {
			n++
		}
	}
	return n
}

// ageingDue reports whether a class was passed over for at least its ageing bound.
func (o *oracle) ageingDue(class model.Class) bool {
	return o.waitingIn(class) > 0 && o.now-o.passedOverSince[class] >= o.gate.AgeingMillis
}

// apply checks the actions in order.
func (o *oracle) apply(actions []Action) {
	for _, a := range actions {
		if a.Kind == Drained {
			o.drainedCount++
			if !o.draining || len(o.running) > 0 || len(o.waiting) > 0 {
				o.t.Fatalf("drained too early: %d run, %d wait", len(o.running), len(o.waiting))
			}
			continue
		}
		c := o.calls[a.ID]
		if c == nil || c.started+c.refused > 0 {
			o.t.Fatalf("second or unknown action %v for %+v", a, c)
		}
		if a.Kind == Refuse {
			c.refused++
			delete(o.waiting, a.ID)
			continue
		}
		o.start(a, c)
	}
	if !o.draining && o.gate.Load().Free > 0 && len(o.waiting) > 0 {
		o.t.Fatalf("%d calls wait although %d slots are free", len(o.waiting), o.gate.Load().Free)
	}
	for id := range o.waiting {
		if o.gate.Next() > o.calls[id].Deadline {
			o.t.Fatalf("%s expires at %v, before the next tick at %v", id, o.calls[id].Deadline, o.gate.Next())
		}
	}
	if o.gate.Load().Queued != len(o.waiting) {
		o.t.Fatalf("gate has %d waiting calls, want %d", o.gate.Load().Queued, len(o.waiting))
	}
}

// start checks one start.
func (o *oracle) start(a Action, c *trackedCall) {
	if o.draining || o.now >= c.Deadline {
		o.t.Fatalf("%s started while draining or after its deadline", a.ID)
	}
	actionDue := o.gate.ActionEvery > 0 && o.startsSinceAction >= o.gate.ActionEvery-1
	if actionDue && c.Class != model.Action && o.waitingIn(model.Action) > 0 {
		o.t.Fatalf("%s of class %v got the start that was due to an action", a.ID, c.Class)
	}
	actionDue = actionDue && c.Class == model.Action
	for class := range model.Browse + 1 {
		if !actionDue && class != c.Class && o.ageingDue(class) &&
			(!o.ageingDue(c.Class) || o.passedOverSince[class] < o.passedOverSince[c.Class]) {
			o.t.Fatalf("%s of class %v passed over class %v, due since %v", a.ID, c.Class, class, o.passedOverSince[class])
		}
	}
	first, oldest := true, true
	for id := range o.waiting {
		w := o.calls[id]
		if w.Class < c.Class && !o.ageingDue(c.Class) && !actionDue {
			o.t.Fatalf("%s of class %v went before class %v", a.ID, c.Class, w.Class)
		}
		if w.Class == c.Class {
			first = first && w.Deadline >= c.Deadline
			oldest = oldest && w.arrived >= c.arrived
		}
	}
	if !first && !(oldest && o.ageingDue(c.Class)) {
		o.t.Fatalf("%s went before an earlier deadline", a.ID)
	}
	c.started++
	delete(o.waiting, a.ID)
	o.running[a.ID] = true
	o.passedOverSince[c.Class] = o.now
	o.startsSinceAction++
	if c.Class == model.Action {
		o.startsSinceAction = 0
	}
	if n := len(o.running) + o.earlier; n > min(int(o.gate.Slots), int(o.gate.Connections)) {
		o.t.Fatalf("%d calls run on %d slots and %d connections", n, o.gate.Slots, o.gate.Connections)
	}
}

// arrive sends a new call to the gate.
func (o *oracle) arrive(class model.Class, timeout clock.Millis) {
	o.lastID++
	c := &trackedCall{Call: Call{ID: ident.RequestID(fmt.Sprint(o.lastID)), Class: class, Deadline: o.now + timeout}, arrived: o.now}
	o.calls[c.ID] = c
	if o.waitingIn(class) == 0 {
		o.passedOverSince[class] = o.now
	}
	o.waiting[c.ID] = true
	o.apply(o.gate.Arrive(o.now, c.Call))
	if n := len(o.waiting); n > o.gate.QueueLength+classCount-1 {
		o.t.Fatalf("%d calls wait in a queue of %d", n, o.gate.QueueLength)
	}
}

// finish ends a running call that ran for took.
func (o *oracle) finish(id ident.RequestID, took clock.Millis) {
	delete(o.running, id)
	o.apply(o.gate.Finish(o.now, id, took))
}

// pick draws an id of the set, or returns "" if it is empty.
func pick(t *rapid.T, set map[ident.RequestID]bool) ident.RequestID {
	least := ident.RequestID("")
	want := rapid.IntRange(0, 7).Draw(t, "which")
	for range want + 1 {
		best := ident.RequestID("")
		for id := range set {
			if id > least && (best == "" || id < best) {
				best = id
			}
		}
		if best == "" {
			return least
		}
		least = best
	}
	return least
}

// newOracle returns an oracle with a random gate whose target still runs calls that an
// earlier gate started.
func newOracle(t *rapid.T) *oracle {
	slots := rapid.IntRange(1, 4).Draw(t, "slots")
	o := &oracle{
		t: t, now: 1000, calls: make(map[ident.RequestID]*trackedCall),
		waiting: make(map[ident.RequestID]bool), running: make(map[ident.RequestID]bool),
	}
	o.gate = &Gate{
		Slots: ident.Slots(slots), Connections: ident.Connections(rapid.IntRange(1, 4).Draw(t, "connections")),
		QueueLength: rapid.IntRange(1, 6).Draw(t, "queue"), AgeingMillis: 50, ActionEvery: rapid.IntRange(0, 5).Draw(t, "share"), RunMillis: 5, OccupiedMillis: clock.Forever,
	}
	o.earlier = rapid.IntRange(0, slots).Draw(t, "old")
	o.apply(o.gate.Announce(o.now, o.earlier))
	return o
}

// TestGateInvariants guards against too many running calls, lost calls, a second action
// for a call, starved classes, a wrong order, starts during a drain and starts in slots
// that calls of an earlier gate occupy.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				o.arrive(model.Class(rapid.IntRange(0, 2).Draw(t, "class")), clock.Millis(rapid.IntRange(0, 200).Draw(t, "timeout")))
			},
			"burst": func(t *rapid.T) {
				class := model.Class(rapid.IntRange(0, 2).Draw(t, "class"))
				for range rapid.IntRange(1, 8).Draw(t, "calls") {
					o.arrive(class, 1000)
				}
			},
			"finish": func(t *rapid.T) { o.finish(pick(t, o.running), clock.Millis(rapid.IntRange(1, 20).Draw(t, "took"))) },
			"cancel": func(t *rapid.T) { o.apply(o.gate.Cancel(o.now, pick(t, o.waiting))) },
			"twice":  func(t *rapid.T) { o.apply(o.gate.Arrive(o.now, o.repeatedCall(pick(t, o.running)))) },
			"tick": func(t *rapid.T) {
				o.now += clock.Millis(rapid.IntRange(0, 40).Draw(t, "pause"))
				o.apply(o.gate.Tick(o.now))
			},
			"renew": func(t *rapid.T) {
				o.earlier -= rapid.IntRange(0, o.earlier).Draw(t, "ended")
				seen := rapid.IntRange(0, len(o.running)).Draw(t, "seen")
				o.apply(o.gate.Renew(o.now, o.earlier+seen))
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					o.draining = true
					o.apply(o.gate.Drain(o.now))
				}
			},
		})
		o.settle()
	})
}

// repeatedCall returns a call with the id of a running one, or a new call that has
// already expired if none runs.
func (o *oracle) repeatedCall(id ident.RequestID) Call {
	if c := o.calls[id]; c != nil {
		return Call{ID: id, Class: c.Class, Deadline: o.now + 1000}
	}
	o.lastID++
	id = ident.RequestID(fmt.Sprint(o.lastID))
	o.calls[id] = &trackedCall{Call: Call{ID: id, Deadline: o.now}}
	return o.calls[id].Call
}

// settle ends all calls and checks that each one got exactly one action.
func (o *oracle) settle() {
	o.earlier = 0
	o.apply(o.gate.Announce(o.now, 0))
	o.apply(o.gate.Renew(o.now, 0))
	for len(o.running) > 0 {
		for id := range o.running {
			o.finish(id, 5)
			break
		}
	}
	for id, c := range o.calls {
		if c.started+c.refused != 1 {
			o.t.Fatalf("%s got %d actions, want 1", id, c.started+c.refused)
		}
	}
	if o.draining != (o.drainedCount == 1) {
		o.t.Fatalf("Drained was returned %d times", o.drainedCount)
	}
}

// TestGateRecoversAfterOverload guards against a queue that needs longer to empty after
// an overload than its length accounts for, and against a class that is starved during
// the overload.
func TestGateRecoversAfterOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		o.earlier = 0
		o.apply(o.gate.Renew(o.now, 0))
		o.gate.QueueLength = rapid.IntRange(1, 40).Draw(t, "length")
		limit := min(int(o.gate.Slots), int(o.gate.Connections))
		run := clock.Millis(rapid.IntRange(2, 20).Draw(t, "run"))
		ends := make(map[ident.RequestID]clock.Millis)
		step := func() {
			for id := range o.running {
				if _, known := ends[id]; !known {
					ends[id] = o.now + run
				}
				if o.now >= ends[id] {
					o.finish(id, run)
				}
			}
			o.apply(o.gate.Tick(o.now))
			o.now++
		}
		credit, last, started := 0.0, o.now+1000, [classCount]int{}
		for o.now < last {
			for credit += 3 * float64(limit) / float64(run); credit >= 1; credit-- {
				// Two thirds of the calls have the class of highest priority.
				o.arrive(model.Class(max(0, o.lastID%9-6)), 5000)
			}
			step()
		}
		for _, c := range o.calls {
			started[c.Class] += c.started
		}
		for class, n := range started {
			// A class can be passed over only after one of its calls has arrived.
			gap := 3 * run / clock.Millis(limit)
			if n < 500/int(o.gate.AgeingMillis+2*run+gap) {
				t.Fatalf("class %d started %d times", class, n)
			}
		}
		work := run * clock.Millis(math.Ceil(float64(o.gate.QueueLength+classCount-1)/float64(limit))+1)
		for end := o.now + work + 2*clock.Millis(len(o.waiting)/limit+2); o.now < end; {
			step()
		}
		if len(o.waiting) > 0 {
			t.Fatalf("%d calls wait after %v", len(o.waiting), work)
		}
	})
}

// TestLongWaitIsRefusedAtOnce guards against queueing a call that cannot start
// before its deadline, and against refusing one that can.
func TestLongWaitIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	g := &Gate{Slots: 1, Connections: 1, QueueLength: 9, AgeingMillis: 1000, RunMillis: 10}
	is.Equal(g.Arrive(0, Call{ID: "runs", Class: model.Action, Deadline: 100})[0].Kind, Start)
	is.Equal(len(g.Arrive(0, Call{ID: "waits", Class: model.Action, Deadline: 100})), 0)
	is.Equal(g.Arrive(0, Call{ID: "late", Class: model.Browse, Deadline: 19}), []Action{refuse("late", ReasonWait)})
	is.Equal(len(g.Arrive(0, Call{ID: "first", Class: model.Check, Deadline: 11})), 0)
	g.Finish(40, "runs", 40) // the average follows the first measured run time
	is.Equal(g.Arrive(40, Call{ID: "slow", Class: model.Action, Deadline: 70}), []Action{refuse("slow", ReasonWait)})
}

// TestFailFast guards against queueing a call with FailFast for a long wait, and against
// refusing one while a slot is free or will be soon.
func TestFailFast(t *testing.T) {
	is := is.New(t)
	g := &Gate{Order: ByGoal, Slots: 1, Connections: 1, QueueLength: 4, RunMillis: 20}
	is.Equal(g.Arrive(0, Call{ID: "a", Deadline: 1000, FailFast: true})[0].Kind, Start)
	refused := g.Arrive(1, Call{ID: "b", Goal: 100, Deadline: 1000, FailFast: true})
	is.Equal(refused[0], Action{Kind: Refuse, ID: "b", Reason: ReasonNoFreeSlot})
	is.Equal(len(g.Arrive(2, Call{ID: "c", Goal: 300, Deadline: 1000, FailFast: true})), 0)
	is.Equal(g.Finish(3, "a", 3)[0].ID, ident.RequestID("c"))

	g = &Gate{Order: ByClass, Slots: 1, Connections: 1, QueueLength: 4, RunMillis: 20}
	is.Equal(g.Arrive(0, Call{ID: "a", Deadline: 1000, FailFast: true})[0].Kind, Start)
	is.Equal(g.Arrive(1, Call{ID: "b", Deadline: 100, FailFast: true})[0].Reason, ReasonNoFreeSlot)
}
