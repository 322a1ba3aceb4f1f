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
	// hopMillis is kept back at each hop, so that a gate's refusal at the
	// deadline reaches the caller in time.
	hopMillis = 2 * clock.Millis(1)
	// hopShare bounds hopMillis as a share of the remaining time.
	hopShare = 0.1
	// failureStatus is the least status of an answer that reports a failure of the
	// target.
	failureStatus = 500
)

// Reasons of an attempt.
const (
	reasonNoPeers = "node has no transport"
	reasonVoid    = "attempt was voided on a fresh connection"
)

type (
	// call is one request of a caller. It owns its memory.
	call struct {
		// ctx ends when the caller closes its connection.
		ctx   context.Context
		view  *view.View
		route model.Route
		// began is when the caller first tried, as far as it shows.
		began clock.Millis
		// timeout is the time from the arrival to deadline.
		timeout  clock.Millis
		deadline clock.Millis
		id       string
		// repeated says that a request which was sent again makes the call.
		repeated bool
		// waits says that the call waits for the first targets of its service.
		waits bool
		// request is the template of the attempts.
		request wire.Request

		// state is what the policy decides on.
		state retry.CallState
		// tried holds the targets that were chosen so far.
		tried []ident.TargetID
	}

	// hedge is a second attempt beside a slow one.
	hedge struct {
		mu sync.Mutex
		// closed says that the first attempt has ended, so none is started.
		closed  bool
		started bool
		// stop cancels the hedge once it has started.
		stop context.CancelFunc
		// result gets the hedge's one outcome.
		result chan *wire.Response
	}
)

// forward makes attempts until the policy ends the call.
func (in *Ingress) forward(c *call) *wire.Response {
	// failure is an answer of a target that reports a failure; it is better than
	// none if later attempts bring none.
	var failure *wire.Response
	c.state = retry.CallState{Route: c.route, Deadline: c.deadline}
	now := in.Clock.Now()
	in.mu.Lock()
	in.Policy.RecordCall(now, c.route, c.repeated)
	in.mu.Unlock()
	for {
		choice, ok := in.pick(c)
		if !ok && in.awaitTargets(c, choice) {
			continue
		}
		if !ok && failure != nil {
			return failure
		}
		if !ok {
			v := result.NotRun
			if c.state.Uncertain {
				v = result.MayHaveRun
			}
			return &wire.Response{Verdict: v, Reason: choice.Reason}
		}
		resp := in.try(c, choice)
		d := in.decide(c, resp)
		if resp.Verdict == result.Ran && resp.Status >= failureStatus {
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
		if c.ctx.Err() != nil {
			return &wire.Response{Verdict: d.Verdict, Reason: reasonGaveUp}
		}
		in.metrics.retries.Inc()
		time.Sleep((d.At - in.Clock.Now()).Duration())
	}
}

// pick chooses the target of the next attempt, one that was not tried if there
// is any.
func (in *Ingress) pick(c *call) (route.Choice, bool) {
	now := in.Clock.Now()
	in.mu.Lock()
	choice, ok := in.Picker.Pick(now, c.route.Service, c.tried)
	if !ok && len(c.tried) > 0 {
		choice, ok = in.Picker.Pick(now, c.route.Service, nil)
	}
	in.drainEvents()
	in.mu.Unlock()
	v := result.MayHaveRun
	if !ok {
		v = result.NotRun
	}
	if choice.Reason == route.ReasonNoTargets && c.waits {
		return choice, ok // the first line tells of the wait
	}
	in.record(logs.Route, now, c, c.state.Sent+1, choice.Target.ID, v, choice.Reason)
	return choice, ok
}

// decide asks the policy what follows from an attempt.
func (in *Ingress) decide(c *call, resp *wire.Response) retry.Decision {
	now := in.Clock.Now()
	c.state.End(resp.Verdict)
	switch {
	case resp.Arrived || resp.Verdict != result.NotRun:
		c.state.Arrivals++
	case resp.Reason == admit.ReasonNoFreeSlot:
		c.state.FastRefusals++
	}
	in.mu.Lock()
	var d retry.Decision
	if resp.Verdict == result.Ran && resp.Status >= failureStatus {
		d = in.Policy.AfterFailure(now, c.state)
	} else {
		d = in.Policy.Decide(now, c.state, resp.Verdict)
	}
	in.mu.Unlock()
	looks := resp.Reason == admit.ReasonNoFreeSlot && d.Kind == retry.Retry
	if !looks && (resp.Verdict != result.Ran || d.Kind == retry.Retry) {
		in.record(logs.Retry, now, c, c.state.Sent, "", resp.Verdict, d.Reason)
	}
	return d
}

// try makes one attempt, with a hedge beside it if the route allows one.
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

// drainEvents writes the picker's ejections to the decision log. The caller
// holds mu.
func (in *Ingress) drainEvents() {
	in.events = in.Picker.Events(in.events[:0])
	for _, e := range in.events {
		in.Log.Record(logs.Decision{
			At: e.At, Kind: logs.Eject, Service: e.Service, Target: e.Target, Node: in.Self, Reason: e.Reason,
		})
	}
}

// answered writes the line of what the caller gets.
func (in *Ingress) answered(c *call, resp *wire.Response) {
	now := in.Clock.Now()
	d := logs.Decision{
		At: now, Kind: logs.Answer, Request: ident.RequestID(c.id), Route: c.route.Name, Service: c.route.Service,
		Node: in.Self, Version: c.view.Version(), Verdict: resp.Verdict, Attempt: c.state.Sent, Status: resp.Status,
		Reason: resp.Reason, Took: now - (c.deadline - c.timeout),
	}
	if c.ctx.Err() != nil {
		d.Reason = reasonGaveUp
	}
	in.Log.Record(d)
}

// refused writes the line of a request that could not be routed. Its path is not
// logged, since anyone can choose it.
func (in *Ingress) refused(ctx *fasthttp.RequestCtx, resp *wire.Response, now clock.Millis) {
	d := logs.Decision{At: now, Kind: logs.Answer, Node: in.Self, Verdict: resp.Verdict, Reason: resp.Reason}
	if v := in.view.Load(); v != nil {
		d.Version = v.Version()
	}
	if in.Dialect.Request != "" {
		if id := ctx.Request.Header.Peek(in.Dialect.Request); len(id) <= maxCallerIDBytes {
			d.Request = ident.RequestID(id)
		}
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
