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

// TestShareHoldsOverAllNodes guards against a sum of repeated arrivals above the
// bound in any window, however the requests are spread over nodes and time.
func TestShareHoldsOverAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const windowMillis = 10 * clock.Second
		n := rapid.IntRange(1, 6).Draw(t, "nodes")
		shares := make([]*Share, n)
		for i := range shares {
			shares[i] = &Share{Ratio: 0.2, Fixed: 64, WindowMillis: windowMillis, Nodes: n}
		}
		type event struct {
			at       clock.Millis
			repeated bool
		}
		var events []event
		now := clock.Millis(rapid.Float64Range(0, 1e6).Draw(t, "start"))
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += clock.Millis(rapid.Float64Range(0, 300).Draw(t, "pause"))
			s := shares[rapid.IntRange(0, n-1).Draw(t, "node")]
			s.Request(now, "s")
			events = append(events, event{at: now})
			for range rapid.IntRange(0, 5).Draw(t, "repeats") {
				if s.Take(now, "s") {
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
			// Requests of the window before count as well; they are left out here.
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

// TestShareSpend guards against repeats that are decided elsewhere and do not count.
func TestShareSpend(t *testing.T) {
	is := is.New(t)
	s := &Share{Ratio: 0, Fixed: 10, WindowMillis: 10 * clock.Second, Nodes: 1}
	for range 7 {
		s.Spend(0, "s")
	}
	is.True(s.Take(0, "s"))
	is.True(!s.Take(0, "s"))
	is.True(s.Take(0, ident.ServiceName("other")))
	is.True(s.Take(11*clock.Second+1, "s")) // the window has passed
}

// TestRefusalsByGatesAreFree guards against a call that is given up after one full
// gate while others are free, against calls that visit gates without end, and against
// repeated arrivals that nobody pays for.
func TestRefusalsByGatesAreFree(t *testing.T) {
	is := is.New(t)
	s := &Share{Fixed: 1.25, WindowMillis: 10 * clock.Second, Nodes: 1} // one repeat with the margin
	p := &Policy{Share: s, Rand: rand.New(rand.NewPCG(1, 2))}
	r := model.Route{Service: "s", MaxAttempts: 2, TimeoutMillis: 1000}
	a := Attempt{Route: r, Deadline: 1000}
	for n := 1; n <= maxRefusals; n++ {
		a.Start(0)
		a.End(result.NotRun)
		d := p.Decide(0, a, result.NotRun)
		is.Equal(d.Kind == Retry, n < maxRefusals)
		is.Equal(d.Verdict, map[bool]result.Verdict{true: result.MayHaveRun, false: result.NotRun}[n < maxRefusals])
	}
	arrived := Attempt{Route: r, Deadline: 1000, Sent: 1, Arrivals: 1}
	is.Equal(p.Decide(0, arrived, result.NotRun).Kind, Retry) // the one repeat
	is.Equal(p.Decide(0, arrived, result.NotRun).Reason, ReasonBudget)
	arrived.Arrivals, arrived.Sent = 2, 2
	is.Equal(p.Decide(0, arrived, result.NotRun).Reason, ReasonAttempts)
}

// TestAfterFailure guards against a repeated action, a repeat without time for a good
// answer, and one that the bound does not allow.
func TestAfterFailure(t *testing.T) {
	is := is.New(t)
	p := &Policy{
		Share: &Share{Fixed: 1.25, WindowMillis: 10 * clock.Second, Nodes: 1}, RetryFailures: true,
		Rand: rand.New(rand.NewPCG(1, 2)),
	}
	r := model.Route{Service: "s", MaxAttempts: 2, Idempotent: true, GoalMillis: 200}
	a := Attempt{Route: r, Deadline: 800, Sent: 1, Arrivals: 1}
	is.Equal(p.AfterFailure(750, a).Kind, Finish) // no time
	action := a
	action.Route.Idempotent = false
	is.Equal(p.AfterFailure(0, action).Kind, Finish)
	is.Equal(p.AfterFailure(0, a).Kind, Retry)
	d := p.AfterFailure(0, a) // the share is used up
	is.Equal(d.Kind, Finish)
	is.Equal(d.Verdict, result.Ran)
	p.RetryFailures = false
	is.Equal(p.AfterFailure(20*clock.Second, Attempt{Route: r, Deadline: 21 * clock.Second}).Kind, Finish)
}
