package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

const (
	// loadSlots to loadDeadline are the values of the users' largest kind of
	// request: a target with 6 slots, a run time of 60 ms, a goal of 200 ms and a
	// timeout of 800 ms.
	loadSlots    = 6
	loadRun      = 60 * clock.Millis(1)
	loadGoal     = 200 * clock.Millis(1)
	loadDeadline = 800 * clock.Millis(1)
)

// outcomes counts the calls of a rank by outcome.
type outcomes struct {
	arrived, inGoal, late, refused int
}

// simulate runs a gate under a constant load for length and returns the outcomes by
// rank. The factor is the ratio of offered work to slots; every third call has rank 1, the
// others have rank 3.
func simulate(order Order, factor float64, length clock.Millis) map[Rank]*outcomes {
	random := rand.New(rand.NewPCG(3, 5))
	g := &Gate{
		Order: order, Slots: loadSlots, Connections: 130, QueueLength: 64,
		AgeingMillis: 100, RunMillis: 10, OccupiedMillis: clock.Minute,
	}
	out := map[Rank]*outcomes{1: {}, 3: {}}
	type running struct {
		call Call
		took clock.Millis
		ends clock.Millis
	}
	var runs []running
	calls := make(map[ident.RequestID]Call)
	arrivedAt := make(map[ident.RequestID]clock.Millis)
	apply := func(now clock.Millis, actions []Action) {
		for _, a := range actions {
			c := calls[a.ID]
			switch a.Kind {
			case Start:
				took := loadRun * clock.Millis(0.5+random.Float64())
				runs = append(runs, running{c, took, now + took})
			case Refuse:
				out[c.Rank].refused++
			}
		}
	}
	gap := loadRun / loadSlots / clock.Millis(factor)
	next := clock.Millis(0)
	for now := clock.Millis(0); now < length; now++ {
		for i := 0; i < len(runs); i++ {
			if r := runs[i]; r.ends <= now {
				runs = append(runs[:i], runs[i+1:]...)
				i--
				if now <= r.call.Goal {
					out[r.call.Rank].inGoal++
				} else {
					out[r.call.Rank].late++
				}
				apply(now, append([]Action(nil), g.Finish(now, r.call.ID, r.took)...))
			}
		}
		for next <= now {
			next += gap * clock.Millis(random.ExpFloat64())
			id := ident.RequestID(fmt.Sprint(len(calls)))
			c := Call{ID: id, Class: model.Browse, Rank: 3, Goal: now + loadGoal, Deadline: now + loadDeadline}
			if len(calls)%3 == 0 {
				c.Rank, c.Class = 1, model.Check
			}
			calls[id], arrivedAt[id] = c, now
			out[c.Rank].arrived++
			apply(now, append([]Action(nil), g.Arrive(now, c)...))
		}
		if now >= g.Next() {
			apply(now, append([]Action(nil), g.Tick(now)...))
		}
	}
	return out
}

// TestOverloadByGoal guards against a collapse of goodput under sustained overload: if
// ordered by class and deadline, the calls of the last rank wait for most of their time,
// and nearly all answers are late. It simulates 40 s at 1.4 times the capacity.
func TestOverloadByGoal(t *testing.T) {
	byClass, byGoal := simulate(ByClass, 1.4, 40*clock.Second), simulate(ByGoal, 1.4, 40*clock.Second)
	lastByClass, last, first := byClass[3], byGoal[3], byGoal[1]
	if last.inGoal < 4*lastByClass.inGoal {
		t.Errorf("%+v by goal is not better than %+v by class", last, lastByClass)
	}
	if last.late > last.inGoal/4 {
		t.Errorf("by goal, %d are late and %d are not", last.late, last.inGoal)
	}
	served := func(o map[Rank]*outcomes) int { return o[1].inGoal + o[1].late + o[3].inGoal + o[3].late }
	if served(byGoal) < served(byClass)*95/100 {
		t.Errorf("slots are idle: %d by goal, %d by class", served(byGoal), served(byClass))
	}
	if first.refused > first.arrived/100 || first.inGoal < first.arrived*95/100 {
		t.Errorf("the first rank has the outcomes %+v", first)
	}
}

// TestGoalQueueInvariants guards against a call without an outcome or with two, a start
// after the deadline, and a call that waits although a slot is free.
func TestGoalQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &Gate{
			Order: ByGoal, Slots: ident.Slots(rapid.IntRange(1, 4).Draw(t, "slots")), Connections: 9,
			QueueLength: rapid.IntRange(1, 8).Draw(t, "length"), RunMillis: 10, OccupiedMillis: clock.Minute,
		}
		now := clock.Millis(0)
		calls := make(map[ident.RequestID]Call)
		outcome := make(map[ident.RequestID]Kind)
		running := make(map[ident.RequestID]bool)
		apply := func(actions []Action) {
			for _, a := range append([]Action(nil), actions...) {
				if a.Kind == Drained {
					continue
				}
				if _, twice := outcome[a.ID]; twice {
					t.Fatalf("%s has a second outcome", a.ID)
				}
				outcome[a.ID] = a.Kind
				if a.Kind == Start {
					if now >= calls[a.ID].Deadline {
						t.Fatalf("%s was started after its deadline", a.ID)
					}
					running[a.ID] = true
				}
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += clock.Millis(rapid.Float64Range(0, 30).Draw(t, "pause"))
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step < 5:
				id := ident.RequestID(fmt.Sprint(len(calls)))
				c := Call{ID: id, Rank: Rank(rapid.IntRange(0, 9).Draw(t, "rank")), Deadline: now + clock.Millis(rapid.Float64Range(0, 300).Draw(t, "deadline"))}
				if rapid.Bool().Draw(t, "goal") {
					c.Goal = now + clock.Millis(rapid.Float64Range(-50, 200).Draw(t, "goal in"))
				}
				calls[id] = c
				apply(g.Arrive(now, c))
			case step < 8:
				for id := range running {
					delete(running, id)
					apply(g.Finish(now, id, clock.Millis(rapid.Float64Range(0, 100).Draw(t, "took"))))
					break
				}
			case step == 8 && len(calls) > 0:
				apply(g.Cancel(now, ident.RequestID(fmt.Sprint(rapid.IntRange(0, len(calls)-1).Draw(t, "cancelled")))))
			default:
				apply(g.Tick(now))
			}
			apply(g.Tick(now))
			if l := g.Load(); l.Free > 0 && l.Queued > 0 {
				t.Fatalf("%d calls wait although %d slots are free", l.Queued, l.Free)
			}
		}
		apply(g.Drain(now))
		for id := range calls {
			if _, ended := outcome[id]; !ended {
				t.Fatalf("%s has no outcome", id)
			}
		}
	})
}
