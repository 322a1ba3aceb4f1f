package proxy

import (
	"context"
	"time"

	"hickoryrail/core/clock"
	"hickoryrail/core/once"
	"hickoryrail/io/logs"
	"hickoryrail/io/wire"
)

// void makes sure that an attempt never runs, or returns its outcome. It waits for a
// running attempt to end, because its outcome is more useful to the caller than
// MayHaveRun. The answer is returned in encoded form, in which answers are kept.
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
	return g.answerVoid(g.Clock.Now(), v)
}

// beginVoid handles the void at its arrival. It returns the call if that is still at
// the gate, or else the answer.
func (g *Gateway) beginVoid(v *wire.Void) (*gateCall, []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.metrics.voids.Inc()
	now := g.Clock.Now()
	answer := g.answerVoid(now, v)
	c := g.calls[v.ID]
	if c == nil || v.Gate != g.Incarnation {
		return nil, answer
	}
	if c.ended == nil {
		c.ended = make(chan struct{})
	}
	// A waiting call is refused; a running one is not affected.
	g.apply(now, g.gate.Cancel(now, v.ID))
	return c, nil
}

// answerVoid voids the attempt unless its id is known and returns the encoded answer.
// The caller holds mu.
func (g *Gateway) answerVoid(now clock.Millis, v *wire.Void) []byte {
	a := g.dedup.Void(now, v.Gate, v.ID)
	g.Log.Record(logs.Decision{At: now, Kind: logs.Admit, Request: v.ID, Node: g.Self, Verdict: a.Verdict, Reason: a.Reason})
	if a.Kind == once.Replay {
		return a.Response
	}
	return encode(wire.Answer{Voided: &wire.Voided{Verdict: a.Verdict, Reason: a.Reason}})
}
