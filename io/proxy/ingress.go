package proxy

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/limit"
	"hickoryrail/core/model"
	"hickoryrail/core/option"
	"hickoryrail/core/retry"
	"hickoryrail/core/route"
	"hickoryrail/core/view"
	"hickoryrail/io/httpd"
	"hickoryrail/io/logs"
	"hickoryrail/io/mem"
	"hickoryrail/io/plat"
	"hickoryrail/io/uplink"
)

const (
	// DefaultLingerMillis is how long a draining ingress waits for callers to use
	// their open connections once more and receive a response that closes them.
	DefaultLingerMillis = 2 * clock.Second
	// readMillis bounds the arrival of one request and the writing of one response.
	readMillis = 30 * clock.Second
	// idleCallerMillis is the time after which an idle caller's connection is closed.
	idleCallerMillis = clock.Minute
	// maxRoomMillis and roomShare bound the wait for the memory of a request body, the latter
	// as a share of the caller's time: callers give up a request that is not read for longer.
	maxRoomMillis = 800 * clock.Millis(1)
	roomShare     = 0.25
	// maxCallerIDBytes bounds the caller's request id as it appears in request ids
	// and logs.
	maxCallerIDBytes = 64
)

// Reasons of the ingress.
const (
	reasonNoView    = "node has no configuration yet"
	reasonNoRoute   = "no route for the path"
	reasonPath      = "path is ambiguous"
	reasonTarget    = "request target is not in origin or absolute form"
	reasonTimeout   = "Request-Timeout-Millis is not a positive number"
	reasonRequest   = "request is malformed"
	reasonBody      = "request body is too large"
	reasonHeader    = "request header is too large"
	reasonSlowBody  = "request did not arrive in time"
	reasonNoMemory  = "node has no memory for the request body"
	reasonKeyLength = "Idempotency-Key is not 1 to 255 bytes"
	reasonRate      = "caller sends too many requests"
)

type (
	// Peers sends calls to other nodes. Errors are *result.Error.
	Peers interface {
		// Call returns the whole answer to body.
		Call(ctx context.Context, to ident.NodeID, address string, body []byte) ([]byte, error)
		// CallFresh does the same on a new connection.
		CallFresh(ctx context.Context, to ident.NodeID, address string, body []byte) ([]byte, error)
	}

	// Ingress is the HTTP server for callers. It routes each request by the current
	// view, sends attempts to gates and responds with a verdict. Set the exported
	// fields before Open.
	Ingress struct {
		Self ident.NodeID
		// Listen is host:port; port 0 chooses a free one.
		Listen string
		Clock  clock.Clock
		Peers  Peers
		// Gateway is this node's own gateway; nil without one.
		Gateway *Gateway
		// Picker and Policy are required; the ingress serializes their calls.
		Picker *route.Picker
		Policy *retry.Policy
		// Limiter bounds the request rate of each caller, identified by its IP
		// address; nil sets no limit. The ingress serializes its calls.
		Limiter *limit.Limiter[netip.Addr]
		// Store holds idempotency keys. Without one, a key is an ordinary header field.
		Store  plat.Store
		Limits Limits
		// Memory bounds the memory for the bodies of requests and answers; nil sets no
		// bound.
		Memory *mem.Budget
		// Link sends large responses at the rate of the node's link; nil sends them at once.
		Link *uplink.Link
		// FailFast decides which attempts are refused at once unless a slot is free
		// now or soon; with nil, all attempts may wait at their gate.
		FailFast *route.FailFastPolicy
		// Freshness and Caps decide on requests with access keys; nil admits all of them.
		Freshness Freshness
		Caps      Caps
		// Returns names the time after which a caller that was refused for lack of room may
		// return; nil leaves it to the dialect. The ingress serializes its calls.
		Returns *retry.Returns
		// Rollouts chooses among the versions of a service; nil chooses among all targets.
		Rollouts Rollouts
		// Dialect defines the header names and response rules of callers and targets.
		Dialect Dialect
		// Service is the service of the target beside the node, from which its
		// requests originate.
		Service ident.ServiceName
		// StoreMillis bounds the claim of an idempotency key; 0 means the default
		// of once.Claim.
		StoreMillis clock.Millis
		// LingerMillis bounds how long a drain waits for idle connections; 0 means
		// DefaultLingerMillis.
		LingerMillis clock.Millis
		// Log receives the routing and retry decisions; nil discards them.
		Log logs.Sink
		// Registry registers the metrics; nil leaves them unregistered.
		Registry prometheus.Registerer

		metrics  ingressMetrics
		server   *httpd.Server
		listener net.Listener
		view     atomic.Pointer[view.View]
		// idPrefix and sequence make request ids unique among all nodes and restarts.
		idPrefix string
		sequence atomic.Uint64
		draining atomic.Bool
		// paceStated is set once a target has stated its pace.
		paceStated atomic.Bool
		// stop is the plan of the planned stop in progress; nil without one.
		stop atomic.Pointer[plannedStop]
		// openedAt is the instant of Open.
		openedAt clock.Millis
		// inFlight counts handlers that have not returned.
		inFlight atomic.Int64
		// background runs hedges and the storing of outcomes, which outlive their
		// handlers.
		background conc.WaitGroup

		// mu guards Picker, Policy, Limiter, FailFast, split, waitEstimator, rejections
		// and events; it is never held while waiting.
		mu         sync.Mutex
		split      route.Split
		rejections rejectionLog
		// waitEstimator estimates by route how long callers have waited before a try.
		waitEstimator admit.WaitEstimator[ident.RouteName]
		events        []route.Event
	}
)

// errIngressFields reports an ingress without its required fields.
var errIngressFields = errors.New("ingress needs Clock, Picker and Policy")

// Open binds the listener and registers the metrics.
func (in *Ingress) Open() error {
	if in.Clock == nil || in.Picker == nil || in.Policy == nil {
		return errIngressFields
	}
	if in.Log == nil {
		in.Log = logs.Discard{}
	}
	in.Limits = in.Limits.withDefaults()
	option.SetDefault(&in.LingerMillis, DefaultLingerMillis)
	var nonce [8]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return err
	}
	in.idPrefix = string(in.Self) + "." + hex.EncodeToString(nonce[:]) + "."
	if err := in.metrics.register(in.Registry); err != nil {
		return err
	}
	address, err := net.ResolveTCPAddr("tcp", in.Listen)
	if err != nil {
		return err
	}
	listener, err := net.ListenTCP("tcp", address)
	if err != nil {
		return err
	}
	in.listener = listener
	in.openedAt = in.Clock.Now()
	in.Dialect = in.Dialect.withDefaults()
	in.server = &httpd.Server{Handler: in.handle, Malformed: in.replyMalformed, Bounds: in.bounds, Memory: in.Memory, Link: in.Link, RoomMillis: in.roomMillis}
	return nil
}

// bounds returns the limits for callers from the current view and the settings.
func (in *Ingress) bounds() httpd.Bounds {
	b := httpd.Bounds{
		HeaderBytes: in.Limits.HeaderBytes, BodyBytes: in.Limits.BodyBytes,
		HeaderMillis: readMillis, BodyMillis: readMillis, IdleMillis: idleCallerMillis,
	}
	v := in.view.Load()
	if v == nil {
		return b
	}
	l := v.Release().Configuration.Rules.Callers
	if l.HeaderBytes > 0 {
		b.HeaderBytes = l.HeaderBytes
	}
	if l.BodyBytes > 0 {
		b.BodyBytes = min(l.BodyBytes, in.Limits.BodyBytes)
	}
	if l.HeaderMillis > 0 {
		b.HeaderMillis = l.HeaderMillis
	}
	if l.IdleMillis > 0 {
		b.IdleMillis = l.IdleMillis
	}
	return b
}

// roomMillis returns how long a request may wait for the memory of its body.
func (in *Ingress) roomMillis(ctx *fasthttp.RequestCtx) clock.Millis {
	left, ok := timeoutOf(ctx.Request.Header.Peek(in.Dialect.TimeoutHeader), model.MaxTimeoutMillis)
	if !ok {
		return maxRoomMillis // the request is refused in any case
	}
	return min(left*roomShare, maxRoomMillis)
}

// Address returns the address of the listener.
func (in *Ingress) Address() string {
	return in.listener.Addr().String()
}

// SetView applies a view to new requests; nodes is the number of live nodes.
func (in *Ingress) SetView(v *view.View, nodes int) {
	now := in.Clock.Now()
	in.mu.Lock()
	if in.Policy.WindowBudget != nil {
		in.Policy.WindowBudget.SetNodes(now, nodes)
	}
	in.Picker.SetView(now, v)
	in.split.Keep(v.HasRoute)
	in.waitEstimator.Keep(v.HasRoute)
	hasService := func(name ident.ServiceName) bool { _, ok := v.Service(name); return ok }
	if in.FailFast != nil {
		in.FailFast.Keep(hasService)
	}
	if in.Returns != nil {
		in.Returns.Keep(hasService)
	}
	in.mu.Unlock()
	in.view.Store(v)
}

// View returns the view that a new request uses; nil before the first one.
func (in *Ingress) View() *view.View {
	return in.view.Load()
}

// Run serves until ctx is done. It then accepts no more connections and closes the
// open ones after the request in flight. Call Drain first for a stop that interrupts
// no request.
func (in *Ingress) Run(ctx context.Context) error {
	var group conc.WaitGroup
	served := make(chan error, 1)
	group.Go(func() { served <- in.server.Serve(in.listener) })
	defer group.Wait()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	in.draining.Store(true)
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	err := in.server.Close(expired) // requests in flight have no time left
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return <-served
}

// handle serves one request. Everything that attempts need is copied out of ctx,
// because fasthttp reuses its memory once handle returns.
func (in *Ingress) handle(callerCtx context.Context, ctx *fasthttp.RequestCtx) {
	in.inFlight.Add(1)
	defer in.inFlight.Add(-1)
	now := in.Clock.Now()
	if in.metrics.left.hasLeft(callerCtx, leftRead) {
		in.recordRefusal(ctx, nil, notRun(reasonGaveUp), now)
		in.reply(ctx, notRun(reasonGaveUp), now)
		return
	}
	if in.draining.Load() && !in.isInnerCall(ctx) {
		in.reply(ctx, notRun(reasonDraining), now)
		return
	}
	if !in.withinRate(ctx, now) {
		in.reply(ctx, notRun(reasonRate), now)
		return
	}
	c, refusal := in.newCall(callerCtx, ctx, now)
	if refusal == nil && !in.fitsStop(c, now) {
		refusal = notRun(reasonStopSoon)
	}
	if refusal == nil {
		refusal = in.takeCap(c)
	}
	if refusal != nil {
		in.recordRefusal(ctx, c, refusal, now)
		in.reply(ctx, refusal, now)
		return
	}
	defer in.returnCap(c)
	key := ctx.Request.Header.Peek(headerIdempotencyKey)
	if c.route.Idempotent || len(key) == 0 || in.Store == nil {
		resp := in.forward(c)
		in.nameReturn(c, resp)
		in.recordAnswer(c, resp)
		in.reply(ctx, resp, now)
		return
	}
	c.ctx = context.WithoutCancel(callerCtx) // the outcome is stored under its key even if the caller is gone
	in.reply(ctx, in.forwardKeyed(c, c.keyOwner(ctx.Request.Header.Peek(headerCaller)), string(key)), now)
}

// withinRate reports whether the caller is within its rate limit.
func (in *Ingress) withinRate(ctx *fasthttp.RequestCtx, now clock.Millis) bool {
	if in.Limiter == nil {
		return true
	}
	caller := callerIP(ctx)
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.Limiter.Allow(now, caller)
}
