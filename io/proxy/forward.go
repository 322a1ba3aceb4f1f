package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
	"hickoryrail/core/retry"
	"hickoryrail/core/route"
	"hickoryrail/core/view"
	"hickoryrail/io/logs"
	"hickoryrail/io/wire"
)

const (
	// hopReserveMillis is subtracted from the remaining time at each hop, so that a
	// refusal by the gate at its deadline reaches the caller in time.
	hopReserveMillis = 2 * clock.Millis(1)
	// maxHopReserveShare bounds the reserve as a share of the remaining time.
	maxHopReserveShare = 0.1
	// minFailureStatus is the lowest HTTP status that counts as a failure of the
	// target.
	minFailureStatus = 500
	// minRedirectStatus is the lowest HTTP status above those of successful answers.
	minRedirectStatus = 300
)

// Reasons of an attempt.
const (
	reasonNoPeers = "node has no transport"
	reasonVoided  = "attempt was voided on a fresh connection"
)

type (
	// call is one request of a caller. It shares no memory with the fasthttp request,
	// which is reused.
	call struct {
		// ctx is cancelled when the caller closes its connection; that of a call with
		// an idempotency key is not cancelled.
		ctx   context.Context
		view  *view.View
		route model.Route
		// team is that of the caller's access key; nil for a request without one.
		team *model.Team
		// counted is set once the call is counted against its team's usage cap.
		counted bool
		// firstTriedAt is the estimated instant of the caller's first try, from which
		// the response-time goal counts.
		firstTriedAt clock.Millis
		// timeout is the time from the request's arrival to deadline.
		timeout  clock.Millis
		deadline clock.Millis
		// callerDeadline is the instant at which the caller gives up; not before deadline.
		callerDeadline clock.Millis
		id             string
		// parentRepeated is set if the request on whose behalf the call is made is a
		// repeated one.
		parentRepeated bool
		// waitsForTargets is set once the call waits for the first targets of its
		// service.
		waitsForTargets bool
		// request is the template of the requests that the attempts send.
		request wire.Request

		// state is the input of the retry policy.
		state retry.CallState
		// tried holds the targets chosen so far.
		tried []ident.TargetID
	}

	// hedge is a second attempt that is made while a slow first one is outstanding.
	hedge struct {
		mu sync.Mutex
		// firstEnded is set when the first attempt has ended; no hedge starts after
		// that.
		firstEnded bool
		started    bool
		// cancel cancels the hedge; nil until it has started.
		cancel context.CancelFunc
		// result receives the outcome of the hedge, once.
		result chan *wire.Response
	}
)

// forward makes attempts until the policy ends the call or there is no target.
func (in *Ingress) forward(c *call) *wire.Response {
	// failure is the latest response that reported a failure of its target. It is
	// returned if the later attempts bring no response.
	var failure *wire.Response
	c.state = retry.CallState{Route: c.route, Deadline: c.deadline}
	now := in.Clock.Now()
	in.mu.Lock()
	allowed := in.Policy.RecordCall(now, c.route, c.parentRepeated)
	in.mu.Unlock()
	if !allowed {
		return notRun(retry.ReasonBudget)
	}
	for {
		left := in.metrics.left.hasLeft(c.ctx, leftAttempt)
		if left && failure != nil {
			return failure
		}
		if left {
			return &wire.Response{Verdict: c.state.Verdict(), Reason: leftReason(c.ctx)}
		}
		choice, ok := in.pick(c)
		if !ok && in.awaitTargets(c, choice) {
			continue
		}
		if !ok && failure != nil {
			return failure
		}
		if !ok {
			return &wire.Response{Verdict: c.state.Verdict(), Reason: choice.Reason}
		}
		resp := in.try(c, choice)
		d := in.decide(c, resp)
		if resp.Verdict == result.Ran && resp.Status >= minFailureStatus {
			failure = resp
		}
		if d.Kind != retry.Retry && failure != nil && resp.Verdict != result.Ran {
			return failure
		}
		if d.Kind != retry.Retry {
			if resp.Verdict != result.Ran {
				resp = &wire.Response{Verdict: d.Verdict, Reason: resp.Reason, Load: resp.Load}
			}
			return resp
		}
		in.metrics.retries.Inc()
		time.Sleep((d.At - in.Clock.Now()).Duration())
	}
}

// pick chooses the target of the next attempt, preferably one that the call has not
// tried.
func (in *Ingress) pick(c *call) (route.Choice, bool) {
	now := in.Clock.Now()
	in.mu.Lock()
	choice, ok := in.chooseTarget(now, c.route.Service, c.tried)
	if !ok && len(c.tried) > 0 {
		choice, ok = in.chooseTarget(now, c.route.Service, nil)
	}
	in.metrics.picks.count(choice)
	in.recordEjections()
	in.mu.Unlock()
	v := result.MayHaveRun
	if !ok {
		v = result.NotRun
	}
	if choice.Reason == route.ReasonNoTargets && c.waitsForTargets {
		return choice, ok // logged once, when the wait began
	}
	in.record(logs.Route, now, c, c.state.Sent+1, choice.Target.ID, v, choice.Reason)
	return choice, ok
}

// decide records the outcome of an attempt and returns the policy's decision.
func (in *Ingress) decide(c *call, resp *wire.Response) retry.Decision {
	now := in.Clock.Now()
	c.state.End(resp.Verdict)
	switch {
	case resp.Arrived || resp.Verdict != result.NotRun:
		c.state.Arrivals++
	case resp.Reason == admit.ReasonNoFreeSlot:
		c.state.FastRefusals++
	}
	if c.ctx.Err() != nil {
		return in.decideLeft(c, resp)
	}
	in.mu.Lock()
	var d retry.Decision
	if resp.Verdict == result.Ran && resp.Status >= minFailureStatus {
		d = in.Policy.AfterFailure(now, c.state)
	} else {
		d = in.Policy.Decide(now, c.state, resp.Verdict)
	}
	in.mu.Unlock()
	failedFast := resp.Reason == admit.ReasonNoFreeSlot && d.Kind == retry.Retry
	if !failedFast && (resp.Verdict != result.Ran || d.Kind == retry.Retry) {
		in.record(logs.Retry, now, c, c.state.Sent, "", resp.Verdict, d.Reason)
	}
	return d
}

// decideLeft ends a call whose caller left during an attempt. The policy is not asked,
// since a retry that is never made must not take from the budget.
func (in *Ingress) decideLeft(c *call, resp *wire.Response) retry.Decision {
	v := c.state.Verdict()
	if resp.Verdict == result.Ran {
		v = result.Ran
	}
	return retry.Decision{Kind: retry.Finish, Verdict: v, Reason: leftReason(c.ctx)}
}

// try makes one attempt, and a hedge if the route allows one and the attempt is slow.
func (in *Ingress) try(c *call, choice route.Choice) *wire.Response {
	now := in.Clock.Now()
	c.state.Start(now)
	c.tried = append(c.tried, choice.Target.ID)
	in.mu.Lock()
	at, ok := in.Policy.HedgeAt(c.state, in.Picker.Delay95(c.route.Service))
	in.mu.Unlock()
	ctx, cancel := context.WithTimeout(c.ctx, (c.deadline - now).Duration())
	defer cancel()
	if !ok {
		return in.attempt(ctx, c, choice, c.state.Sent)
	}
	return in.tryHedged(ctx, cancel, c, choice, at)
}

// recordEjections writes the picker's new events to the decision log. The caller
// holds mu.
func (in *Ingress) recordEjections() {
	in.events = in.Picker.Events(in.events[:0])
	for _, e := range in.events {
		kind := logs.Eject
		if e.Target == "" {
			kind = logs.Route
		}
		in.Log.Record(logs.Decision{
			At: e.At, Kind: kind, Service: e.Service, Target: e.Target, Node: in.Self, Reason: e.Reason,
		})
	}
}

// recordAnswer writes the response to the caller to the decision log.
func (in *Ingress) recordAnswer(c *call, resp *wire.Response) {
	now := in.Clock.Now()
	d := logs.Decision{
		At: now, Kind: logs.Answer, Request: ident.RequestID(c.id), Route: c.route.Name, Service: c.route.Service,
		Node: in.Self, Version: c.view.Version(), Verdict: resp.Verdict, Attempt: c.state.Sent, Status: resp.Status,
		Reason: resp.Reason, Took: now - (c.deadline - c.timeout),
	}
	if c.ctx.Err() != nil {
		d.Reason = leftReason(c.ctx)
	}
	in.Log.Record(d)
}

// recordRefusal writes a request that was not admitted to the decision log, and counts it
// if it was rejected because of its team; c is nil if its route is not known. Its path is
// left out, since a caller can choose it freely.
func (in *Ingress) recordRefusal(ctx *fasthttp.RequestCtx, c *call, resp *wire.Response, now clock.Millis) {
	d := logs.Decision{At: now, Kind: logs.Answer, Node: in.Self, Verdict: resp.Verdict, Reason: resp.Reason}
	if v := in.view.Load(); v != nil {
		d.Version = v.Version()
	}
	if c != nil {
		d.Route = c.route.Name
		if c.team != nil {
			d.Team = c.team.Name
		}
	}
	if in.Dialect.RequestIDHeader != "" {
		if id := ctx.Request.Header.Peek(in.Dialect.RequestIDHeader); len(id) <= maxCallerIDBytes {
			d.Request = ident.RequestID(id)
		}
	}
	if counter, ok := in.metrics.rejected[resp.Reason]; ok {
		counter.Inc()
		in.recordRejection(d)
		return
	}
	in.Log.Record(d)
}

// record writes a line to the decision log.
func (in *Ingress) record(k logs.Kind, now clock.Millis, c *call, number int, target ident.TargetID, v result.Verdict, reason string) {
	in.Log.Record(logs.Decision{
		At: now, Kind: k, Request: ident.RequestID(c.id), Route: c.route.Name, Service: c.route.Service,
		Target: target, Node: in.Self, Version: c.view.Version(), Verdict: v, Attempt: number, Reason: reason,
	})
}
