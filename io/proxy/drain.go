package proxy

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"hickoryrail/core/clock"
	"hickoryrail/core/stop"
)

const (
	// quietPeriodMillis is the time without open connections after which a drain
	// closes the listener. A caller whose connection was closed with its response
	// connects again at once, and closing the listener resets connections that it has
	// not accepted.
	quietPeriodMillis = 500 * clock.Millis(1)
	// drainPollMillis is the interval at which a drain checks for open connections.
	drainPollMillis = 2 * clock.Millis(1)
	// abandonMillis bounds the time after the end of a drain in which the requests that
	// are still in flight are answered.
	abandonMillis = 150 * clock.Millis(1)
	// stopVoidMillis bounds the void of an attempt that is in flight then.
	stopVoidMillis = 100 * clock.Millis(1)
)

// plannedStop is a planned stop and the instant at which it was requested.
type plannedStop struct {
	plan        stop.Plan
	requestedAt clock.Millis
}

// BeginStop announces that a planned stop begins now. Requests that are expected to last
// beyond its end are refused from then on.
func (in *Ingress) BeginStop(p stop.Plan) {
	in.stop.Store(&plannedStop{plan: p, requestedAt: in.Clock.Now()})
}

// fitsStop reports whether a call is expected to end before a planned stop does.
func (in *Ingress) fitsStop(c *call, now clock.Millis) bool {
	s := in.stop.Load()
	if s == nil {
		return true
	}
	in.mu.Lock()
	expected := in.Picker.Delay95(c.route.Service)
	in.mu.Unlock()
	return s.plan.Fits(now, s.requestedAt, expected)
}

// isInnerCall reports whether a request that runs at the local target makes this one. The
// drain lets that request finish, so its calls are served as well.
func (in *Ingress) isInnerCall(ctx *fasthttp.RequestCtx) bool {
	if in.Dialect.RequestIDHeader == "" {
		return false
	}
	_, ok := in.parent(ctx.Request.Header.Peek(in.Dialect.RequestIDHeader))
	return ok
}

// BeginDrain answers new requests as not run and closes their connections. Calls of
// requests that still run at the local target are served.
func (in *Ingress) BeginDrain() {
	in.draining.Store(true)
	in.server.BeginClose()
}

// Drain is BeginDrain; it also finishes the requests in flight and then stops the server.
// Callers with an open connection get LingerMillis to use it once more: closing it earlier
// could coincide with a new request, whose caller would get no verdict. Requests that are
// still in flight when ctx ends are answered with what is known about them.
func (in *Ingress) Drain(ctx context.Context) error {
	in.BeginDrain()
	t := time.NewTicker(drainPollMillis.Duration())
	defer t.Stop()
	lingerUntil := time.Now().Add(in.LingerMillis.Duration())
	quietSince := time.Now()
	for in.inFlight.Load() > 0 || time.Now().Before(lingerUntil) && time.Since(quietSince) < quietPeriodMillis.Duration() {
		if in.server.OpenConnections() > 0 {
			quietSince = time.Now()
		}
		select {
		case <-ctx.Done():
			in.abandon()
			return ctx.Err()
		case <-t.C:
		}
	}
	if err := in.server.Close(ctx); err != nil {
		return err
	}
	settled := make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() {
		in.background.Wait()
		close(settled)
	})
	select {
	case <-settled:
		group.Wait()
		return nil
	case <-ctx.Done():
		return ctx.Err() // the claims of outcomes that are not stored yet remain
	}
}

// abandon ends the requests in flight, so that their callers get a verdict in place of a
// closed connection.
func (in *Ingress) abandon() {
	in.server.Cancel(stop.ErrStopped)
	ctx, cancel := context.WithTimeout(context.Background(), abandonMillis.Duration())
	defer cancel()
	_ = in.server.Close(ctx) // what is unanswered after abandonMillis is cut
}
