package retry

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
)

// TestWindowBudgetHoldsOverAllNodes guards against a sum of repeated arrivals above the
// bound in any window, however the requests are spread over nodes and time.
func TestWindowBudgetHoldsOverAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const windowMillis = 10 * clock.Second
		n := rapid.IntRange(1, 6).Draw(t, "nodes")
		budgets := make([]*WindowBudget, n)
		for i := range budgets {
			budgets[i] = &WindowBudget{Ratio: 0.2, Fixed: 64, WindowMillis: windowMillis, Nodes: n}
		}
		type event struct {
			at       clock.Millis
			repeated bool
		}
		var events []event
		now := clock.Millis(rapid.Float64Range(0, 1e6).Draw(t, "start"))
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += clock.Millis(rapid.Float64Range(0, 300).Draw(t, "pause"))
			b := budgets[rapid.IntRange(0, n-1).Draw(t, "node")]
			b.RecordRequest(now, "s")
			events = append(events, event{at: now})
			for range rapid.IntRange(0, 5).Draw(t, "repeats") {
				if b.Take(now, "s") {
					events = append(events, event{at: now, repeated: true})
				}
			}
		}
		for i := range events {
			requests, repeats := 0, 0
			for _, e := range events[i:] {
				if e.at >= events[i].at+windowMillis {
					break
				}
				if e.repeated {
					repeats++
				} else {
					requests++
				}
			}
			// A node's window can begin before the one that is checked here, so the
			// requests of the preceding window may be the ones that allow the repeats.
			before := 0
			for _, e := range events[:i] {
				if e.at >= events[i].at-windowMillis && !e.repeated {
					before++
				}
			}
			if float64(repeats) > 0.2*float64(max(requests, before))+64 {
				t.Fatalf("%d repeats for %d requests, %d before", repeats, requests, before)
			}
		}
	})
}

// TestWindowBudgetLeavesRoomForCalls guards against a sum above the bound when some nodes
// make many calls for repeated requests, which need no permission, and all others use up
// their parts. It replays the load of a day at 80 nodes: a quarter of them, whose targets
// run most of the repeated requests, make 35 in 100 of their calls for such requests.
func TestWindowBudgetLeavesRoomForCalls(t *testing.T) {
	is := is.New(t)
	const (
		nodes, ratio, fixed = 80, 0.2, 202
		requestsPerNode     = 213 // in a window
		windowMillis        = 10 * clock.Second
	)
	repeats := 0
	for i := range nodes {
		b := &WindowBudget{Ratio: ratio, Fixed: fixed, WindowMillis: windowMillis, Nodes: nodes}
		for r := range requestsPerNode {
			now := windowMillis * clock.Millis(r) / requestsPerNode
			b.RecordRequest(now, "s")
			if i%4 == 0 && r%100 < 35 && b.TakeCall(now, "s") {
				repeats++
			}
			for b.Take(now, "s") {
				repeats++
			}
		}
	}
	is.True(float64(repeats) <= ratio*nodes*requestsPerNode+fixed)
}

// TestWindowBudgetBoundsCallsOfRetries guards against calls of retried requests without a
// bound: a service that refuses half of its calls makes the requests fail that need them,
// and every retry of those makes more calls. It plays the service that all requests of
// half of the nodes call twice, while a third of these requests are retried ones.
func TestWindowBudgetBoundsCallsOfRetries(t *testing.T) {
	is := is.New(t)
	const (
		nodes, ratio, fixed = 30, 0.2, 30
		requestsPerNode     = 80 // in a window
		windowMillis        = 10 * clock.Second
	)
	requests, repeats, calls := 0, 0, 0
	for i := range nodes {
		b := &WindowBudget{Ratio: ratio, Fixed: fixed, WindowMillis: windowMillis, Nodes: nodes}
		for r := range requestsPerNode {
			now := windowMillis * clock.Millis(r) / requestsPerNode
			b.RecordRequest(now, "s")
			requests++
			if i%2 == 0 && r%3 == 0 {
				for range 2 {
					b.RecordRequest(now, "s")
					requests++
					if b.TakeCall(now, "s") {
						calls++
					}
				}
			}
			for b.Take(now, "s") {
				repeats++
			}
		}
	}
	is.True(float64(repeats+calls) <= ratio*float64(requests)+fixed)
	is.True(calls > 0)
}

// TestFixedPartInUnknownFleet guards against a sum above the bound when nodes do not know
// all others: each takes its part of the fixed amount for the one of a smaller fleet. The
// nodes of a fleet start together and learn of each other within a second, and are then
// partitioned into single nodes.
func TestFixedPartInUnknownFleet(t *testing.T) {
	is := is.New(t)
	const (
		nodes, fixed = 80, 64
		windowMillis = 10 * clock.Second
	)
	for _, known := range []struct {
		at    clock.Millis
		nodes int
	}{{0, 1}, {1 * clock.Second, nodes}, {25 * clock.Second, 1}, {30 * clock.Second, nodes}} {
		repeats := 0
		for range nodes {
			b := &WindowBudget{Fixed: fixed, WindowMillis: windowMillis}
			b.SetNodes(0, 1)
			b.SetNodes(500, nodes)
			b.SetNodes(known.at, known.nodes)
			for b.Take(known.at, "s") {
				repeats++
			}
		}
		is.True(repeats <= fixed)
	}
}

// TestFixedPartIsUsed guards against a fixed amount that is never available, and against
// one that stays at the part of a fleet that has become smaller.
func TestFixedPartIsUsed(t *testing.T) {
	is := is.New(t)
	b := &WindowBudget{Fixed: 100, WindowMillis: 10 * clock.Second}
	taken := func(now clock.Millis) int {
		n := 0
		for b.Take(now, "s") {
			n++
		}
		return n
	}
	b.SetNodes(0, 10)
	is.Equal(taken(5*clock.Second), 0)
	is.Equal(taken(11*clock.Second), 7) // 100 / 10 nodes, less the margin
	b.SetNodes(12*clock.Second, 5)      // half of the fleet may be out of reach
	is.Equal(taken(30*clock.Second), 7)
	b.SetNodes(12*clock.Second+nodesKeepMillis, 5) // it was removed
	is.Equal(taken(13*clock.Second+nodesKeepMillis), 14)
}

// TestWindowBudgetTakeCall guards against calls of retried requests that are not counted as
// repeated arrivals, and against retries that leave them no room.
func TestWindowBudgetTakeCall(t *testing.T) {
	is := is.New(t)
	b := &WindowBudget{Ratio: 0, Fixed: 8.01 / windowMargin, WindowMillis: 10 * clock.Second, Nodes: 1}
	for range 7 {
		is.True(b.TakeCall(0, "s"))
	}
	is.True(b.Take(0, "s"))
	is.True(!b.Take(0, "s"))
	is.True(b.TakeCall(0, "s"))
	is.True(b.Take(0, ident.ServiceName("other")))
	is.True(b.Take(11*clock.Second+1, "s")) // the window has passed
}

// TestRefusalsByGatesAreFree guards against a call that ends after the refusal of one
// gate while others are free, against calls that try gates without a bound, and
// against repeated arrivals that aren't counted in the budget.
func TestRefusalsByGatesAreFree(t *testing.T) {
	is := is.New(t)
	b := &WindowBudget{Fixed: 1.01 / windowMargin, WindowMillis: 10 * clock.Second, Nodes: 1} // one repeat with the margin
	p := &Policy{WindowBudget: b, Rand: rand.New(rand.NewPCG(1, 2))}
	r := model.Route{Service: "s", MaxAttempts: 2, TimeoutMillis: 1000}
	s := CallState{Route: r, Deadline: 1000}
	for n := 1; n <= maxRefusals; n++ {
		s.Start(0)
		s.End(result.NotRun)
		d := p.Decide(0, s, result.NotRun)
		is.Equal(d.Kind == Retry, n < maxRefusals)
		is.Equal(d.Verdict, map[bool]result.Verdict{true: result.MayHaveRun, false: result.NotRun}[n < maxRefusals])
	}
	arrived := CallState{Route: r, Deadline: 1000, Sent: 1, Arrivals: 1}
	is.Equal(p.Decide(0, arrived, result.NotRun).Kind, Retry) // the one allowed repeat
	is.Equal(p.Decide(0, arrived, result.NotRun).Reason, ReasonBudget)
	arrived.Arrivals, arrived.Sent = 2, 2
	is.Equal(p.Decide(0, arrived, result.NotRun).Reason, ReasonAttempts)
}

// TestAfterFailure guards against retries of requests that aren't idempotent, retries
// without enough time before the deadline, and retries beyond the budget.
func TestAfterFailure(t *testing.T) {
	is := is.New(t)
	p := &Policy{
		WindowBudget: &WindowBudget{Fixed: 1.01 / windowMargin, WindowMillis: 10 * clock.Second, Nodes: 1}, RetryFailures: true,
		Rand: rand.New(rand.NewPCG(1, 2)),
	}
	r := model.Route{Service: "s", MaxAttempts: 2, Idempotent: true, GoalMillis: 200}
	s := CallState{Route: r, Deadline: 800, Sent: 1, Arrivals: 1}
	is.Equal(p.AfterFailure(750, s).Kind, Finish) // no time
	notIdempotent := s
	notIdempotent.Route.Idempotent = false
	is.Equal(p.AfterFailure(0, notIdempotent).Kind, Finish)
	is.Equal(p.AfterFailure(0, s).Kind, Retry)
	d := p.AfterFailure(0, s) // the budget is used up
	is.Equal(d.Kind, Finish)
	is.Equal(d.Verdict, result.Ran)
	p.RetryFailures = false
	is.Equal(p.AfterFailure(20*clock.Second, CallState{Route: r, Deadline: 21 * clock.Second}).Kind, Finish)
}
