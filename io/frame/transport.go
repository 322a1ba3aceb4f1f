package frame

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/stop"
	"hickoryrail/io/mem"
	"hickoryrail/io/peer"
	"hickoryrail/io/sock"
	"hickoryrail/io/uplink"
)

const (
	// dialMillis bounds the setup of a connection. It is short because a node that
	// lost power does not answer, and callers have other targets to try.
	dialMillis = 400 * clock.Millis(1)
	// writeMillis bounds the write of a frame, or of one piece of a large one, for peers
	// that do not read.
	writeMillis = 2 * clock.Second
	// redialMillis is the pause after a failed dial, during which calls to the same
	// address fail immediately.
	redialMillis = 200 * clock.Millis(1)
	// callRoomMillis bounds the wait for the memory of a received call, during which nothing
	// else is read from its connection: it is well below the time after which the peer takes
	// the connection for silent.
	callRoomMillis = 200 * clock.Millis(1)
	// answerRoomMillis bounds the wait for the memory of an answer, in steps of
	// roomStepMillis. It is below writeMillis, after which the peer gives up.
	answerRoomMillis = 1 * clock.Second
	roomStepMillis   = 100 * clock.Millis(1)
	// drainPoll is the interval at which Drain checks for running calls.
	drainPoll = 5 * time.Millisecond
	// maxQueued bounds the queue of control messages to one node.
	maxQueued = 64
)

// Reasons in the errors of calls without an answer.
const (
	reasonDial      = "no connection to the node"
	reasonDraining  = "transport is draining"
	reasonWrite     = "request was not sent whole"
	reasonLost      = "connection to the node was lost"
	reasonRefused   = "node refused the call"
	reasonFailed    = "node's handler failed"
	reasonCancelled = "caller gave up"
	reasonDeadline  = "deadline passed"
	reasonTooLarge  = "request exceeds the limit"
)

type (
	// Transport connects a node with its peers. The exported fields must be set
	// before Open.
	Transport struct {
		Self ident.NodeID
		// Listen is host:port; port 0 chooses a free one.
		Listen string
		// OnControl handles a received control message and owns body; it may be
		// nil.
		OnControl func(from ident.NodeID, body []byte)
		// OnCall returns the answer to a request and owns body. Its ctx ends when
		// the caller cancels the call or the connection is lost, and with the cause
		// stop.ErrStopped when the transport stops. If it is nil, all calls are refused.
		OnCall func(ctx context.Context, from ident.NodeID, body []byte) []byte
		// OnEvent receives the events of dialed connections; it may be nil and must
		// not block.
		OnEvent func(peer.Event)
		// Memory bounds the memory of received calls and answers; nil sets no bound.
		Memory *mem.Budget
		// Link sends large answers at the rate of the node's link; nil sends them at once.
		Link *uplink.Link
		// Registry registers the transport's metrics; it may be nil.
		Registry prometheus.Registerer
		// BodyBytes bounds each request, answer and control message; 0 selects the
		// default of package peer.
		BodyBytes int

		listener  net.Listener
		metrics   metrics
		runCtx    context.Context
		cancelRun context.CancelCauseFunc
		group     conc.WaitGroup

		// mu guards what follows.
		mu sync.Mutex
		// draining is set once; calls of peers are refused afterwards.
		draining bool
		closed   bool
		// running counts the started calls of peers whose answer is not written yet.
		running int
		nextID  peer.ConnectionID
		links   map[ident.NodeID]*link
		// dialed and accepted hold the open connections.
		dialed   map[peer.ConnectionID]*connection
		accepted map[*acceptedConnection]struct{}
		// acceptedCount counts the connections that were ever accepted.
		acceptedCount uint64
	}
)

// errClosed reports a call on a transport that was closed.
var errClosed = errors.New("transport is closed")

// Open binds the listener. Calls and control messages can be sent afterwards; those of
// peers are accepted once Run is called.
func (t *Transport) Open() error {
	t.links = make(map[ident.NodeID]*link)
	t.dialed = make(map[peer.ConnectionID]*connection)
	t.accepted = make(map[*acceptedConnection]struct{})
	if t.BodyBytes == 0 {
		t.BodyBytes = peer.DefaultLimits().BodyBytes
	}
	if err := t.metrics.register(t.Registry); err != nil {
		return err
	}
	l, err := net.Listen("tcp", t.Listen)
	if err != nil {
		return err
	}
	t.listener = l
	t.runCtx, t.cancelRun = context.WithCancelCause(context.Background())
	return nil
}

// Address returns the bound host:port. It is valid after Open.
func (t *Transport) Address() string {
	return t.listener.Addr().String()
}

// ControlTraffic returns the bytes of control frames sent and received so far.
func (t *Transport) ControlTraffic() peer.Traffic {
	return peer.Traffic{
		Sent:     ident.Bytes(t.metrics.controlSent.Load()),
		Received: ident.Bytes(t.metrics.controlReceived.Load()),
	}
}

// Run serves peers until ctx ends, then closes every connection. Call Drain first
// to let the calls in flight finish; peers get what was written to them by then.
func (t *Transport) Run(ctx context.Context) error {
	t.group.Go(t.accept)
	<-ctx.Done()
	t.mu.Lock()
	t.draining, t.closed = true, true
	var open []*connection
	for _, c := range t.dialed {
		open = append(open, c)
	}
	var accepted []*acceptedConnection
	for s := range t.accepted {
		accepted = append(accepted, s)
	}
	t.mu.Unlock()
	err := t.listener.Close()
	t.cancelRun(stop.ErrStopped) // before the connections close, which ends their calls without a cause
	for _, c := range open {
		c.fail(errClosed)
	}
	for _, s := range accepted {
		sock.InterruptRead(s.conn) // serve then closes the connection
	}
	t.group.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Drain refuses new calls of peers as not run and returns once the running ones are
// answered. It returns the error of ctx if that ends first.
func (t *Transport) Drain(ctx context.Context) error {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		t.mu.Lock()
		running := t.running
		t.mu.Unlock()
		if running == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// CloseConnection closes a dialed connection immediately. Its calls end with
// MayHaveRun; new calls use another connection.
func (t *Transport) CloseConnection(id peer.ConnectionID) {
	t.mu.Lock()
	c := t.dialed[id]
	t.mu.Unlock()
	if c != nil {
		c.fail(errStalled)
	}
}

// emit passes an event to the stall detector.
func (t *Transport) emit(kind peer.EventKind, c *connection, n int) {
	if t.OnEvent != nil {
		t.OnEvent(peer.Event{Kind: kind, Connection: c.id, Node: c.node, Bytes: n})
	}
}
