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
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/limit"
	"hickoryrail/core/retry"
	"hickoryrail/core/route"
	"hickoryrail/core/view"
	"hickoryrail/io/httpd"
	"hickoryrail/io/logs"
	"hickoryrail/io/plat"
)

const (
	// DefaultLingerMillis is how long a draining ingress waits for callers to
	// use their open connections once more and learn that they are closing.
	DefaultLingerMillis = 2 * clock.Second
	// readMillis bounds the arrival of one request, and the writing of one
	// response.
	readMillis = 30 * clock.Second
	// idleCallerMillis is the age at which an idle caller's connection closes.
	idleCallerMillis = clock.Minute
	// maxCallerIDBytes bounds the caller's id of a request in ids and logs.
	maxCallerIDBytes = 64
	// quietMillis is the time without open connections after which a drain closes
	// the listener. A caller whose connection was closed with its answer connects
	// again at once, and closing the listener resets what it has not accepted.
	quietMillis = 500 * clock.Millis(1)
	// drainPollMillis is the interval at which a drain looks for open
	// connections.
	drainPollMillis = 2 * clock.Millis(1)
)

// Reasons of the ingress.
const (
	reasonNoView    = "node has no configuration yet"
	reasonNoRoute   = "no route for the path"
	reasonPath      = "path is ambiguous"
	reasonTimeout   = "Request-Timeout-Millis is not a positive number"
	reasonRequest   = "request is malformed"
	reasonBody      = "request body is too large"
	reasonHeader    = "request header is too large"
	reasonSlowBody  = "request did not arrive in time"
	reasonKeyLength = "Idempotency-Key is not 1 to 255 bytes"
	reasonRate      = "caller sends too many requests"
	reasonNoStore   = "node has no store for idempotency keys"
)

type (
	// Peers sends calls to other nodes. Errors are *result.Error.
	Peers interface {
		// Call returns the whole answer to body.
		Call(ctx context.Context, to ident.NodeID, address string, body []byte) ([]byte, error)
		// CallFresh does the same on a new connection.
		CallFresh(ctx context.Context, to ident.NodeID, address string, body []byte) ([]byte, error)
	}

	// Ingress is the HTTP server for callers. It routes each request by the
	// current view, sends attempts to gates and answers with a verdict. Set the
	// exported fields before Open.
	Ingress struct {
		Self ident.NodeID
		// Listen is host:port; port 0 chooses a free one.
		Listen string
		Clock  clock.Clock
		Peers  Peers
		// Gateway is this node's own, or nil.
		Gateway *Gateway
		// Picker and Policy are required; the ingress serializes their calls.
		Picker *route.Picker
		Policy *retry.Policy
		// Limiter bounds the rate of each caller, named by its IP address; nil sets
		// no limit. The ingress serializes its calls.
		Limiter *limit.Limiter[netip.Addr]
		// Store holds idempotency keys. Without one, requests with a key are
		// refused.
		Store  plat.Store
		Limits Limits
		// Search, if set, lets attempts look for a free slot before they wait.
		Search *route.FailFastPolicy
		// Dialect is what callers and targets speak.
		Dialect Dialect
		// Service is that of the target beside the node, where its requests begin.
		Service ident.ServiceName
		// StoreMillis bounds the claim of an idempotency key; 0 means the default
		// of once.Claim.
		StoreMillis clock.Millis
		// LingerMillis bounds how long a drain waits for idle connections.
		LingerMillis clock.Millis
		// Log takes routing and retry decisions; nil discards them.
		Log logs.Sink
		// Registry takes the metrics; nil keeps them private.
		Registry prometheus.Registerer

		metrics  ingressMetrics
		server   *httpd.Server
		listener net.Listener
		view     atomic.Pointer[view.View]
		// prefix and sequence make request ids unique.
		prefix   string
		sequence atomic.Uint64
		draining atomic.Bool
		// opened is the instant of Open.
		opened clock.Millis
		// inFlight counts handlers that have not returned.
		inFlight atomic.Int64
		// group holds hedges and stores of outcomes, which outlive their handler.
		group conc.WaitGroup

		// mu guards Picker, Policy, Search, split, patience and events; it is never held
		// while waiting.
		mu    sync.Mutex
		split route.Split
		// patience is kept by route.
		patience admit.WaitEstimator[ident.RouteName]
		events   []route.Event
	}
)

// errIngress reports an ingress without its required fields.
var errIngress = errors.New("ingress needs Clock, Picker and Policy")

// Open binds the listener and registers the metrics.
func (in *Ingress) Open() error {
	if in.Clock == nil || in.Picker == nil || in.Policy == nil {
		return errIngress
	}
	if in.Log == nil {
		in.Log = logs.Discard{}
	}
	in.Limits = in.Limits.withDefaults()
	orDefault(&in.LingerMillis, DefaultLingerMillis)
	var life [8]byte
	if _, err := rand.Read(life[:]); err != nil {
		return err
	}
	in.prefix = string(in.Self) + "." + hex.EncodeToString(life[:]) + "."
	if err := in.metrics.open(in.Registry); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", in.Listen)
	if err != nil {
		return err
	}
	in.listener = lingerListener{listener}
	in.opened = in.Clock.Now()
	in.Dialect = in.Dialect.withDefaults()
	in.server = &httpd.Server{Handler: in.handle, Malformed: in.malformed, Bounds: in.bounds}
	return nil
}

// bounds returns what the view in force and the settings allow callers.
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

// Address returns the address of the listener.
func (in *Ingress) Address() string {
	return in.listener.Addr().String()
}

// SetView puts a view in force for new requests; nodes is the number of live nodes.
func (in *Ingress) SetView(v *view.View, nodes int) {
	in.mu.Lock()
	if in.Policy.WindowBudget != nil {
		in.Policy.WindowBudget.Nodes = nodes
	}
	in.Picker.SetView(in.Clock.Now(), v)
	in.split.Keep(v.HasRoute)
	in.patience.Keep(v.HasRoute)
	if in.Search != nil {
		in.Search.Keep(func(name ident.ServiceName) bool { _, ok := v.Service(name); return ok })
	}
	in.mu.Unlock()
	in.view.Store(v)
}

// View returns the view that a new request uses; nil before the first one.
func (in *Ingress) View() *view.View {
	return in.view.Load()
}

// Run serves until ctx ends. It then accepts no more connections; those that are
// open close after the request in flight. Drain goes before it for a stop that
// interrupts no request.
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
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	err := in.server.Close(ended) // requests in flight have no time left
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return <-served
}

// Drain answers new requests as not run and closes their connections, finishes
// the requests in flight and then stops the server. Callers with an open
// connection get LingerMillis to use it once more; closing it earlier could
// cross with a request whose caller would not learn its fate.
func (in *Ingress) Drain(ctx context.Context) error {
	in.draining.Store(true)
	in.server.BeginClose()
	t := time.NewTicker(drainPollMillis.Duration())
	defer t.Stop()
	linger := time.Now().Add(in.LingerMillis.Duration())
	quiet := time.Now()
	for in.inFlight.Load() > 0 || time.Now().Before(linger) && time.Since(quiet) < quietMillis.Duration() {
		if in.server.OpenConnections() > 0 {
			quiet = time.Now()
		}
		select {
		case <-ctx.Done():
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
		in.group.Wait()
		close(settled)
	})
	select {
	case <-settled:
		group.Wait()
		return nil
	case <-ctx.Done():
		return ctx.Err() // outcomes that are not stored yet leave their claims
	}
}

// handle answers one request. Everything that attempts need is copied out of
// ctx, because fasthttp reuses its memory once handle returns.
func (in *Ingress) handle(caller context.Context, ctx *fasthttp.RequestCtx) {
	in.inFlight.Add(1)
	defer in.inFlight.Add(-1)
	now := in.Clock.Now()
	if in.draining.Load() {
		in.reply(ctx, notRun(reasonDraining), now)
		return
	}
	if !in.allowed(ctx, now) {
		in.reply(ctx, notRun(reasonRate), now)
		return
	}
	c, refusal := in.newCall(caller, ctx, now)
	if refusal != nil {
		in.refused(ctx, refusal, now)
		in.reply(ctx, refusal, now)
		return
	}
	key := ctx.Request.Header.Peek(headerKey)
	if c.route.Idempotent || len(key) == 0 {
		resp := in.forward(c)
		in.answered(c, resp)
		in.reply(ctx, resp, now)
		return
	}
	c.ctx = context.WithoutCancel(caller) // the outcome of a key is stored for whoever asks next
	in.reply(ctx, in.keyed(c, string(ctx.Request.Header.Peek(headerCaller)), string(key)), now)
}

// allowed reports whether the caller is within its rate.
func (in *Ingress) allowed(ctx *fasthttp.RequestCtx, now clock.Millis) bool {
	if in.Limiter == nil {
		return true
	}
	caller := callerOf(ctx)
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.Limiter.Allow(now, caller)
}
