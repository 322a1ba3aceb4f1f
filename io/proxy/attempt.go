package proxy

import (
	"context"
	"errors"
	"strconv"
	"time"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/result"
	"hickoryrail/core/retry"
	"hickoryrail/core/route"
	"hickoryrail/core/stop"
	"hickoryrail/core/view"
	"hickoryrail/io/logs"
	"hickoryrail/io/mem"
	"hickoryrail/io/wire"
)

// tryHedged makes an attempt and, if it has not ended by the instant at, a second
// one. The first response with the verdict Ran wins and cancels the other attempt.
func (in *Ingress) tryHedged(ctx context.Context, cancel context.CancelFunc, c *call, choice route.Choice, at clock.Millis) *wire.Response {
	h := &hedge{result: make(chan *wire.Response, 1)}
	number := c.state.Sent
	timer := time.AfterFunc((at - in.Clock.Now()).Duration(), func() { in.startHedge(c, h, cancel, number+1) })
	resp := in.attempt(ctx, c, choice, number)
	timer.Stop()
	h.mu.Lock()
	h.firstEnded = true
	started := h.started
	h.mu.Unlock()
	if !started {
		return resp
	}
	c.state.Start(in.Clock.Now())
	if resp.Verdict == result.Ran {
		h.cancel()
		c.state.End(result.Ran)
		return resp
	}
	other := <-h.result
	h.cancel()
	if other.Verdict == result.NotRun {
		resp, other = other, resp
	}
	c.state.End(resp.Verdict)
	return other
}

// startHedge starts the second attempt unless the first one has ended, the policy
// refuses it or there is no untried target.
func (in *Ingress) startHedge(c *call, h *hedge, cancelFirst context.CancelFunc, number int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstEnded || in.metrics.left.hasLeft(c.ctx, leftAttempt) {
		return
	}
	if len(c.view.Targets(c.route.Service)) <= len(c.tried) {
		return // Policy.Hedge would spend a token of the budget on a hedge that cannot be sent
	}
	now := in.Clock.Now()
	in.mu.Lock()
	d := in.Policy.Hedge(now, c.state)
	var choice route.Choice
	ok := d.Kind == retry.Hedge
	if ok {
		choice, ok = in.chooseTarget(now, c.route.Service, c.tried)
		in.metrics.picks.count(choice)
	}
	in.mu.Unlock()
	in.record(logs.Retry, now, c, number, choice.Target.ID, result.MayHaveRun, d.Reason)
	if !ok {
		return
	}
	in.metrics.hedges.Inc()
	ctx, cancel := context.WithTimeout(c.ctx, (c.deadline - now).Duration())
	h.started, h.cancel = true, cancel
	in.background.Go(func() {
		resp := in.attempt(ctx, c, choice, number)
		h.result <- resp
		if resp.Verdict == result.Ran {
			cancelFirst()
		}
	})
}

// shouldFailFast reports whether the next attempt of a call is to be refused at once
// unless a slot is free now or soon.
func (in *Ingress) shouldFailFast(c *call) bool {
	if in.FailFast == nil {
		return false
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	others := len(c.view.Targets(c.route.Service)) - len(c.tried)
	return in.FailFast.ShouldFailFast(c.route.Service, c.state.FastRefusals, max(others, 0))
}

// attempt sends one attempt to the chosen gate and reports its outcome to the
// picker.
func (in *Ingress) attempt(ctx context.Context, c *call, choice route.Choice, number int) *wire.Response {
	in.metrics.attempts.Inc()
	lease := mem.From(ctx).Attempt()
	ctx = mem.With(ctx, lease)
	sent := in.Clock.Now()
	r := c.request
	r.ID = ident.RequestID(c.id + "-" + strconv.Itoa(number))
	r.Repeated = c.parentRepeated || c.state.Arrivals > 0
	r.FailFast = in.shouldFailFast(c)
	r.Gate, r.Target, r.Attempt = choice.Target.GateIncarnation, choice.Target.ID, number
	left := c.deadline - sent
	r.RemainingMillis = max(left-min(hopReserveMillis, left*maxHopReserveShare), 0)
	if r.HasGoal {
		r.GoalMillis = c.firstTriedAt + c.route.GoalMillis - sent
	}
	var resp *wire.Response
	var err error
	if choice.Target.Node == in.Self && in.Gateway != nil {
		resp = in.Gateway.Forward(ctx, &r)
	} else {
		resp, err = in.send(ctx, choice.Target, &r)
	}
	now := in.Clock.Now()
	o := route.Outcome{Delay: now - sent, Gate: choice.Target.GateIncarnation}
	if err != nil {
		// An attempt that this node cancelled does not count as a failure of its target.
		o.Failed = ctx.Err() == nil || now >= c.deadline
		resp = in.resolveUnanswered(c, choice.Target, &r, err)
	} else {
		o.Failed = failedAtTarget(resp)
		o.Load, o.HasLoad = resp.Load, true
		o.Bytes = ident.Bytes(len(resp.Body))
		n := in.Dialect.notice(resp)
		o.Leaving = n.Leaving
		if l, ok := n.Load.Get(); ok {
			o.Stated = route.StatedLoad{Slots: l.Slots, Pace: l.Pace.Or(0)}
			if o.Stated.Pace > 0 && !in.paceStated.Load() {
				in.paceStated.Store(true)
			}
		}
	}
	o.Verdict = resp.Verdict
	in.recordSample(c, choice, resp, err, now-sent)
	if resp.Verdict != result.Ran {
		lease.Answer.Release()
	}
	in.mu.Lock()
	in.Picker.Done(now, choice.Target.ID, o)
	if r.FailFast && o.Verdict != result.MayHaveRun {
		in.FailFast.Record(c.route.Service, resp.Reason != admit.ReasonNoFreeSlot)
	}
	in.recordEjections()
	in.mu.Unlock()
	return resp
}

// send sends an attempt to another node.
func (in *Ingress) send(ctx context.Context, t view.Target, r *wire.Request) (*wire.Response, error) {
	if in.Peers == nil {
		return nil, result.NewError(result.NotRun, reasonNoPeers, nil)
	}
	body, err := in.Peers.Call(ctx, t.Node, t.Address, encode(wire.Call{Request: r}))
	if err != nil {
		return nil, err
	}
	a, err := wire.DecodeAnswer(body, in.Limits.CallBytes())
	mem.From(ctx).Answer.Shrink(ident.Bytes(len(body))) // what is decoded shares no memory with it
	if err != nil || a.Response == nil {
		return nil, result.NewError(result.MayHaveRun, reasonMalformed, err)
	}
	return a.Response, nil
}

// resolveUnanswered returns the outcome of an attempt without a response from its
// gate. An attempt that is not idempotent and may have run is voided on a fresh
// connection while there is time, and for a short time also when the node stops.
func (in *Ingress) resolveUnanswered(c *call, t view.Target, r *wire.Request, err error) *wire.Response {
	resp := &wire.Response{Verdict: result.Of(err), Reason: result.Reason(err)}
	now := in.Clock.Now()
	if resp.Verdict == result.NotRun {
		return resp
	}
	resp.Verdict = result.MayHaveRun
	if now >= c.deadline {
		resp.Reason = reasonDeadline
		return resp
	}
	if r.Idempotent {
		return resp
	}
	var settled *wire.Response
	if c.ctx.Err() == nil {
		settled = in.void(c.ctx, t, r, c.deadline-now)
	}
	if settled == nil && errors.Is(context.Cause(c.ctx), stop.ErrStopped) {
		settled = in.void(context.WithoutCancel(c.ctx), t, r, min(c.deadline-now, stopVoidMillis))
	}
	switch {
	case settled == nil:
		return resp
	case settled.Verdict == result.NotRun && settled.Reason == reasonVoided:
		in.record(logs.Retry, in.Clock.Now(), c, r.Attempt, t.ID, result.NotRun, reasonVoided)
		resp.Verdict = result.NotRun
		return resp
	}
	return settled
}

// void asks a gate within left to never run an attempt. It returns the outcome of the
// attempt, or nil if that is still unknown.
func (in *Ingress) void(ctx context.Context, t view.Target, r *wire.Request, left clock.Millis) *wire.Response {
	in.metrics.voids.Inc()
	ctx, cancel := context.WithTimeout(ctx, left.Duration())
	defer cancel()
	v := wire.Void{ID: r.ID, Gate: r.Gate, RemainingMillis: max(left-min(hopReserveMillis, left*maxHopReserveShare), 0)}
	body, err := in.Peers.CallFresh(ctx, t.Node, t.Address, encode(wire.Call{Void: &v}))
	if err != nil {
		return nil
	}
	a, err := wire.DecodeAnswer(body, in.Limits.CallBytes())
	switch {
	case err != nil:
		return nil
	case a.Response != nil:
		return a.Response
	case a.Voided.Verdict == result.NotRun:
		return notRun(reasonVoided)
	}
	return nil
}

// failedAtTarget reports whether a gate's response counts as a failure of its target.
// A refusal by a full or draining gate does not.
func failedAtTarget(resp *wire.Response) bool {
	switch resp.Verdict {
	case result.Ran:
		return resp.Status >= minFailureStatus
	case result.NotRun:
		return resp.Reason == reasonNoConnection || resp.Reason == reasonNoBytes
	}
	return resp.Reason != reasonGaveUp
}
