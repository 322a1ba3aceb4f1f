package proxy

import (
	"context"
	"time"

	"hickoryrail/core/clock"
	"hickoryrail/core/once"
	"hickoryrail/io/logs"
	"hickoryrail/io/wire"
)

// void makes sure that an attempt never runs, or tells what became of it. It
// waits for a running one, since its outcome is worth more than an unknown one.
// The answer is encoded, because a kept one is.
func (g *Gateway) void(ctx context.Context, v *wire.Void) []byte {
	c, answer := g.beginVoid(v)
	if c == nil {
		return answer
	}
	timer := time.NewTimer(v.RemainingMillis.Duration())
	defer timer.Stop()
	select {
	case <-c.ended:
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outcome(g.Clock.Now(), v)
}

// beginVoid records the void. It returns the call that is still at the gate, or
// else the answer.
func (g *Gateway) beginVoid(v *wire.Void) (*gateCall, []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.metrics.voids.Inc()
	now := g.Clock.Now()
	answer := g.outcome(now, v)
	c := g.calls[v.ID]
	if c == nil || v.Gate != g.Incarnation {
		return nil, answer
	}
	if c.ended == nil {
		c.ended = make(chan struct{})
	}
	// A call that waits is refused now; one that runs is not affected.
	g.apply(now, g.gate.Cancel(now, v.ID))
	return c, nil
}

// outcome voids an attempt that was not seen and returns the encoded answer.
// The caller holds mu.
func (g *Gateway) outcome(now clock.Millis, v *wire.Void) []byte {
	a := g.fence.Void(now, v.Gate, v.ID)
	g.Log.Record(logs.Decision{At: now, Kind: logs.Admit, Request: v.ID, Node: g.Self, Verdict: a.Verdict, Reason: a.Reason})
	if a.Kind == once.Replay {
		return a.Response
	}
	return encode(wire.Answer{Voided: &wire.Voided{Verdict: a.Verdict, Reason: a.Reason}})
}
