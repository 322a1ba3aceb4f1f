package proxy

import (
	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/once"
	"hickoryrail/core/result"
	"hickoryrail/io/logs"
	"hickoryrail/io/wire"
)

// arrive checks the target of a call, records its id for deduplication and asks the
// gate for a slot. It returns the target, or else the response or the kept answer to
// a call that does not reach the gate.
func (g *Gateway) arrive(now, deadline clock.Millis, c *gateCall) (*target, *wire.Response, []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := c.request
	switch {
	case g.target == nil:
		return nil, g.refuse(now, r, result.NotRun, reasonNoTarget), nil
	case r.Target != g.target.id:
		return nil, g.refuse(now, r, result.NotRun, reasonOtherTarget), nil
	case g.Replaced != nil && g.Replaced.Replaced():
		return nil, g.refuse(now, r, result.NotRun, reasonReplaced), nil
	}
	a := g.dedup.Begin(now, r.Gate, r.ID)
	switch a.Kind {
	case once.Refuse:
		return nil, g.refuse(now, r, a.Verdict, a.Reason), nil
	case once.Replay:
		g.record(now, r, a.Verdict, a.Reason)
		return nil, nil, a.Response
	}
	g.calls[r.ID] = c
	if r.CallerID != "" {
		g.byCallerID[r.CallerID] = c
	}
	call := admit.Call{ID: r.ID, Class: r.Class, Route: r.Route, Rank: r.Rank, Deadline: deadline, FailFast: r.FailFast}
	if r.HasGoal {
		call.Goal = now + r.GoalMillis
	}
	if g.teams {
		call.Team = ident.TeamName(r.Headers.Get(g.Dialect.TeamHeader))
	}
	g.apply(now, g.gate.Arrive(now, call))
	if !c.decided {
		c.wake = make(chan struct{})
		g.rescheduleTick()
	}
	return g.target, nil, nil
}

// rescheduleTick makes Run call tick earlier than planned if the gate needs it. The
// caller holds mu.
func (g *Gateway) rescheduleTick() {
	if g.gate.Next() >= g.tickAt {
		return
	}
	select {
	case g.reschedule <- struct{}{}:
	default: // a signal is already pending
	}
}

// refuse logs and returns the response to a call that does not reach the gate. The
// caller holds mu.
func (g *Gateway) refuse(now clock.Millis, r *wire.Request, v result.Verdict, reason string) *wire.Response {
	g.record(now, r, v, reason)
	return &wire.Response{Verdict: v, Reason: reason, Load: g.gate.Load()}
}

// refuseLeft is refuse for a call whose caller has left before it reached the gate.
func (g *Gateway) refuseLeft(now clock.Millis, r *wire.Request, reason string) *wire.Response {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refuse(now, r, result.NotRun, reason)
}

// cancel withdraws a call if it still waits.
func (g *Gateway) cancel(id ident.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.apply(now, g.gate.Cancel(now, id))
}

// finish releases the slot of a started call and records its outcome for
// deduplication. It returns the encoded answer if that is kept.
func (g *Gateway) finish(c *gateCall, resp *wire.Response, now, took clock.Millis, keep bool) []byte {
	id := c.request.ID
	g.mu.Lock()
	if g.gate.Egress != nil && isContent(resp) {
		g.gate.Egress.Answered(id, ident.Bytes(len(resp.Body)))
	}
	g.apply(now, g.gate.Finish(now, id, took))
	g.rescheduleTick()
	resp.Load = g.gate.Load()
	var kept []byte
	if keep && resp.Verdict == result.Ran && g.dedup.Keeps(ident.Bytes(len(resp.Body))) {
		// The slot is already released and mu is not held, so encoding delays no
		// other call.
		g.mu.Unlock()
		kept = encode(wire.Answer{Response: resp})
		g.mu.Lock()
	}
	g.dedup.Finish(now, id, resp.Verdict, kept)
	if c.action.Kind == admit.Start {
		g.Log.Record(logs.Decision{
			At: now, Kind: logs.Admit, Request: id, Route: c.request.Route, Target: c.request.Target, Node: g.Self,
			Verdict: resp.Verdict, Attempt: c.request.Attempt, Reason: reasonEnded, Took: took, Wait: now - took - c.arrived,
		})
	}
	delete(g.calls, id)
	if g.byCallerID[c.request.CallerID] == c {
		delete(g.byCallerID, c.request.CallerID)
	}
	if c.ended != nil {
		close(c.ended)
	}
	g.mu.Unlock()
	g.metrics.verdicts[resp.Verdict].Inc()
	if took > 0 {
		g.metrics.run.Observe(took.Duration().Seconds())
	}
	return kept
}

// isContent reports whether a response has the content that was asked for. The size of
// another one, such as a failure, does not show that of later answers.
func isContent(resp *wire.Response) bool {
	return resp.Verdict == result.Ran && resp.Status < minRedirectStatus && len(resp.Body) > 0
}

// apply delivers the gate's actions to the calls they concern. The caller holds mu.
func (g *Gateway) apply(now clock.Millis, actions []admit.Action) {
	for _, a := range actions {
		if a.Kind == admit.Drained {
			if g.drained != nil {
				close(g.drained)
			}
			continue
		}
		c := g.calls[a.ID]
		v := result.MayHaveRun
		if a.Kind == admit.Refuse {
			v = result.NotRun
			if a.Reason != admit.ReasonNoFreeSlot {
				g.metrics.refused[c.request.Class].Inc()
			}
			if a.Reason == admit.ReasonLink {
				g.metrics.link.Inc()
			}
		} else {
			g.metrics.started[c.request.Class].Inc()
		}
		g.record(now, c.request, v, a.Reason)
		c.action, c.decided = a, true
		if c.wake != nil {
			close(c.wake)
		}
	}
}

// record writes a line to the decision log.
func (g *Gateway) record(now clock.Millis, r *wire.Request, v result.Verdict, reason string) {
	load := g.gate.Load()
	g.Log.Record(logs.Decision{
		At: now, Kind: logs.Admit, Request: r.ID, Route: r.Route, Target: r.Target,
		Node: g.Self, Verdict: v, Attempt: r.Attempt, Reason: reason,
		HasLoad: true, Free: load.Free, Queued: load.Queued,
	})
}

// encode returns a message in CBOR.
func encode[T any](m T) []byte {
	body, err := wire.Encode(m)
	if err != nil {
		panic(err) // every field of a call or answer has an encoding
	}
	return body
}
