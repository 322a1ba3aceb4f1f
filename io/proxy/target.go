package proxy

import (
	"bytes"
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/report"
	"hickoryrail/core/result"
	"hickoryrail/core/stop"
	"hickoryrail/io/mem"
	"hickoryrail/io/sock"
	"hickoryrail/io/wire"
)

const (
	// dialMillis bounds connecting to the local target, which usually takes
	// about 1 ms.
	dialMillis = 500 * clock.Millis(1)
	// maxStray bounds the responses to earlier requests before the one to this request.
	maxStray = 8
	// maxRefused bounds the ids that a connection remembers of the requests that were
	// refused on it. It is closed at the bound; a new connection for one in 32 refusals
	// costs little.
	maxRefused = 32
	// chunked and identity are the values by which fasthttp's ContentLength reports a
	// body without a length: in chunks, and until the connection ends.
	chunked, identity = -1, -2
	// idleMillis is the time after which an idle connection to the target is closed.
	idleMillis = 30 * clock.Second
)

// Reasons of a call to the target.
const (
	reasonNoConnection = "no connection to the target"
	reasonNoBytes      = "connection to the target failed before the first byte"
	reasonTargetLost   = "connection to the target was lost"
	reasonNoLength     = "target's answer has no length"
	reasonAnswerSize   = "target's answer is too large"
	reasonAnswerFormat = "target's answer is malformed"
	reasonGaveUp       = "caller gave up"
	reasonUnexecuted   = "target did not run the request"
	reasonUnidentified = "answer does not identify its request"
	reasonUnsigned     = "answer is not the target's whole one"
	reasonAnswerMemory = "node has no memory for the target's answer"
)

type (
	// target is the HTTP client of the local target. It sends each request once: it
	// uses a HostClient for its connection pool only and never its Do method, which
	// retries requests.
	target struct {
		id      ident.TargetID
		address string
		limits  Limits
		dialect *Dialect
		left    *leftCounters
		client  *fasthttp.HostClient
		// noticed, if set, receives the notice of each answer and the instant before
		// which its request was not sent.
		noticed func(sentAt clock.Millis, n report.Notice)
	}

	// targetConn counts the bytes of the current request that the kernel accepted.
	targetConn struct {
		net.Conn
		probe     sock.Probe
		sentBytes int
		// metered reads from the connection and takes memory for bodies.
		metered mem.Reader
		// used is set once the connection has carried a request.
		used bool
		// refused holds the ids of the requests that were refused on this connection, at
		// most maxRefused. If one of them is sent again here, a refusal with its id may be
		// the earlier one.
		refused [][]byte
	}
)

var (
	// errNotTCP reports a connection that is not a TCP connection.
	errNotTCP = errors.New("connection to the target is not TCP")
	// errConnClosed reports a new connection that the target closed before the
	// request was sent.
	errConnClosed = errors.New("target closed a new connection")
	// errNoLength reports a response whose body ends with its connection.
	errNoLength = errors.New("answer has neither a length nor chunks")
	// errSeveralIDs reports a response that names the request and others.
	errSeveralIDs = errors.New("answer has several request ids")
	// errStray reports a target that keeps answering other requests.
	errStray = errors.New("too many answers to other requests")
)

// newTarget returns the client of the target at address.
func newTarget(id ident.TargetID, address string, connections ident.Connections, limits Limits, d *Dialect, left *leftCounters) *target {
	t := &target{id: id, address: address, limits: limits, dialect: d, left: left}
	t.client = &fasthttp.HostClient{
		Addr:        address,
		DialTimeout: dialTarget,
		MaxConns:    int(connections),
		// These two only affect Do, which is not called.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       idleMillis.Duration(),
		// The connection that was used last is the least likely to be stale.
		ConnPoolStrategy:         fasthttp.LIFO,
		ReadBufferSize:           int(limits.HeaderBytes),
		MaxResponseBodySize:      int(limits.BodyBytes),
		NoDefaultUserAgentHeader: true,
	}
	return t
}

// dialTarget connects to the target.
func dialTarget(address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: min(dialMillis.Duration(), timeout)}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		_ = c.Close()
		return nil, errNotTCP
	}
	return &targetConn{Conn: c, metered: mem.Reader{Conn: c}, probe: sock.NewProbe(tcp)}, nil
}

// Read reads bytes of an answer.
func (c *targetConn) Read(p []byte) (int, error) {
	return c.metered.Read(p)
}

// Write counts the bytes that the kernel accepted.
func (c *targetConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sentBytes += n
	return n, err
}

// stale reports whether the target closed the idle connection or sent bytes that
// belong to no request, which would be read as the response to the next one.
func (c *targetConn) stale() bool {
	return c.probe.Peek() != sock.Idle
}

// hasRefused reports whether a request with a non-empty id was refused on the connection.
func (c *targetConn) hasRefused(id []byte) bool {
	return len(id) > 0 && slices.ContainsFunc(c.refused, func(refused []byte) bool { return bytes.Equal(refused, id) })
}

// call sends r once and returns the target's complete response or a *result.Error. If
// r is idempotent, it ends when ctx is done; otherwise it waits for the response
// until the deadline or the end of the node, because an interrupted exchange would lose
// the outcome of an action that runs.
func (t *target) call(ctx context.Context, now, deadline clock.Millis, r *wire.Request) (*wire.Response, error) {
	left := (deadline - now).Duration()
	if left <= 0 {
		return nil, result.NewError(result.NotRun, reasonDeadline, nil)
	}
	until := time.Now().Add(left)
	id := t.dialect.requestID(r)
	for {
		cc, err := t.client.AcquireConn(left, false)
		if err != nil {
			return nil, result.NewError(result.NotRun, reasonNoConnection, err)
		}
		conn, ok := cc.Conn().(*targetConn)
		if !ok {
			t.client.CloseConn(cc)
			return nil, result.NewError(result.NotRun, reasonNoConnection, errNotTCP)
		}
		conn.sentBytes = 0
		if conn.SetDeadline(until) != nil || conn.stale() || conn.hasRefused(id) {
			// Nothing was sent. A stale pooled connection, or one on which an answer
			// would not be sure, is replaced; a target that closes a new one is not
			// accepting connections.
			t.client.CloseConn(cc)
			if conn.used {
				continue
			}
			return nil, result.NewError(result.NotRun, reasonNoConnection, errConnClosed)
		}
		if t.left.hasLeft(ctx, leftTarget) {
			t.client.ReleaseConn(cc)
			return nil, result.NewError(result.NotRun, leftReason(ctx), ctx.Err())
		}
		resp, reusable, err := t.exchange(ctx, conn, r, now, until)
		conn.used = true
		if reusable {
			t.client.ReleaseConn(cc)
		} else {
			t.client.CloseConn(cc)
		}
		return resp, err
	}
}

// exchange sends r on conn, not before sentAt, and reads the response. It reports whether the connection
// can be reused.
func (t *target) exchange(ctx context.Context, conn *targetConn, r *wire.Request, sentAt clock.Millis, until time.Time) (*wire.Response, bool, error) {
	x := exchange{
		conn: conn, req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(), deadline: until,
		id: t.dialect.requestID(r), first: !conn.used, hold: mem.From(ctx).Answer,
	}
	defer fasthttp.ReleaseRequest(x.req)
	defer fasthttp.ReleaseResponse(x.resp)
	defer x.dropBody()
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), until)
	defer cancel()
	unwatch := context.AfterFunc(ctx, func() {
		if r.Idempotent || errors.Is(context.Cause(ctx), stop.ErrStopped) {
			_ = conn.SetDeadline(time.Unix(1, 0))
			cancel()
		}
	})
	clean, err := t.roundTrip(&x, r)
	// If the AfterFunc has already run, the connection has a deadline in the past.
	clean = (unwatch() || !r.Idempotent) && clean
	if err != nil {
		return nil, false, x.resultError(ctx, err)
	}
	if !x.owned && (x.mayBeLate() || t.dialect.statesNotRun(x.resp.StatusCode(), x.resp.Header.Peek)) {
		return nil, false, result.NewError(result.MayHaveRun, reasonUnidentified, nil)
	}
	if t.noticed != nil && t.dialect.Notice != nil {
		t.noticed(sentAt, t.dialect.Notice(x.resp.Header.Peek))
	}
	if t.dialect.isUnexecuted(x.resp.StatusCode(), x.resp.Header.Peek) {
		conn.refused = append(conn.refused, bytes.Clone(x.id))
		reusable := clean && !x.resp.ConnectionClose() && len(conn.refused) < maxRefused
		return nil, reusable, result.NewError(result.NotRun, reasonUnexecuted, nil)
	}
	if !t.dialect.isSigned(x.resp.StatusCode(), x.resp.Header.Peek) {
		return nil, false, result.NewError(result.MayHaveRun, reasonUnsigned, nil)
	}
	// The headers are copied, since x.resp goes back to its pool.
	resp := &wire.Response{
		Verdict: result.Ran, Status: x.resp.StatusCode(),
		Headers: copyHeaders(x.resp.Header.All(), x.resp.Header.Peek("Connection"), nil),
		Body:    x.takeBody(),
	}
	if x.resp.SkipBody {
		resp.ContentLength = max(x.resp.Header.ContentLength(), 0)
	}
	return resp, clean && !x.resp.ConnectionClose(), nil
}

// roundTrip writes the request and reads the response. It reports whether the
// connection is clean, with nothing else sent before or after the response.
func (t *target) roundTrip(x *exchange, r *wire.Request) (bool, error) {
	t.fillRequest(x.req, r, time.Until(x.deadline))
	w := t.client.AcquireWriter(x.conn)
	err := x.req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	t.client.ReleaseWriter(w)
	if err != nil {
		return false, err
	}
	b := t.client.AcquireReader(x.conn)
	defer t.client.ReleaseReader(b)
	x.resp.SkipBody = r.Method == fasthttp.MethodHead
	for {
		if err := x.read(b, int(t.limits.BodyBytes), t.dialect.SignatureHeader != ""); err != nil {
			return false, err
		}
		other, err := x.identify(t.dialect.RequestIDHeader)
		if err != nil {
			return false, err
		}
		if !other {
			break
		}
		// This is a late response to an earlier request on this connection.
		if x.stray++; x.stray > maxStray {
			return false, errStray
		}
		x.dropBody()
		x.resp.Reset()
		x.resp.SkipBody = r.Method == fasthttp.MethodHead
	}
	return !x.bodyToEOF && x.stray == 0 && b.Buffered() == 0, nil
}

// fillRequest sets req to the HTTP request that r describes.
func (t *target) fillRequest(req *fasthttp.Request, r *wire.Request, left time.Duration) {
	req.Header.SetMethod(r.Method)
	req.Header.SetRequestURIBytes(r.URI)
	for name, value := range r.Headers.All() {
		req.Header.AddBytesKV(name, value)
	}
	if len(req.Header.Host()) == 0 {
		req.Header.SetHost("target")
	}
	if t.dialect.RequestIDHeader == "" {
		req.Header.Set(headerRequest, string(r.ID))
	}
	if t.dialect.TargetHeader != "" {
		req.Header.Set(t.dialect.TargetHeader, string(t.id))
	}
	req.Header.Set(t.dialect.TimeoutHeader, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	req.SetBodyRaw(r.Body)
}

// close closes the idle connections.
func (t *target) close() {
	t.client.CloseIdleConnections()
}
