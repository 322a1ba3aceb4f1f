package admit

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/option"
)

// TestStartsKeepTheLimit guards against more starts in any span of time than the limit
// and its burst allow, whatever ends, waits or is cancelled meanwhile and however the
// process is paused, and against calls that wait although they may start.
func TestStartsKeepTheLimit(t *testing.T) {
	for _, order := range []Order{ByClass, ByGoal} {
		rapid.Check(t, func(t *rapid.T) {
			limit := rapid.Float64Range(0.3, 60).Draw(t, "limit")
			g := &Gate{
				Order: order, Slots: ident.Slots(rapid.IntRange(1, 9).Draw(t, "slots")), Connections: 99,
				QueueLength: rapid.IntRange(1, 20).Draw(t, "queue"), AgeingMillis: 50, RunMillis: 10, OccupiedMillis: clock.Minute,
			}
			now := clock.Millis(1000)
			g.SetLimit(now, now, option.Some(limit))
			var starts []clock.Millis
			var running []ident.RequestID
			apply := func(actions []Action) {
				for _, a := range actions {
					if a.Kind == Start {
						starts, running = append(starts, now), append(running, a.ID)
					}
				}
			}
			sent := 0
			t.Repeat(map[string]func(*rapid.T){
				"arrive": func(t *rapid.T) {
					for range rapid.IntRange(1, 12).Draw(t, "calls") {
						sent++
						deadline := now + clock.Millis(rapid.IntRange(1, 3000).Draw(t, "timeout"))
						apply(g.Arrive(now, Call{ID: ident.RequestID(fmt.Sprint(sent)), Deadline: deadline, Goal: deadline}))
					}
				},
				"finish": func(*rapid.T) {
					if len(running) > 0 {
						id := running[0]
						running = running[1:]
						apply(g.Finish(now, id, 10))
					}
				},
				"cancel": func(t *rapid.T) {
					apply(g.Cancel(now, ident.RequestID(fmt.Sprint(rapid.IntRange(0, sent).Draw(t, "call")))))
				},
				"restated": func(*rapid.T) { apply(g.SetLimit(now, now, option.Some(limit))) },
				"late": func(*rapid.T) { // sent before the limit was stated
					apply(g.SetLimit(now, 999, option.None[float64]()))
				},
				"tick": func(*rapid.T) {
					now = max(min(g.Next(), now+100), now)
					apply(g.Tick(now))
				},
				"pause": func(t *rapid.T) {
					now += clock.Millis(rapid.IntRange(1, 4000).Draw(t, "pause"))
					apply(g.Tick(now))
				},
				"": func(t *rapid.T) {
					burst := max(limit*float64(burstMillis/clock.Second), 1)
					for i, from := range starts {
						allowed := burst + limit*float64((now-from)/clock.Second)
						if n := len(starts) - i; float64(n) > allowed+0.01 {
							t.Fatalf("%d starts in %v ms, %v are allowed", n, now-from, allowed)
						}
					}
					if g.Load().Free > 0 && g.Load().Queued > 0 {
						t.Fatalf("calls wait: %+v", g.Load())
					}
					if g.Load().Queued > 0 && len(running) == 0 && g.Next() > now+clock.Millis(1000/limit)+1 {
						t.Fatalf("next tick at %v, now is %v", g.Next(), now)
					}
				},
			})
		})
	}
}

// TestLimitFollowsTheTarget guards against a limit that is lifted or replaced by an
// answer that is older than the one that stated it, and against one that stays for ever.
func TestLimitFollowsTheTarget(t *testing.T) {
	is := is.New(t)
	none := option.None[float64]()
	g := &Gate{Slots: 4, Connections: 9, QueueLength: 4}
	is.Equal(g.Limit(), none)
	g.SetLimit(100, 40, option.Some(20.0))
	is.Equal(g.Limit(), option.Some(20.0))
	g.SetLimit(110, 90, none) // answers a request from before the limit was known
	is.Equal(g.Limit(), option.Some(20.0))
	g.SetLimit(120, 105, option.Some(10.0))
	g.SetLimit(130, 101, option.Some(30.0)) // sent before the request whose answer stated 10
	is.Equal(g.Limit(), option.Some(10.0))
	g.SetLimit(150, 130, none) // not sent after the last answer with a limit
	is.Equal(g.Limit(), option.Some(10.0))
	g.SetLimit(160, 131, none)
	is.Equal(g.Limit(), none)
	g.SetLimit(170, 165, option.Some(0.0)) // some requests go on, since only an answer lifts the limit
	is.Equal(g.Limit(), option.Some(minPerSecond))
	g.ResetLimit()
	is.Equal(g.Limit(), none)
}

// TestHopelessWaitForLimit guards against a call that waits for a limit of requests
// although that leaves no room for it in time, and against a refusal that hides why.
func TestHopelessWaitForLimit(t *testing.T) {
	is := is.New(t)
	for _, order := range []Order{ByClass, ByGoal} {
		g := &Gate{Order: order, Slots: 4, Connections: 9, QueueLength: 20, AgeingMillis: 50, RunMillis: 5}
		g.SetLimit(0, 0, option.Some(10.0))
		is.Equal(len(g.Arrive(0, Call{ID: "first", Deadline: 150})), 0) // starts at 100 ms
		is.Equal(g.Next(), clock.Millis(100))
		is.Equal(g.Arrive(0, Call{ID: "second", Deadline: 160}), []Action{refuse("second", ReasonLimit)})
		is.Equal(g.Tick(100)[0], Action{Kind: Start, ID: "first", Reason: ReasonQueued})
		is.Equal(g.Load().Free, 0) // other nodes prefer other targets
		is.Equal(len(g.Arrive(101, Call{ID: "third", Deadline: 1000})), 0)
		is.Equal(g.SetLimit(110, 102, option.None[float64]())[0].ID, ident.RequestID("third")) // lifted
	}
}

// TestLateCallDoesNotWaitForLimit guards against a call that will miss its goal and waits
// for the limit of requests until its deadline, while other targets have room.
func TestLateCallDoesNotWaitForLimit(t *testing.T) {
	is := is.New(t)
	g := &Gate{Order: ByGoal, Slots: 6, Connections: 9, QueueLength: 20, RunMillis: 10}
	g.SetLimit(0, 0, option.Some(5.0))
	is.Equal(len(g.Arrive(0, Call{ID: "in time", Rank: 1, Goal: 300, Deadline: 1200})), 0)
	is.Equal(g.Arrive(1, Call{ID: "late", Rank: 3, Goal: 200, Deadline: 1200}), []Action{refuse("late", ReasonLimit)})
	is.Equal(g.Tick(200)[0], Action{Kind: Start, ID: "in time", Reason: ReasonQueued})
}
