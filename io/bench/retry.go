package bench

import (
	"fmt"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hickoryrail/core/clock"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
	"hickoryrail/core/retry"
	"hickoryrail/core/route"
)

const (
	// retrySeed fixes failures, delays and backoffs.
	retrySeed = 2028
	// chainLevels is the depth of the call chain.
	chainLevels = 30
	// chainFailure is the share of attempts that fail at each level.
	chainFailure = 0.3
	// ChainCalls is the number of calls at the top level for published figures.
	ChainCalls = 300
	// ChainMaxExecutions is the number of executions after which a run is cut off, for
	// published figures. Without a bound the attempts multiply at each level.
	ChainMaxExecutions = 20_000_000
)

// Sizes of the measurement of hedges.
const (
	// HedgeCalls is the number of calls for published figures.
	HedgeCalls = 100_000
	// hedgeRate is the calls per second at one ingress.
	hedgeRate = 370
	// hedgeSlow is the share of attempts that a target delays by 100 ms, as a pause for
	// garbage collection does.
	hedgeSlow = 0.02
)

// Kinds of failure.
const (
	// mixedFailures is a third each of attempts that were refused, that ran and lost
	// their answer, and that were answered with an error.
	mixedFailures = "a third each"
	// allAnswersLost is the worst case: every failed attempt ran and lost its answer.
	allAnswersLost = "all answers lost"
)

type (
	// retryRule decides whether a failed attempt is repeated.
	retryRule func(level int, now clock.Millis, a retry.CallState, v result.Verdict) bool

	// chain is one run of calls through all levels.
	chain struct {
		rand       *rand.Rand
		rule       retryRule
		idempotent bool
		failures   string
		budgets    []*retry.Budget
		now        clock.Millis
		// maxExecutions is the number of executions after which the run is cut off.
		maxExecutions int
		// bottomExecutions counts the executions at the last level, and executions those at
		// all levels.
		bottomExecutions, executions int
		answered                     int
	}
)

// RetryAmplification measures the executions at the bottom of a chain of calls
// with and without the retry budget and the verdict rule. Each run is cut off after
// maxExecutions.
func RetryAmplification(calls, maxExecutions int) *Table {
	t := NewTable(fmt.Sprintf("retry amplification, %d levels, %.0f in 100 attempts fail at each, at most %d calls, seed %d",
		chainLevels, chainFailure*100, calls, retrySeed),
		"failures", "idempotent", "rule", "executions at the bottom per call", "at all levels per call", "answered %", "cut off")
	for _, failures := range []string{mixedFailures, allAnswersLost} {
		for _, idempotent := range []bool{false, true} {
			t.addChain(calls, maxExecutions, failures, "no retries", idempotent,
				func(int, clock.Millis, retry.CallState, result.Verdict) bool { return false })
			t.addChain(calls, maxExecutions, failures, "3 attempts on any failure", idempotent,
				func(_ int, _ clock.Millis, a retry.CallState, _ result.Verdict) bool { return a.Sent < 3 })
			for _, name := range []string{"budget only", "verdict rule only", "budget and verdict rule"} {
				t.addPolicy(calls, maxExecutions, failures, name, idempotent)
			}
		}
	}
	return t
}

// addPolicy runs a chain under the parts of the retry policy that name selects.
func (t *Table) addPolicy(calls, maxExecutions int, failures, name string, idempotent bool) {
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
	t.addChain(calls, maxExecutions, failures, name, idempotent, func(level int, now clock.Millis, a retry.CallState, v result.Verdict) bool {
		if name == "budget only" {
			// The policy treats every failure as one that may be repeated.
			v, a.Route.Idempotent = result.MayHaveRun, true
		}
		return policies[level].Decide(now, a, v).Kind == retry.Retry
	}, budgets...)
}

// addChain runs all calls through a chain under a retry rule and adds a row.
func (t *Table) addChain(maxCalls, maxExecutions int, failures, name string, idempotent bool, r retryRule, budgets ...*retry.Budget) {
	c := &chain{
		rand: rand.New(rand.NewPCG(retrySeed, 1)), rule: r, idempotent: idempotent, failures: failures,
		budgets: budgets, maxExecutions: maxExecutions,
	}
	calls := 0
	for ; calls < maxCalls && c.executions < maxExecutions; calls++ {
		c.now += 10
		if c.call(0) {
			c.answered++
		}
	}
	t.Add(failures, idempotent, name, float64(c.bottomExecutions)/float64(calls), float64(c.executions)/float64(calls),
		100*float64(c.answered)/float64(calls), c.executions >= maxExecutions)
}

// call executes a call at a level and reports whether it succeeded.
func (c *chain) call(level int) bool {
	c.executions++
	if level == chainLevels {
		c.bottomExecutions++
		return true
	}
	if c.executions >= c.maxExecutions {
		return false
	}
	if len(c.budgets) > 0 {
		c.budgets[level].RecordCall(c.now)
	}
	state := retry.CallState{
		Route: model.Route{MaxAttempts: 3, Idempotent: c.idempotent}, Deadline: c.now + clock.Minute,
	}
	for {
		state.Start(c.now)
		v, ok := c.attempt(level)
		state.End(v)
		if ok {
			return true
		}
		if !c.rule(level, c.now, state, v) {
			return false
		}
	}
}

// attempt makes one attempt at the next level. An error of the next level counts as an
// answer.
func (c *chain) attempt(level int) (result.Verdict, bool) {
	if c.rand.Float64() >= chainFailure {
		return result.Ran, c.call(level + 1)
	}
	kind := c.rand.IntN(3)
	switch {
	case c.failures == allAnswersLost || kind == 1:
		c.call(level + 1)
		return result.MayHaveRun, false
	case kind == 0:
		return result.NotRun, false
	default:
		c.call(level + 1)
		return result.Ran, false
	}
}

// Hedges measures the delay of idempotent checks with and without hedges, once with few
// slow attempts and once with attempts that all become slow.
func Hedges(calls int) *Table {
	t := NewTable(fmt.Sprintf("hedges, %d checks at %d calls/s, %.0f in 100 attempts take 100 ms more, seed %d",
		calls, hedgeRate, hedgeSlow*100, retrySeed),
		"delays", "hedges", "p50 ms", "p99 ms", "p99.9 ms", "extra attempts %")
	for _, overload := range []bool{false, true} {
		for _, after := range []clock.Millis{-1, 0} {
			t.addHedges(calls, overload, after)
		}
	}
	return t
}

// addHedges runs the checks and adds a row. Delays are exponential with a mean of 5 ms;
// under overload they triple at the middle of the run.
func (t *Table) addHedges(calls int, overload bool, after clock.Millis) {
	random := rand.New(rand.NewPCG(retrySeed, 5))
	picker := &route.Picker{Self: "node-0", FailureDomain: domainName(0), Region: "one", Rand: random}
	picker.SetView(0, simView(6, 3, 6, 0))
	policy := &retry.Policy{Budget: &retry.Budget{}, Rand: random}
	h := hdrhistogram.New(1, 10_000_000, 3)
	extra := 0
	for i := range calls {
		now := clock.Millis(i) * clock.Second / hedgeRate
		policy.Budget.RecordCall(now)
		drawDelay := func() clock.Millis {
			d := clock.Millis(5 * random.ExpFloat64())
			if random.Float64() < hedgeSlow {
				d += 100
			}
			if overload && i > calls/2 {
				d *= 3
			}
			return d
		}
		state := retry.CallState{
			Route: model.Route{Idempotent: true, Class: model.Check, MaxAttempts: 2, HedgeAfterMillis: after},
			Sent:  1, Outstanding: 1, SentAt: now, Deadline: now + callTimeout,
		}
		first := drawDelay()
		end := now + first
		if at, ok := policy.HedgeAt(state, picker.Delay95(serviceName)); ok && end > at && policy.Hedge(at, state).Kind == retry.Hedge {
			extra++
			end = min(end, at+drawDelay())
		}
		c, _ := picker.Pick(now, serviceName, nil)
		// The picker gets the delay of the first attempt, since the delays of hedges would
		// hide a slow target.
		picker.Done(end, c.Target.ID, route.Outcome{Delay: first, Verdict: result.Ran})
		_ = h.RecordValue(max(int64(1000*(end-now)), 1))
	}
	names := map[bool]string{false: "few slow", true: "all slow from the middle on"}
	hedged := map[bool]string{false: "none", true: "after p95"}
	t.Add(names[overload], hedged[after == 0], float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000,
		float64(h.ValueAtQuantile(99.9))/1000, 100*float64(extra)/float64(calls))
}
