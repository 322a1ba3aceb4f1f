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
	"hickoryrail/core/option"
	"hickoryrail/core/result"
	"hickoryrail/io/logs"
	"hickoryrail/io/mem"
	"hickoryrail/io/wire"
)

const (
	// DefaultQueueLength is the default bound on the calls that wait for the target.
	DefaultQueueLength = 16
	// DefaultAgeingMillis is the default ageing bound of the queue.
	DefaultAgeingMillis = 100 * clock.Millis(1)
	// ActionEvery reserves a share of the starts for actions: an overload of checks
	// must not starve the orders and bookings that the checks prepare.
	ActionEvery = 4
	// DefaultRunMillis is the expected run time of a call until one has been
	// measured.
	DefaultRunMillis = 10 * clock.Millis(1)
	// DefaultOccupiedMillis bounds how long a slot that the target announced as in
	// use counts as occupied; few requests last longer.
	DefaultOccupiedMillis = 2 * clock.Minute
	// DefaultMaxRecords is enough for 4,300 calls/s over the default KeepMillis of
	// once.Dedup.
	DefaultMaxRecords = 1 << 18
	// idleTickMillis bounds the interval between checks of the waiting calls.
	idleTickMillis = clock.Second
)

// Reasons of the gateway.
const (
	reasonNoTarget    = "no target has announced itself"
	reasonOtherTarget = "request is for another target"
	// reasonEnded marks the log line of a call that has left the gate.
	reasonEnded = "call ended at the gate"
)

type (
	// Announcement describes a target that announces itself at its node.
	Announcement struct {
		Target ident.TargetID
		// Address is host:port of the target's HTTP server.
		Address     string
		Slots       ident.Slots
		Connections ident.Connections
		// InFlight is the number of requests that the target is running.
		InFlight int
	}

	// Gateway is the data path in front of the local target: it admits calls and
	// sends each admitted call to the target once. Set the exported fields before
	// Open.
	Gateway struct {
		Self ident.NodeID
		// Incarnation identifies the gate between two restarts of the node; calls for
		// another incarnation are refused.
		Incarnation ident.Incarnation
		Clock       clock.Clock
		// KeepMillis is how long the ids of finished attempts are remembered; it must
		// be longer than the transport can delay an attempt. Zero means the default.
		KeepMillis clock.Millis
		// MaxRecords bounds the remembered ids; at the bound, calls with a new id are
		// refused. Zero means the default.
		MaxRecords int
		// KeptBytes bounds the answers that are kept for nodes that lost their
		// connection; zero means the default of once.Dedup.
		KeptBytes ident.Bytes
		Limits    Limits
		// Dialect defines the target's header names and response rules.
		Dialect Dialect
		// Order is the order of the gate's queue.
		Order admit.Order
		// Sender sends the answers of this node; nil means that its link bounds nothing.
		Sender admit.Sender
		// QueueLength, AgeingMillis, RunMillis and OccupiedMillis configure the
		// gate; zero means the default.
		QueueLength    int
		AgeingMillis   clock.Millis
		RunMillis      clock.Millis
		OccupiedMillis clock.Millis
		// OnLeaving, if set, is called when the target states in an answer that it
		// leaves, once until its next announcement.
		OnLeaving func(id ident.TargetID)
		// Replaced refuses new calls during a rollout; nil refuses none.
		Replaced Replaced
		// Log receives the admission decisions; nil discards them.
		Log logs.Sink
		// Registry registers the metrics; nil leaves them unregistered.
		Registry prometheus.Registerer

		metrics gatewayMetrics
		// reschedule signals Run that a call expires before tickAt.
		reschedule chan struct{}

		// mu guards the fields below; it is not held while a request runs.
		mu   sync.Mutex
		gate admit.Gate
		// teams is set while the configuration has teams. The header with the team's name
		// is then the ingress's; otherwise it may be the caller's own.
		teams  bool
		target *target
		// announcedAt is the instant of the last announcement, and leaving is set once
		// the target has stated since then that it leaves.
		announcedAt clock.Millis
		leaving     bool
		// calls holds the calls that wait or run.
		calls map[ident.RequestID]*gateCall
		// byCallerID holds the calls at the gate by the request id that the caller
		// set.
		byCallerID map[ident.RequestID]*gateCall
		// dedup records the ids of all calls that reached the gate.
		dedup once.Dedup
		// drained is closed when the drain in progress is complete; nil without
		// one.
		drained chan struct{}
		// tickAt is the instant of the next tick.
		tickAt clock.Millis
		// stopping is set by Drain and never reset.
		stopping bool
	}

	// gateCall is one call at the gate. Gateway.mu guards its fields.
	gateCall struct {
		request *wire.Request
		arrived clock.Millis
		// action starts or refuses the call; it is set once, together with decided.
		action  admit.Action
		decided bool
		// wake is closed when action is set; nil for a call that does not wait.
		wake chan struct{}
		// ended is closed when dedup has the outcome; nil unless a void waits for it.
		ended chan struct{}
	}
)

var (
	// ErrDraining reports an announcement to a node that is stopping.
	ErrDraining = errors.New(reasonDraining)
	// errGatewayFields reports a gateway without its required fields.
	errGatewayFields = errors.New("gateway needs a Clock")
)

// Open prepares the gateway and registers its metrics.
func (g *Gateway) Open() error {
	if g.Clock == nil {
		return errGatewayFields
	}
	if g.Log == nil {
		g.Log = logs.Discard{}
	}
	g.Limits = g.Limits.withDefaults()
	g.Dialect = g.Dialect.withDefaults()
	option.SetDefault(&g.QueueLength, DefaultQueueLength)
	option.SetDefault(&g.MaxRecords, DefaultMaxRecords)
	option.SetDefault(&g.AgeingMillis, DefaultAgeingMillis)
	option.SetDefault(&g.RunMillis, DefaultRunMillis)
	option.SetDefault(&g.OccupiedMillis, DefaultOccupiedMillis)
	g.gate = admit.Gate{
		Order:       g.Order,
		QueueLength: g.QueueLength, AgeingMillis: g.AgeingMillis, ActionEvery: ActionEvery,
		RunMillis: g.RunMillis, OccupiedMillis: g.OccupiedMillis,
	}
	if g.Sender != nil {
		g.gate.Egress = &admit.Egress{Sender: g.Sender}
	}
	g.dedup = once.Dedup{Gate: g.Incarnation, KeepMillis: g.KeepMillis, MaxRecords: g.MaxRecords, MaxBytes: g.KeptBytes}
	g.reschedule = make(chan struct{}, 1)
	g.calls = make(map[ident.RequestID]*gateCall)
	g.byCallerID = make(map[ident.RequestID]*gateCall)
	return g.metrics.register(g.Registry, gatewayGauges{load: g.Load, limit: g.limitPerSecond, pace: g.pace, answerBytes: g.answerBytes})
}

// Running returns the request at the local target to which its caller gave id; false if
// there is none. The caller must not modify it.
func (g *Gateway) Running(id ident.RequestID) (*wire.Request, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.byCallerID[id]
	if c == nil {
		return nil, false
	}
	return c.request, true
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

// Run refuses waiting calls whose deadline passes, until ctx is done.
func (g *Gateway) Run(ctx context.Context) error {
	t := time.NewTimer(idleTickMillis.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-g.reschedule:
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

// Calls returns the number of calls that wait or run.
func (g *Gateway) Calls() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.calls)
}

// Load returns the gate's load.
func (g *Gateway) Load() admit.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Load()
}

// answerBytes returns the bytes of large answers that wait or are expected.
func (g *Gateway) answerBytes() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gate.Egress == nil {
		return 0
	}
	return float64(g.gate.Egress.Expected())
}

// OnCall answers one call stream of another node. Input that does not decode is
// answered with NotRun and has no effect.
func (g *Gateway) OnCall(ctx context.Context, _ ident.NodeID, body []byte) []byte {
	c, err := wire.DecodeCall(body, g.Limits.CallBytes())
	mem.From(ctx).Request.Shrink(ident.Bytes(len(body))) // what is decoded shares no memory with it
	switch {
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

// Forward admits a call of this node's own ingress, sends it to the target once and
// returns the outcome. The caller must not modify r afterwards.
func (g *Gateway) Forward(ctx context.Context, r *wire.Request) *wire.Response {
	resp, _ := g.forward(ctx, r, false)
	return resp
}

// forward runs one call. It returns the response or, in its place, the encoded answer
// that is kept under the call's id. If keep is set, the answer of a call that ran is
// kept.
func (g *Gateway) forward(ctx context.Context, r *wire.Request, keep bool) (*wire.Response, []byte) {
	now := g.Clock.Now()
	deadline := now + r.RemainingMillis
	if g.metrics.left.hasLeft(ctx, leftGate) {
		return g.refuseLeft(now, r, leftReason(ctx)), nil
	}
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
		return resp, g.finish(c, resp, started, 0, false)
	}
	if c.wake != nil && g.metrics.left.hasLeft(ctx, leftGate) {
		resp = &wire.Response{Verdict: result.NotRun, Reason: leftReason(ctx)}
		return resp, g.finish(c, resp, started, 0, false)
	}
	resp, err := t.call(ctx, started, deadline, r)
	if err != nil {
		resp = &wire.Response{Verdict: result.Of(err), Reason: result.Reason(err)}
	}
	resp.Arrived = resp.Verdict != result.NotRun || resp.Reason == reasonUnexecuted
	ended := g.Clock.Now()
	return resp, g.finish(c, resp, ended, ended-started, keep)
}
