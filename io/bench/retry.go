package bench

import (
	"fmt"
	"math/rand/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
	"hickoryrail/core/retry"
)

const (
	// retrySeed fixes failures and back-offs.
	retrySeed = 2028
	// chainLevels is the depth of the call chain.
	chainLevels = 30
	// chainFailure is the share of attempts that fail at each level.
	chainFailure = 0.3
	// chainCalls is the number of calls at the top.
	chainCalls = 300
	// chainLimit ends a run whose attempts multiply.
	chainLimit = 20_000_000
)

// Kinds of failure.
const (
	// mixed means a third each: refused, lost after it ran, answered with an error.
	mixed = "a third each"
	// allLost is the worst case: every failed attempt ran and lost its answer.
	allLost = "all answers lost"
)

type (
	// rule decides whether an attempt that failed is made again.
	rule func(level int, now clock.Millis, a retry.Attempt, v result.Verdict) bool

	// chain is one run of calls through all levels.
	chain struct {
		rand       *rand.Rand
		rule       rule
		idempotent bool
		failures   string
		budgets    []*retry.Budget
		now        clock.Millis
		// bottom counts executions at the last level, work those at all levels.
		bottom, work int
		answered     int
	}
)

// RetryAmplification measures the executions at the bottom of a chain of calls
// with and without the retry budget and the verdict rule.
func RetryAmplification() *Table {
	t := NewTable(fmt.Sprintf("retry amplification, %d levels, %.0f in 100 attempts fail at each, at most %d calls, seed %d",
		chainLevels, chainFailure*100, chainCalls, retrySeed),
		"failures", "idempotent", "rule", "executions at the bottom per call", "at all levels per call", "answered %", "cut off")
	for _, failures := range []string{mixed, allLost} {
		for _, idempotent := range []bool{false, true} {
			t.addChain(failures, "no retries", idempotent, func(int, clock.Millis, retry.Attempt, result.Verdict) bool { return false })
			t.addChain(failures, "3 attempts on any failure", idempotent, func(_ int, _ clock.Millis, a retry.Attempt, _ result.Verdict) bool { return a.Sent < 3 })
			for _, name := range []string{"budget only", "verdict rule only", "budget and verdict rule"} {
				t.addPolicy(failures, name, idempotent)
			}
		}
	}
	return t
}

// addPolicy runs a chain under parts of the policy.
func (t *Table) addPolicy(failures, name string, idempotent bool) {
	random := rand.New(rand.NewPCG(retrySeed, 7))
	budgets := make([]*retry.Budget, chainLevels)
	policies := make([]*retry.Policy, chainLevels)
	for i := range policies {
		budgets[i] = &retry.Budget{}
		if name == "verdict rule only" {
			budgets[i].Ratio, budgets[i].Burst = 20, 1e9
		}
		policies[i] = &retry.Policy{Budget: budgets[i], Rand: random}
	}
	t.addChain(failures, name, idempotent, func(level int, now clock.Millis, a retry.Attempt, v result.Verdict) bool {
		if name == "budget only" {
			// Every failure counts as one that may be repeated.
			v, a.Route.Idempotent = result.MayHaveRun, true
		}
		return policies[level].Decide(now, a, v).Kind == retry.Retry
	}, budgets...)
}

// addChain runs all calls under a rule and adds a row.
func (t *Table) addChain(failures, name string, idempotent bool, r rule, budgets ...*retry.Budget) {
	c := &chain{rand: rand.New(rand.NewPCG(retrySeed, 1)), rule: r, idempotent: idempotent, failures: failures, budgets: budgets}
	calls := 0
	for ; calls < chainCalls && c.work < chainLimit; calls++ {
		c.now += 10
		if c.call(0) {
			c.answered++
		}
	}
	t.Add(failures, idempotent, name, float64(c.bottom)/float64(calls), float64(c.work)/float64(calls),
		100*float64(c.answered)/float64(calls), c.work >= chainLimit)
}

// call executes a call at a level and reports whether it went well.
func (c *chain) call(level int) bool {
	c.work++
	if level == chainLevels {
		c.bottom++
		return true
	}
	if c.work >= chainLimit {
		return false
	}
	if len(c.budgets) > 0 {
		c.budgets[level].Call(c.now)
	}
	a := retry.Attempt{
		Route: model.Route{MaxAttempts: 3, Idempotent: c.idempotent}, Deadline: c.now + clock.Minute,
	}
	for {
		a.Sent++
		v, ok := c.attempt(level)
		if ok {
			return true
		}
		if !c.rule(level, c.now, a, v) {
			return false
		}
		a.Uncertain = a.Uncertain || v == result.MayHaveRun
	}
}

// attempt makes one attempt at the next level. An error of the next level is an
// answer.
func (c *chain) attempt(level int) (result.Verdict, bool) {
	if c.rand.Float64() >= chainFailure {
		return result.Ran, c.call(level + 1)
	}
	kind := c.rand.IntN(3)
	switch {
	case c.failures == allLost || kind == 1:
		c.call(level + 1)
		return result.MayHaveRun, false
	case kind == 0:
		return result.NotRun, false
	default:
		c.call(level + 1)
		return result.Ran, false
	}
}
