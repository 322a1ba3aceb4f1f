package frame

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/result"
	"hickoryrail/io/mem"
	"hickoryrail/io/peer"
)

type (
	// connection is a dialed connection.
	connection struct {
		transport *Transport
		id        peer.ConnectionID
		node      ident.NodeID
		address   string
		conn      net.Conn

		// writing serializes the writes of frames: it holds a value while one is
		// written. Unlike a mutex, it can be waited for until a ctx ends.
		writing chan struct{}

		// piecesAccepted is set once the peer was told that it may answer in pieces.
		piecesAccepted atomic.Bool

		// mu guards what follows.
		mu     sync.Mutex
		nextID callID
		// waiting holds the callers of the unanswered calls.
		waiting map[callID]waiter
		// arriving holds the answers that arrive in pieces; their calls are in waiting.
		arriving map[callID]*arrival
		// failure is the reason for the end of the connection; it is set once.
		failure error
		// retired is set once the connection gets no more calls; it then ends with its
		// last one.
		retired bool
	}

	// waiter is the caller of an unanswered call.
	waiter struct {
		// answer has a buffer for one message.
		answer chan message
		// hold is the memory for the answer.
		hold *mem.Hold
	}

	// link is the state for sending to one node: the connection for new calls and
	// the queue of control messages.
	link struct {
		node ident.NodeID

		// dialing serializes dials.
		dialing sync.Mutex
		// mu guards what follows.
		mu      sync.Mutex
		current *connection
		// failedAt is the time of the last failed dial to failedAddress.
		failedAt      time.Time
		failedAddress string
		// queue holds the control messages to be sent; flushing is set while a
		// goroutine sends them.
		queue    []outgoing
		flushing bool
	}

	// outgoing is a control message to be sent to an address.
	outgoing struct {
		address string
		body    []byte
	}
)

var (
	// errStalled reports a connection that the stall detector closed.
	errStalled = errors.New("connection made no progress")
	// errRedial reports that a dial to the same address failed a short time ago.
	errRedial = errors.New("not dialing again so soon after a failed dial")
	// errWithdrawn reports a frame that was not sent because its ctx ended.
	errWithdrawn = errors.New("caller left before the request was sent")
	// errReplaced reports a connection that was closed because its node has another
	// address now, or because it may be silent.
	errReplaced = errors.New("connection was replaced")
)

// write sends one frame, unless ctx ends before its first byte; the error is then
// errWithdrawn. After any other error the frame was not sent completely, and the
// connection is closed.
func (c *connection) write(ctx context.Context, m message) error {
	select {
	case c.writing <- struct{}{}:
	case <-ctx.Done():
		return errWithdrawn
	}
	defer func() { <-c.writing }()
	if ctx.Err() != nil {
		return errWithdrawn
	}
	// The pieces of a large frame show that the peer reads; its echo waits behind them.
	err := m.writeTo(c.conn, func(n int) { c.transport.emit(peer.Progress, c, n) })
	if err != nil {
		c.fail(err)
	}
	c.transport.Link.Sent(lengthBytes + headerBytes + len(m.payload))
	return err
}

// begin registers a call whose answer uses the memory of hold. It returns an error if the
// connection has ended.
func (c *connection) begin(hold *mem.Hold) (callID, chan message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return 0, nil, c.failure
	}
	c.nextID++
	answer := make(chan message, 1)
	c.waiting[c.nextID] = waiter{answer, hold}
	return c.nextID, answer, nil
}

// forget removes a call whose caller no longer waits for an answer.
func (c *connection) forget(id callID) {
	c.mu.Lock()
	delete(c.waiting, id)
	delete(c.arriving, id)
	done := c.retired && len(c.waiting) == 0
	c.mu.Unlock()
	if done {
		c.fail(errReplaced)
	}
}

// retire closes the connection once no call waits for an answer on it.
func (c *connection) retire() {
	c.mu.Lock()
	c.retired = true
	done := len(c.waiting) == 0
	c.mu.Unlock()
	if done {
		c.fail(errReplaced)
	}
}

// fail closes the connection, once, with err as the reason; the calls on it end
// without an answer.
func (c *connection) fail(err error) {
	c.mu.Lock()
	if c.failure != nil {
		c.mu.Unlock()
		return
	}
	c.failure = err
	waiting := c.waiting
	c.waiting, c.arriving = nil, nil
	c.mu.Unlock()
	_ = c.conn.Close()
	for _, w := range waiting {
		close(w.answer)
	}
	c.transport.unregister(c)
}

// ended reports whether the connection can carry no more calls.
func (c *connection) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure != nil
}

// receive delivers answers to their callers and control messages to OnControl until
// the connection ends.
func (c *connection) receive() {
	b := bufio.NewReaderSize(c.conn, bufferBytes)
	for {
		h, err := readHeader(b, c.transport.BodyBytes)
		if err == nil {
			err = c.receiveFrame(b, h)
		}
		if err != nil {
			c.fail(err)
			return
		}
	}
}

// receiveFrame reads and delivers the payload of one frame.
func (c *connection) receiveFrame(b *bufio.Reader, h header) error {
	progress := func(n int) { c.transport.emit(peer.Progress, c, n) }
	progress(headerBytes)
	if h.kind == kindControl {
		m, err := h.readPayload(b, progress)
		if err == nil {
			c.transport.deliverControl(c.node, m.payload)
		}
		return err
	}
	switch h.kind {
	case kindLarge:
		return c.receiveLarge(b, h)
	case kindPiece:
		return c.receivePiece(b, h)
	}
	c.mu.Lock()
	w, waits := c.waiting[h.id]
	c.mu.Unlock()
	if !waits {
		return h.discard(b, progress)
	}
	if !c.awaitRoom(w.hold, h.length) {
		if err := h.discard(b, progress); err != nil {
			return err
		}
		c.deliver(message{kind: kindFailed, id: h.id})
		return nil
	}
	m, err := h.readPayload(b, progress)
	if err == nil {
		c.deliver(m)
	}
	return err
}

// awaitRoom takes the memory for an answer, and waits up to answerRoomMillis for it. The
// connection is read no further meanwhile, and does not count as silent.
func (c *connection) awaitRoom(hold *mem.Hold, length int) bool {
	for waited := clock.Millis(0); waited < answerRoomMillis; waited += roomStepMillis {
		ctx, cancel := context.WithTimeout(context.Background(), roomStepMillis.Duration())
		err := hold.Take(ctx, mem.Copies*ident.Bytes(length))
		cancel()
		if err == nil {
			return true
		}
		c.transport.emit(peer.Progress, c, 1)
	}
	return false
}

// deliver passes an answer to its caller if that still waits.
func (c *connection) deliver(m message) {
	c.mu.Lock()
	w, waits := c.waiting[m.id]
	delete(c.waiting, m.id)
	delete(c.arriving, m.id)
	c.mu.Unlock()
	if waits {
		w.answer <- m
	}
}

// exchange sends a call or an echo and waits for its reply.
func (c *connection) exchange(ctx context.Context, k kind, body []byte) ([]byte, error) {
	id, answer, err := c.begin(mem.From(ctx).Answer)
	if err != nil {
		return nil, result.NewError(result.NotRun, reasonLost, err)
	}
	defer c.forget(id)
	if k == kindCall {
		c.transport.emit(peer.Sent, c, 0)
		defer c.transport.emit(peer.Ended, c, 0)
	}
	if k == kindCall {
		c.acceptPieces(ctx)
	}
	err = c.write(ctx, message{kind: k, id: id, payload: body})
	switch {
	case errors.Is(err, errWithdrawn):
		c.transport.metrics.left.Inc()
		return nil, result.NewError(result.NotRun, endReason(ctx), err)
	case err != nil:
		// The peer runs only requests that it received completely.
		return nil, result.NewError(result.NotRun, reasonWrite, err)
	}
	select {
	case m, ok := <-answer:
		return outcome(m, ok, c)
	case <-ctx.Done():
	}
	if k == kindCall {
		_ = c.write(context.Background(), message{kind: kindCancel, id: id}) // if this fails, the lost connection ends the handler's ctx
	}
	return nil, result.NewError(result.MayHaveRun, endReason(ctx), ctx.Err())
}

// endReason returns the reason of a call whose ctx has ended.
func endReason(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return reasonDeadline
	}
	return reasonCancelled
}

// outcome returns the result of a call from its reply; ok is false if the connection
// ended before the reply.
func outcome(m message, ok bool, c *connection) ([]byte, error) {
	switch {
	case !ok:
		c.mu.Lock()
		defer c.mu.Unlock()
		return nil, result.NewError(result.MayHaveRun, reasonLost, c.failure)
	case m.kind == kindAnswer, m.kind == kindEchoed:
		return m.payload, nil
	case m.kind == kindRefused:
		return nil, result.NewError(result.NotRun, reasonRefused, nil)
	}
	return nil, result.NewError(result.MayHaveRun, reasonFailed, nil)
}
