package retry

import (
	"math/rand/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
)

const (
	// DefaultMaxAttempts bounds the attempts of one call on every route.
	DefaultMaxAttempts = 3
	// DefaultBaseBackoffMillis is the mean backoff before the first retry.
	DefaultBaseBackoffMillis clock.Millis = 4
	// DefaultMaxBackoffMillis bounds a backoff.
	DefaultMaxBackoffMillis clock.Millis = 250
	// maxRefusals bounds the attempts of a call that gates refuse, not counting
	// fail-fast ones. A refusal costs a round trip to a node but no work of a target.
	maxRefusals = 3
	// minGoalFraction is the fraction of the response-time goal that must be left
	// before the deadline for another attempt after a failure.
	minGoalFraction = 0.5
	// DefaultMinAttemptMillis is the least time that must be left before the deadline
	// for another attempt.
	DefaultMinAttemptMillis clock.Millis = 1
)

const (
	// Finish ends the call with the decision's verdict and reason.
	Finish Kind = iota
	// Retry sends an attempt to another target at the decision's instant.
	Retry
	// Hedge sends an attempt to another target now, in parallel with the outstanding
	// one.
	Hedge
	// Wait sends no attempt: the outstanding attempts decide the call.
	Wait
)

// Reasons of a decision.
const (
	ReasonAnswered    = "target answered"
	ReasonNotRun      = "attempt was not run"
	ReasonIdempotent  = "route is idempotent"
	ReasonMayHaveRun  = "attempt may have run"
	ReasonAttempts    = "attempts used up"
	ReasonBudget      = "retry budget used up"
	ReasonDeadline    = "deadline leaves no time for another attempt"
	ReasonOutstanding = "another attempt is outstanding"
	ReasonSlow        = "attempt is slower than expected"
	ReasonNoHedge     = "route allows no hedge"
	ReasonFailed      = "target answered with a failure"
)

type (
	// Kind is the next step of a call.
	Kind uint8

	// CallState is the state of one call at its ingress, over all its attempts.
	CallState struct {
		Route model.Route
		// Sent counts the attempts so far, hedges included.
		Sent int
		// Arrivals counts the attempts that reached a target, or may have.
		Arrivals int
		// FastRefusals counts the fail-fast attempts that were refused because no slot
		// was free.
		FastRefusals int
		// Outstanding counts the attempts without an outcome.
		Outstanding int
		// Uncertain reports whether an attempt's verdict was MayHaveRun.
		Uncertain bool
		// SentAt is the instant of the last attempt.
		SentAt clock.Millis
		// Deadline is the instant at which the caller gives up.
		Deadline clock.Millis
	}

	// Decision is the next step of a call and its reason.
	Decision struct {
		Kind Kind
		// At is the instant of a retry; before the deadline.
		At clock.Millis
		// Verdict is the verdict of the whole call if Kind is Finish. It is NotRun only
		// if no attempt can have run.
		Verdict result.Verdict
		// Reason is a constant phrase.
		Reason string
	}

	// Policy decides on retries and hedges. It is not safe for concurrent use.
	Policy struct {
		// Budget bounds the extra attempts of all calls; required if WindowBudget is
		// nil.
		Budget *Budget
		// WindowBudget, if set, replaces Budget and bounds the repeated arrivals at
		// targets. Attempts that a gate refused are then free, up to maxRefusals for
		// each call.
		WindowBudget *WindowBudget
		// RetryFailures retries an idempotent request whose target answered with a
		// failure, if the time to the deadline is at least half of the route's
		// response-time goal.
		RetryFailures bool
		// Rand is the source of the jitter of the backoff; required.
		Rand *rand.Rand
		// MaxAttempts bounds the attempts of a call, as does its route; the smaller
		// number applies. 0 means DefaultMaxAttempts.
		MaxAttempts int
		// BaseBackoffMillis is the mean backoff before the first retry; it doubles
		// with each one. 0 means DefaultBaseBackoffMillis.
		BaseBackoffMillis clock.Millis
		// MaxBackoffMillis bounds a backoff; 0 means DefaultMaxBackoffMillis.
		MaxBackoffMillis clock.Millis
		// MinAttemptMillis is the least time that must be left before the deadline for
		// another attempt; 0 means DefaultMinAttemptMillis.
		MinAttemptMillis clock.Millis
	}
)

// kindNames holds the text form of each kind.
var kindNames = [...]string{"Finish", "Retry", "Hedge", "Wait"}

// String returns the kind's name.
func (k Kind) String() string {
	return kindNames[min(int(k), len(kindNames)-1)]
}

// Start counts an attempt that is being sent.
func (s *CallState) Start(now clock.Millis) {
	s.Sent++
	s.Outstanding++
	s.SentAt = now
}

// End records the verdict of an attempt. The caller then calls Decide.
func (s *CallState) End(v result.Verdict) {
	s.Outstanding--
	s.Uncertain = s.Uncertain || v == result.MayHaveRun
}

// Verdict returns the verdict of the whole call if no further attempt is made.
func (s *CallState) Verdict() result.Verdict {
	if s.Uncertain || s.Outstanding > 0 {
		return result.MayHaveRun
	}
	return result.NotRun
}

// Decide returns the next step of a call after an attempt that ended with verdict v
// and that End has recorded.
func (p *Policy) Decide(now clock.Millis, s CallState, v result.Verdict) Decision {
	switch v {
	case result.Ran:
		return Decision{Kind: Finish, Verdict: result.Ran, Reason: ReasonAnswered}
	case result.NotRun:
		if s.Outstanding > 0 {
			return Decision{Kind: Wait, Reason: ReasonOutstanding}
		}
		return p.retry(now, s, 1, ReasonNotRun)
	}
	s.Uncertain = true
	if !s.Route.Idempotent {
		return finish(s, ReasonMayHaveRun)
	}
	if s.Outstanding > 0 {
		return Decision{Kind: Wait, Reason: ReasonOutstanding}
	}
	return p.retry(now, s, repeatCost, ReasonIdempotent)
}

// AfterFailure returns the next step of a call after an answer that reports a failure
// of the target. If it is Finish, the caller gets that answer.
func (p *Policy) AfterFailure(now clock.Millis, s CallState) Decision {
	answered := Decision{Kind: Finish, Verdict: result.Ran, Reason: ReasonAnswered}
	if !p.RetryFailures || !s.Route.Idempotent || s.Outstanding > 0 {
		return answered
	}
	if s.Deadline-now < s.Route.GoalMillis*minGoalFraction {
		return answered
	}
	d := p.retry(now, s, repeatCost, ReasonFailed)
	if d.Kind != Retry {
		return answered
	}
	return d
}

// retry returns a Retry if the bound on attempts, the deadline and the budget allow
// one, and otherwise Finish. cost is in tokens of Budget.
func (p *Policy) retry(now clock.Millis, s CallState, cost float64, reason string) Decision {
	if p.exhausted(s) {
		return finish(s, ReasonAttempts)
	}
	at := now + p.backoff(s.Sent)
	if p.WindowBudget != nil && s.Arrivals == 0 {
		at = now // no backoff: no target was loaded, and another gate may be free
	}
	if at+orDefault(p.MinAttemptMillis, DefaultMinAttemptMillis) > s.Deadline {
		return finish(s, ReasonDeadline)
	}
	if !p.takeRepeat(now, s, cost) {
		return finish(s, ReasonBudget)
	}
	return Decision{Kind: Retry, At: at, Reason: reason}
}

// exhausted reports whether a call has no attempt left.
func (p *Policy) exhausted(s CallState) bool {
	if p.WindowBudget == nil {
		return s.Sent >= p.maxAttempts(s.Route)
	}
	return s.Arrivals >= p.maxAttempts(s.Route) || s.Sent-s.Arrivals-s.FastRefusals >= maxRefusals
}

// takeRepeat takes the cost of another attempt from the budget and reports whether it
// was available. With a WindowBudget, a call that has reached no target pays nothing.
func (p *Policy) takeRepeat(now clock.Millis, s CallState, cost float64) bool {
	switch {
	case p.WindowBudget == nil:
		return p.Budget.Take(now, cost)
	case s.Arrivals == 0:
		return true
	}
	return p.WindowBudget.Take(now, s.Route.Service)
}

// RecordCall counts a new call in the budget and reports whether it may be made. repeated
// means that a request makes it which was itself retried; it then counts as a repeated
// arrival in a WindowBudget, and is refused if that has no room.
func (p *Policy) RecordCall(now clock.Millis, r model.Route, repeated bool) bool {
	if p.WindowBudget == nil {
		p.Budget.RecordCall(now)
		return true
	}
	p.WindowBudget.RecordRequest(now, r.Service)
	return !repeated || p.WindowBudget.TakeCall(now, r.Service)
}

// finish returns the decision that ends a call without an answer.
func finish(s CallState, reason string) Decision {
	return Decision{Kind: Finish, Verdict: s.Verdict(), Reason: reason}
}

// HedgeAt returns the instant at which Hedge is due for a call with one attempt
// outstanding. It returns false if the route allows no hedge, if no time is left for
// one, or if delay95, the 95th percentile of the delay, is needed and unknown (0).
func (p *Policy) HedgeAt(s CallState, delay95 clock.Millis) (clock.Millis, bool) {
	after := s.Route.HedgeAfterMillis
	if after == 0 {
		after = delay95
	}
	if after <= 0 || !allowsHedge(s.Route) || p.maxAttempts(s.Route) < 2 {
		return 0, false
	}
	at := s.SentAt + after
	return at, at+orDefault(p.MinAttemptMillis, DefaultMinAttemptMillis) <= s.Deadline
}

// Hedge decides whether a call whose attempt is slow gets a second one. The caller
// calls it once per call, at the instant of HedgeAt.
func (p *Policy) Hedge(now clock.Millis, s CallState) Decision {
	switch {
	case !allowsHedge(s.Route):
		return Decision{Kind: Wait, Reason: ReasonNoHedge}
	case s.Outstanding != 1:
		return Decision{Kind: Wait, Reason: ReasonOutstanding}
	case s.Sent >= p.maxAttempts(s.Route):
		return Decision{Kind: Wait, Reason: ReasonAttempts}
	case now+orDefault(p.MinAttemptMillis, DefaultMinAttemptMillis) > s.Deadline:
		return Decision{Kind: Wait, Reason: ReasonDeadline}
	case !p.takeHedge(now, s):
		return Decision{Kind: Wait, Reason: ReasonBudget}
	}
	return Decision{Kind: Hedge, At: now, Reason: ReasonSlow}
}

// takeHedge takes the cost of a hedge from the budget and reports whether it was
// available. In a WindowBudget a hedge counts as a repeated arrival.
func (p *Policy) takeHedge(now clock.Millis, s CallState) bool {
	if p.WindowBudget != nil {
		return p.WindowBudget.Take(now, s.Route.Service)
	}
	return p.Budget.Take(now, hedgeCost)
}

// allowsHedge reports whether a route allows hedges.
func allowsHedge(r model.Route) bool {
	return r.Idempotent && r.Class == model.Check && r.HedgeAfterMillis >= 0
}

// maxAttempts returns the bound on the attempts of a call on a route.
func (p *Policy) maxAttempts(r model.Route) int {
	return min(r.MaxAttempts, orDefault(p.MaxAttempts, DefaultMaxAttempts))
}

// backoff returns the delay before a retry. It grows exponentially and has a jitter of
// 50% either way, so that callers that failed together don't retry together.
func (p *Policy) backoff(sent int) clock.Millis {
	d := orDefault(p.BaseBackoffMillis, DefaultBaseBackoffMillis) * clock.Millis(int(1)<<min(max(sent-1, 0), 16))
	d *= clock.Millis(0.5 + p.Rand.Float64())
	return min(d, orDefault(p.MaxBackoffMillis, DefaultMaxBackoffMillis))
}
