package frame

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"hickoryrail/core/ident"
	"hickoryrail/core/result"
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

		// mu guards what follows.
		mu     sync.Mutex
		nextID callID
		// waiting maps each unanswered call to its caller's channel, which has a
		// buffer for one message.
		waiting map[callID]chan message
		// failure is the reason for the end of the connection; it is set once.
		failure error
		// retired is set once the connection gets no more calls; it then ends with its
		// last one.
		retired bool
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
	body := m.encode()
	select {
	case c.writing <- struct{}{}:
	case <-ctx.Done():
		return errWithdrawn
	}
	defer func() { <-c.writing }()
	if ctx.Err() != nil {
		return errWithdrawn
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeMillis.Duration())) // the write reports a closed connection
	_, err := c.conn.Write(body)
	if err != nil {
		c.fail(err)
	}
	return err
}

// begin registers a call. It returns an error if the connection has ended.
func (c *connection) begin() (callID, chan message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return 0, nil, c.failure
	}
	c.nextID++
	answer := make(chan message, 1)
	c.waiting[c.nextID] = answer
	return c.nextID, answer, nil
}

// forget removes a call whose caller no longer waits for an answer.
func (c *connection) forget(id callID) {
	c.mu.Lock()
	delete(c.waiting, id)
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
	c.waiting = nil
	c.mu.Unlock()
	_ = c.conn.Close()
	for _, answer := range waiting {
		close(answer)
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
		m, err := read(b, c.transport.BodyBytes)
		if err != nil {
			c.fail(err)
			return
		}
		c.transport.emit(peer.Progress, c, headerBytes+len(m.payload))
		if m.kind == kindControl {
			c.transport.deliverControl(c.node, m.payload)
			continue
		}
		c.mu.Lock()
		answer := c.waiting[m.id]
		delete(c.waiting, m.id)
		c.mu.Unlock()
		if answer != nil {
			answer <- m
		}
	}
}

// exchange sends a call or an echo and waits for its reply.
func (c *connection) exchange(ctx context.Context, k kind, body []byte) ([]byte, error) {
	id, answer, err := c.begin()
	if err != nil {
		return nil, result.NewError(result.NotRun, reasonLost, err)
	}
	defer c.forget(id)
	if k == kindCall {
		c.transport.emit(peer.Sent, c, 0)
		defer c.transport.emit(peer.Ended, c, 0)
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
