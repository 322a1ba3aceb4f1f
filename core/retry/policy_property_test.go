package retry

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
)

// chain is a call chain with one ingress per level.
type chain struct {
	t        *rapid.T
	rand     *rand.Rand
	route    model.Route
	policies []*Policy
	now      clock.Millis
	// calls and attempts count by level; the last level has no attempts.
	calls, attempts []int
	// refused and lost are the shares of failures of each kind; the rest of the
	// failing share is answered with an error.
	refused, lost float64
}

// call makes one call at a level and reports whether it was answered well.
func (c *chain) call(level int) bool {
	c.calls[level]++
	if level == len(c.policies) {
		return true
	}
	p := c.policies[level]
	p.Budget.Call(c.now)
	a := Attempt{Route: c.route, Deadline: c.now + c.route.TimeoutMillis}
	for {
		a.Start(c.now)
		c.attempts[level]++
		v, ok := c.try(level)
		a.End(v)
		d := p.Decide(c.now, a, v)
		if d.Kind != Retry {
			if d.Verdict == result.NotRun && a.Uncertain {
				c.t.Fatal("call is reported as not run after an attempt that may have run")
			}
			return ok && d.Verdict == result.Ran
		}
		if v == result.Ran || v == result.MayHaveRun && !c.route.Idempotent {
			c.t.Fatalf("retry after %s, idempotent %t", v, c.route.Idempotent)
		}
		if a.Sent >= min(c.route.MaxAttempts, DefaultMaxAttempts) || d.At < c.now || d.At >= a.Deadline {
			c.t.Fatalf("retry %d at %s, deadline %s", a.Sent, d.At, a.Deadline)
		}
	}
}

// try makes one attempt, of which 30 in 100 fail.
func (c *chain) try(level int) (result.Verdict, bool) {
	if c.rand.Float64() >= 0.3 {
		return result.Ran, c.call(level + 1)
	}
	kind := c.rand.Float64()
	if kind < c.refused {
		return result.NotRun, false
	}
	c.call(level + 1)
	if kind < c.refused+c.lost {
		return result.MayHaveRun, false
	}
	return result.Ran, false
}

// TestChainStaysWithinBudget guards against attempts that multiply across 30
// levels of calls, 30 in 100 of which fail.
func TestChainStaysWithinBudget(t *testing.T) {
	const levels, calls = 30, 200
	rapid.Check(t, func(t *rapid.T) {
		c := &chain{
			t: t, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			calls: make([]int, levels+1), attempts: make([]int, levels),
			refused: rapid.Float64Range(0, 1).Draw(t, "refused"), lost: rapid.Float64Range(0, 1).Draw(t, "lost"),
			route: model.Route{
				Idempotent: rapid.Bool().Draw(t, "idempotent"), MaxAttempts: rapid.IntRange(1, 5).Draw(t, "attempts"),
				TimeoutMillis: clock.Millis(rapid.IntRange(1, 1000).Draw(t, "timeout")),
			},
		}
		for range levels {
			c.policies = append(c.policies, newPolicy(&Budget{}))
		}
		for range calls {
			c.now += clock.Millis(c.rand.Float64() * 20)
			c.call(0)
		}
		for i := range levels {
			// Each level may add a tenth of its own calls, one attempt a second and
			// the initial tokens.
			bound := 1.1*float64(c.calls[i]) + float64(c.now/clock.Second) + DefaultInitial
			if float64(c.attempts[i]) > bound {
				t.Fatalf("level %d made %d attempts for %d calls", i, c.attempts[i], c.calls[i])
			}
		}
		// A retry after MayHaveRun costs five tokens, so each level may multiply the
		// executions of the lower ones by 1.02, by 1.002 for two seconds of time, and
		// by 1.005 for the initial tokens.
		bound := math.Pow(1.027, levels) * calls
		if float64(c.calls[levels]) > bound || float64(c.attempts[levels-1]) > 1.1*bound {
			t.Fatalf("%d executions and %d attempts at the bottom, bound %f", c.calls[levels], c.attempts[levels-1], bound)
		}
		if !c.route.Idempotent && c.calls[levels] > calls {
			t.Fatalf("%d calls ran %d times at the bottom of a chain that is not idempotent", calls, c.calls[levels])
		}
	})
}

// TestBudgetBound guards against a bucket that yields more than its calls, its
// time and its burst allow, also when the clock steps.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{Burst: float64(rapid.IntRange(1, 20).Draw(t, "burst"))}
		now, end, taken, calls := clock.Millis(0), clock.Millis(0), 0.0, 0.0
		b.Tokens(now)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(-500, 1000).Draw(t, "pause"))
			end = max(end, now)
			if rapid.Bool().Draw(t, "call") {
				b.Call(now)
				calls++
			} else if b.Take(now, 1) {
				taken++
			}
			if tokens := b.Tokens(now); tokens < 0 || tokens > b.Burst {
				t.Fatalf("%f tokens", tokens)
			}
		}
		if taken > DefaultInitial+DefaultRatio*calls+float64(end/clock.Second)*DefaultPerSecond+0.001 {
			t.Fatalf("%f tokens taken for %f calls in %s", taken, calls, end)
		}
	})
}

// TestHedges guards against a hedge that is not allowed, comes too late, or takes
// no token.
func TestHedges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPolicy(&Budget{PerSecond: -1, Ratio: 1, Initial: -1})
		for range rapid.IntRange(0, 3).Draw(t, "tokens") {
			p.Budget.Call(0)
		}
		before := p.Budget.Tokens(0)
		a := Attempt{
			Route: model.Route{
				Idempotent: rapid.Bool().Draw(t, "idempotent"), Class: model.Class(rapid.IntRange(0, 2).Draw(t, "class")),
				MaxAttempts: rapid.IntRange(1, 5).Draw(t, "attempts"), HedgeAfterMillis: clock.Millis(rapid.IntRange(-1, 20).Draw(t, "after")),
			},
			Sent: rapid.IntRange(1, 4).Draw(t, "sent"), Outstanding: rapid.IntRange(0, 2).Draw(t, "outstanding"),
			SentAt: 5, Deadline: clock.Millis(rapid.IntRange(0, 50).Draw(t, "deadline")),
		}
		allowed := a.Route.Idempotent && a.Route.Class == model.Check && a.Route.HedgeAfterMillis >= 0
		at, due := p.HedgeAt(a, clock.Millis(rapid.IntRange(0, 20).Draw(t, "delay95")))
		if due && (!allowed || at <= a.SentAt || at >= a.Deadline) {
			t.Fatalf("hedge at %s", at)
		}
		now := clock.Millis(rapid.IntRange(5, 60).Draw(t, "now"))
		want := allowed && a.Outstanding == 1 && a.Sent < min(a.Route.MaxAttempts, DefaultMaxAttempts) &&
			now+DefaultLeastMillis <= a.Deadline && before >= hedgeTokens
		d := p.Hedge(now, a)
		if (d.Kind == Hedge) != want || (d.Kind == Hedge) != (p.Budget.Tokens(now) == before-hedgeTokens) {
			t.Fatalf("%s (%s), want %t", d.Kind, d.Reason, want)
		}
	})
}
