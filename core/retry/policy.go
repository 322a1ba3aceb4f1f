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
	// DefaultBaseMillis is the mean back-off before the first retry.
	DefaultBaseMillis clock.Millis = 4
	// DefaultMaxMillis bounds a back-off.
	DefaultMaxMillis clock.Millis = 250
	// maxRefusals bounds the attempts of a call that gates refused. Each costs a
	// way to a node but no work of a target.
	maxRefusals = 3
	// failureShare is the part of the goal that must be left for another attempt
	// after a failure.
	failureShare = 0.5
	// DefaultLeastMillis is the time that an attempt needs at least.
	DefaultLeastMillis clock.Millis = 1
)

const (
	// Finish ends the call with the decision's verdict and reason.
	Finish Kind = iota
	// Retry sends an attempt to another target at the decision's instant.
	Retry
	// Hedge sends an attempt to another target now, beside the outstanding one.
	Hedge
	// Wait leaves the call to its outstanding attempts.
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
	// Kind says what to do with a call.
	Kind uint8

	// Attempt is the state of one call at its ingress.
	Attempt struct {
		Route model.Route
		// Sent counts the attempts so far, hedges included.
		Sent int
		// Arrivals counts the attempts that got to a target, or may have.
		Arrivals int
		// Looks counts the attempts that only looked for a free slot and found none.
		Looks int
		// Outstanding counts the attempts without an outcome.
		Outstanding int
		// Uncertain says that an earlier attempt's verdict was MayHaveRun.
		Uncertain bool
		// SentAt is the instant of the last attempt.
		SentAt clock.Millis
		// Deadline is the instant at which the caller gives up.
		Deadline clock.Millis
	}

	// Decision says what to do with a call and why.
	Decision struct {
		Kind Kind
		// At is the instant of a retry; before the deadline.
		At clock.Millis
		// Verdict is that of the whole call if Kind is Finish: NotRun only if no
		// attempt can have run.
		Verdict result.Verdict
		// Reason is a constant phrase.
		Reason string
	}

	// Policy decides on retries and hedges. It is not safe for concurrent use.
	Policy struct {
		// Budget bounds the extra attempts of all calls; required unless there is a
		// Share.
		Budget *Budget
		// Share, if set, bounds the repeated arrivals at targets instead. Attempts
		// that a gate refused are then free, up to maxRefusals for each call.
		Share *Share
		// RetryFailures sends an idempotent request again whose target answered with
		// a failure, if there is time to answer it well.
		RetryFailures bool
		// Rand spreads the back-off; required.
		Rand *rand.Rand
		// MaxAttempts bounds the attempts of a call together with its route; 0
		// means DefaultMaxAttempts.
		MaxAttempts int
		// BaseMillis is the mean back-off before the first retry; it doubles
		// with each one. 0 means DefaultBaseMillis.
		BaseMillis clock.Millis
		// MaxMillis bounds a back-off; 0 means DefaultMaxMillis.
		MaxMillis clock.Millis
		// LeastMillis is the time that an attempt needs before the deadline; 0
		// means DefaultLeastMillis.
		LeastMillis clock.Millis
	}
)

// kindNames holds the text form of each kind.
var kindNames = [...]string{"Finish", "Retry", "Hedge", "Wait"}

// String returns the kind's name.
func (k Kind) String() string {
	return kindNames[min(int(k), len(kindNames)-1)]
}

// Start counts an attempt that is being sent.
func (a *Attempt) Start(now clock.Millis) {
	a.Sent++
	a.Outstanding++
	a.SentAt = now
}

// End counts the verdict of an attempt. The caller then asks Decide.
func (a *Attempt) End(v result.Verdict) {
	a.Outstanding--
	a.Uncertain = a.Uncertain || v == result.MayHaveRun
}

// Decide returns what follows from the verdict of an attempt that has ended, after
// End has counted it.
func (p *Policy) Decide(now clock.Millis, a Attempt, v result.Verdict) Decision {
	switch v {
	case result.Ran:
		return Decision{Kind: Finish, Verdict: result.Ran, Reason: ReasonAnswered}
	case result.NotRun:
		if a.Outstanding > 0 {
			return Decision{Kind: Wait, Reason: ReasonOutstanding}
		}
		return p.again(now, a, 1, ReasonNotRun)
	}
	a.Uncertain = true
	if !a.Route.Idempotent {
		return finish(a, ReasonMayHaveRun)
	}
	if a.Outstanding > 0 {
		return Decision{Kind: Wait, Reason: ReasonOutstanding}
	}
	return p.again(now, a, repeatTokens, ReasonIdempotent)
}

// AfterFailure returns what follows from an answer that reports a failure of the
// target. The caller of a request that ends has that answer.
func (p *Policy) AfterFailure(now clock.Millis, a Attempt) Decision {
	answered := Decision{Kind: Finish, Verdict: result.Ran, Reason: ReasonAnswered}
	if !p.RetryFailures || !a.Route.Idempotent || a.Outstanding > 0 {
		return answered
	}
	if a.Deadline-now < a.Route.GoalMillis*failureShare {
		return answered
	}
	d := p.again(now, a, repeatTokens, ReasonFailed)
	if d.Kind != Retry {
		return answered
	}
	return d
}

// again returns a retry for a price if attempts, time and budget allow one.
func (p *Policy) again(now clock.Millis, a Attempt, tokens float64, reason string) Decision {
	if p.used(a) {
		return finish(a, ReasonAttempts)
	}
	at := now + p.backOff(a.Sent)
	if p.Share != nil && a.Arrivals == 0 {
		at = now // another gate may be free, and no target has been burdened
	}
	if at+orDefault(p.LeastMillis, DefaultLeastMillis) > a.Deadline {
		return finish(a, ReasonDeadline)
	}
	if !p.take(now, a, tokens) {
		return finish(a, ReasonBudget)
	}
	return Decision{Kind: Retry, At: at, Reason: reason}
}

// used reports whether a call has no attempt left.
func (p *Policy) used(a Attempt) bool {
	if p.Share == nil {
		return a.Sent >= p.attempts(a.Route)
	}
	return a.Arrivals >= p.attempts(a.Route) || a.Sent-a.Arrivals-a.Looks >= maxRefusals
}

// take pays for another attempt.
func (p *Policy) take(now clock.Millis, a Attempt, tokens float64) bool {
	switch {
	case p.Share == nil:
		return p.Budget.Take(now, tokens)
	case a.Arrivals == 0:
		return true
	}
	return p.Share.Take(now, a.Route.Service)
}

// Begin counts a call that begins; repeated says that a repeated request makes it.
func (p *Policy) Begin(now clock.Millis, r model.Route, repeated bool) {
	if p.Share == nil {
		p.Budget.Call(now)
		return
	}
	p.Share.Request(now, r.Service)
	if repeated {
		p.Share.Spend(now, r.Service)
	}
}

// finish ends a call without an answer.
func finish(a Attempt, reason string) Decision {
	v := result.NotRun
	if a.Uncertain || a.Outstanding > 0 {
		v = result.MayHaveRun
	}
	return Decision{Kind: Finish, Verdict: v, Reason: reason}
}

// HedgeAt returns the instant at which Hedge is due for a call with one attempt
// outstanding. It is false if the route allows no hedge or the delay of 95 in
// 100 calls is needed and unknown (0).
func (p *Policy) HedgeAt(a Attempt, delay95 clock.Millis) (clock.Millis, bool) {
	after := a.Route.HedgeAfterMillis
	if after == 0 {
		after = delay95
	}
	if after <= 0 || !hedged(a.Route) || p.attempts(a.Route) < 2 {
		return 0, false
	}
	at := a.SentAt + after
	return at, at+orDefault(p.LeastMillis, DefaultLeastMillis) <= a.Deadline
}

// Hedge returns whether a call whose attempt is slow gets a second one. The
// caller asks once per call, at HedgeAt.
func (p *Policy) Hedge(now clock.Millis, a Attempt) Decision {
	switch {
	case !hedged(a.Route):
		return Decision{Kind: Wait, Reason: ReasonNoHedge}
	case a.Outstanding != 1:
		return Decision{Kind: Wait, Reason: ReasonOutstanding}
	case a.Sent >= p.attempts(a.Route):
		return Decision{Kind: Wait, Reason: ReasonAttempts}
	case now+orDefault(p.LeastMillis, DefaultLeastMillis) > a.Deadline:
		return Decision{Kind: Wait, Reason: ReasonDeadline}
	case !p.takeHedge(now, a):
		return Decision{Kind: Wait, Reason: ReasonBudget}
	}
	return Decision{Kind: Hedge, At: now, Reason: ReasonSlow}
}

// takeHedge pays for a hedge, which is a repeated arrival.
func (p *Policy) takeHedge(now clock.Millis, a Attempt) bool {
	if p.Share != nil {
		return p.Share.Take(now, a.Route.Service)
	}
	return p.Budget.Take(now, hedgeTokens)
}

// hedged reports whether a route allows hedges.
func hedged(r model.Route) bool {
	return r.Idempotent && r.Class == model.Check && r.HedgeAfterMillis >= 0
}

// attempts returns the bound for a route.
func (p *Policy) attempts(r model.Route) int {
	return min(r.MaxAttempts, orDefault(p.MaxAttempts, DefaultMaxAttempts))
}

// backOff returns the pause after an attempt: exponential, spread by one half
// to both sides so that callers that failed together come back apart.
func (p *Policy) backOff(sent int) clock.Millis {
	d := orDefault(p.BaseMillis, DefaultBaseMillis) * clock.Millis(int(1)<<min(max(sent-1, 0), 16))
	d *= clock.Millis(0.5 + p.Rand.Float64())
	return min(d, orDefault(p.MaxMillis, DefaultMaxMillis))
}
