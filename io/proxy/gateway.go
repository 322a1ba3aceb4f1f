package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/once"
	"hickoryrail/core/result"
	"hickoryrail/io/logs"
	"hickoryrail/io/wire"
)

const (
	// DefaultQueueLength bounds the calls that wait for the target.
	DefaultQueueLength = 16
	// DefaultAgeingMillis is the ageing bound of the queue.
	DefaultAgeingMillis = 100 * clock.Millis(1)
	// ActionEvery is the gate's share for actions: an overload of checks must not
	// keep out the orders and bookings that the checks are for.
	ActionEvery = 4
	// DefaultRunMillis is the expected run time before the first measured one.
	DefaultRunMillis = 10 * clock.Millis(1)
	// DefaultOccupiedMillis bounds how long an announced slot is occupied; no
	// request lasts longer than the largest route timeout.
	DefaultOccupiedMillis = 2 * clock.Minute
	// DefaultMaxRecords is enough for 4,300 calls/s over the default KeepMillis.
	DefaultMaxRecords = 1 << 18
	// idleTickMillis bounds the interval between checks of the waiting calls.
	idleTickMillis = clock.Second
)

// Reasons of the gateway.
const (
	reasonNoTarget    = "no target has announced itself"
	reasonOtherTarget = "request is for another target"
	// reasonEnded marks the line of a call that has left the gate.
	reasonEnded = "call ended at the gate"
)

type (
	// Announcement is what a target says of itself.
	Announcement struct {
		Target ident.TargetID
		// Address is host:port of the target's HTTP server.
		Address     string
		Slots       ident.Slots
		Connections ident.Connections
		// InFlight is the number of requests that the target runs.
		InFlight int
	}

	// Gateway is the target node's side of the data path: it admits calls to the
	// local target and sends each admitted call once. Set the exported fields
	// before Open.
	Gateway struct {
		Self ident.NodeID
		// Incarnation is the life of the gate; calls for another one are refused.
		Incarnation ident.Incarnation
		Clock       clock.Clock
		// KeepMillis is how long attempts are remembered; it must be longer than
		// the transport can hold one. Zero means the default.
		KeepMillis clock.Millis
		// MaxRecords bounds the remembered attempts; a full record refuses calls.
		// Zero means the default.
		MaxRecords int
		// KeptBytes bounds the answers that are kept for callers who lost their
		// connection; zero means the default of once.Dedup.
		KeptBytes ident.Bytes
		Limits    Limits
		// Dialect is what the target speaks.
		Dialect Dialect
		// Order is the policy of the gate's queue.
		Order admit.Order
		// QueueLength, AgeingMillis, RunMillis and OccupiedMillis configure the
		// gate; zero means the default.
		QueueLength    int
		AgeingMillis   clock.Millis
		RunMillis      clock.Millis
		OccupiedMillis clock.Millis
		// Log takes the admission decisions; nil discards them.
		Log logs.Sink
		// Registry takes the metrics; nil keeps them private.
		Registry prometheus.Registerer

		metrics gatewayMetrics
		// earlier tells Run that a call expires before tickAt.
		earlier chan struct{}

		// mu guards what follows; no lock is held while a request runs.
		mu     sync.Mutex
		gate   admit.Gate
		target *target
		// calls holds the calls that wait or run.
		calls map[ident.RequestID]*gateCall
		// running holds the calls at the gate by their callers' own ids.
		running map[ident.RequestID]*gateCall
		// fence has a record of every call that got to the gate.
		fence once.Dedup
		// drained is closed when the drain in progress is complete; nil without
		// one.
		drained chan struct{}
		// tickAt is the instant of the next tick.
		tickAt clock.Millis
		// stopping is set for good by Drain.
		stopping bool
	}

	// gateCall is one call at the gate. Gateway.mu guards its fields.
	gateCall struct {
		request *wire.Request
		arrived clock.Millis
		// action starts or refuses the call once decided is set; it is set once.
		action  admit.Action
		decided bool
		// wake is closed when action is set; nil for a call that does not wait.
		wake chan struct{}
		// ended is closed when the fence has the outcome; nil unless a void waits.
		ended chan struct{}
	}
)

var (
	// ErrDraining reports an announcement to a node that stops.
	ErrDraining = errors.New(reasonDraining)
	// errOpen reports a gateway without its required fields.
	errOpen = errors.New("gateway needs a Clock")
)

// Open prepares the gateway and registers its metrics.
func (g *Gateway) Open() error {
	if g.Clock == nil {
		return errOpen
	}
	if g.Log == nil {
		g.Log = logs.Discard{}
	}
	g.Limits = g.Limits.withDefaults()
	g.Dialect = g.Dialect.withDefaults()
	orDefault(&g.QueueLength, DefaultQueueLength)
	orDefault(&g.MaxRecords, DefaultMaxRecords)
	orDefault(&g.AgeingMillis, DefaultAgeingMillis)
	orDefault(&g.RunMillis, DefaultRunMillis)
	orDefault(&g.OccupiedMillis, DefaultOccupiedMillis)
	g.gate = admit.Gate{
		Order:       g.Order,
		QueueLength: g.QueueLength, AgeingMillis: g.AgeingMillis, ActionEvery: ActionEvery,
		RunMillis: g.RunMillis, OccupiedMillis: g.OccupiedMillis,
	}
	g.fence = once.Dedup{Gate: g.Incarnation, KeepMillis: g.KeepMillis, MaxRecords: g.MaxRecords, MaxBytes: g.KeptBytes}
	g.earlier = make(chan struct{}, 1)
	g.calls = make(map[ident.RequestID]*gateCall)
	g.running = make(map[ident.RequestID]*gateCall)
	return g.metrics.open(g.Registry, g.Load)
}

// Runs reports whether the target beside the node runs the request that its caller
// named id, and whether that one was sent again.
func (g *Gateway) Runs(id ident.RequestID) (running, repeated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.running[id]
	return c != nil, c != nil && c.request.Repeated
}

// Address returns the address of the target, or "" without one.
func (g *Gateway) Address() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == nil {
		return ""
	}
	return g.target.address
}

// Run drops waiting calls whose deadline passes, until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	t := time.NewTimer(idleTickMillis.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-g.earlier:
		}
		t.Reset(g.tick().Duration())
	}
}

// tick checks the waiting calls and returns the time until the next check.
func (g *Gateway) tick() clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.apply(now, g.gate.Tick(now))
	g.tickAt = min(g.gate.Next(), now+idleTickMillis)
	return max(g.tickAt-now, 0)
}

// Load returns the gate's load.
func (g *Gateway) Load() admit.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Load()
}

// OnCall answers one call stream of another node. Input that does not decode is
// answered as not run, and changes nothing.
func (g *Gateway) OnCall(ctx context.Context, _ ident.NodeID, body []byte) []byte {
	switch c, err := wire.DecodeCall(body, g.Limits.CallBytes()); {
	case err != nil:
		return encode(wire.Answer{Response: &wire.Response{Verdict: result.NotRun, Reason: reasonMalformed}})
	case c.Void != nil:
		return g.void(ctx, c.Void)
	default:
		resp, kept := g.forward(ctx, c.Request, !c.Request.Idempotent)
		if kept != nil {
			return kept
		}
		return encode(wire.Answer{Response: resp})
	}
}

// Forward admits a call of this node's own ingress, sends it to the target once
// and returns the outcome. The caller must not change r any more.
func (g *Gateway) Forward(ctx context.Context, r *wire.Request) *wire.Response {
	resp, _ := g.forward(ctx, r, false)
	return resp
}

// forward runs one call. It returns the response, or in place of it the encoded
// answer that is kept under the same id.
func (g *Gateway) forward(ctx context.Context, r *wire.Request, keep bool) (*wire.Response, []byte) {
	now := g.Clock.Now()
	deadline := now + r.RemainingMillis
	c := &gateCall{request: r, arrived: now}
	t, resp, kept := g.arrive(now, deadline, c)
	if t == nil {
		return resp, kept
	}
	started := now
	if c.wake != nil {
		select {
		case <-c.wake:
		case <-ctx.Done():
			g.cancel(r.ID)
			<-c.wake
		}
		started = g.Clock.Now()
	}
	if c.action.Kind == admit.Refuse {
		resp = &wire.Response{Verdict: result.NotRun, Reason: c.action.Reason}
		return resp, g.end(c, resp, started, 0, false)
	}
	resp, err := t.call(ctx, started, deadline, r)
	if err != nil {
		resp = &wire.Response{Verdict: result.Of(err), Reason: result.Reason(err)}
	}
	resp.Arrived = resp.Verdict != result.NotRun || resp.Reason == reasonUnexecuted
	ended := g.Clock.Now()
	return resp, g.end(c, resp, ended, ended-started, keep)
}
