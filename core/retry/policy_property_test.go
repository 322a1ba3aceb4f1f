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

// chain simulates a call chain with one ingress per level.
type chain struct {
	t        *rapid.T
	rand     *rand.Rand
	route    model.Route
	policies []*Policy
	now      clock.Millis
	// calls and attempts count by level; the last level has no attempts.
	calls, attempts []int
	// refusedFraction is the fraction of failed attempts that are refused, and
	// lostFraction of those whose answer is lost; the others are answered with an error.
	refusedFraction, lostFraction float64
}

// call makes one call at a level and reports whether it succeeded.
func (c *chain) call(level int) bool {
	c.calls[level]++
	if level == len(c.policies) {
		return true
	}
	p := c.policies[level]
	p.Budget.RecordCall(c.now)
	s := CallState{Route: c.route, Deadline: c.now + c.route.TimeoutMillis}
	for {
		s.Start(c.now)
		c.attempts[level]++
		v, ok := c.try(level)
		s.End(v)
		d := p.Decide(c.now, s, v)
		if d.Kind != Retry {
			if d.Verdict == result.NotRun && s.Uncertain {
				c.t.Fatal("call is reported as not run after an attempt that may have run")
			}
			return ok && d.Verdict == result.Ran
		}
		if v == result.Ran || v == result.MayHaveRun && !c.route.Idempotent {
			c.t.Fatalf("retry after %s, idempotent %t", v, c.route.Idempotent)
		}
		if s.Sent >= min(c.route.MaxAttempts, DefaultMaxAttempts) || d.At < c.now || d.At >= s.Deadline {
			c.t.Fatalf("retry %d at %s, deadline %s", s.Sent, d.At, s.Deadline)
		}
	}
}

// try makes one attempt, of which 30 in 100 fail.
func (c *chain) try(level int) (result.Verdict, bool) {
	if c.rand.Float64() >= 0.3 {
		return result.Ran, c.call(level + 1)
	}
	kind := c.rand.Float64()
	if kind < c.refusedFraction {
		return result.NotRun, false
	}
	c.call(level + 1)
	if kind < c.refusedFraction+c.lostFraction {
		return result.MayHaveRun, false
	}
	return result.Ran, false
}

// TestChainStaysWithinBudget guards against retries that multiply over the levels of a
// call chain. At each of the 30 levels, 30 in 100 attempts fail.
func TestChainStaysWithinBudget(t *testing.T) {
	const levels, calls = 30, 200
	rapid.Check(t, func(t *rapid.T) {
		c := &chain{
			t: t, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			calls: make([]int, levels+1), attempts: make([]int, levels),
			refusedFraction: rapid.Float64Range(0, 1).Draw(t, "refused"),
			lostFraction:    rapid.Float64Range(0, 1).Draw(t, "lost"),
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
			t.Fatalf("%d executions and %d attempts at the last level, bound %f", c.calls[levels], c.attempts[levels-1], bound)
		}
		if !c.route.Idempotent && c.calls[levels] > calls {
			t.Fatalf("%d calls ran %d times at the last level of a chain that is not idempotent", calls, c.calls[levels])
		}
	})
}

// TestBudgetBound guards against a budget that yields more tokens than the calls, the
// elapsed time and the burst allow, also if the clock steps backwards.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{Burst: float64(rapid.IntRange(1, 20).Draw(t, "burst"))}
		now, end, taken, calls := clock.Millis(0), clock.Millis(0), 0.0, 0.0
		b.Tokens(now)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(-500, 1000).Draw(t, "pause"))
			end = max(end, now)
			if rapid.Bool().Draw(t, "call") {
				b.RecordCall(now)
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

// TestHedges guards against a hedge that is not allowed, is too late, or costs no
// tokens.
func TestHedges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPolicy(&Budget{PerSecond: -1, Ratio: 1, Initial: -1})
		for range rapid.IntRange(0, 3).Draw(t, "tokens") {
			p.Budget.RecordCall(0)
		}
		before := p.Budget.Tokens(0)
		s := CallState{
			Route: model.Route{
				Idempotent: rapid.Bool().Draw(t, "idempotent"), Class: model.Class(rapid.IntRange(0, 2).Draw(t, "class")),
				MaxAttempts: rapid.IntRange(1, 5).Draw(t, "attempts"), HedgeAfterMillis: clock.Millis(rapid.IntRange(-1, 20).Draw(t, "after")),
			},
			Sent: rapid.IntRange(1, 4).Draw(t, "sent"), Outstanding: rapid.IntRange(0, 2).Draw(t, "outstanding"),
			SentAt: 5, Deadline: clock.Millis(rapid.IntRange(0, 50).Draw(t, "deadline")),
		}
		allowed := s.Route.Idempotent && s.Route.Class == model.Check && s.Route.HedgeAfterMillis >= 0
		at, due := p.HedgeAt(s, clock.Millis(rapid.IntRange(0, 20).Draw(t, "delay95")))
		if due && (!allowed || at <= s.SentAt || at >= s.Deadline) {
			t.Fatalf("hedge at %s", at)
		}
		now := clock.Millis(rapid.IntRange(5, 60).Draw(t, "now"))
		want := allowed && s.Outstanding == 1 && s.Sent < min(s.Route.MaxAttempts, DefaultMaxAttempts) &&
			now+DefaultMinAttemptMillis <= s.Deadline && before >= hedgeCost
		d := p.Hedge(now, s)
		if (d.Kind == Hedge) != want || (d.Kind == Hedge) != (p.Budget.Tokens(now) == before-hedgeCost) {
			t.Fatalf("%s (%s), want %t", d.Kind, d.Reason, want)
		}
	})
}
