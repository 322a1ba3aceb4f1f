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

		// writing serializes frames.
		writing sync.Mutex

		// mu guards what follows.
		mu     sync.Mutex
		nextID callID
		// waiting maps each call without an answer to its caller's channel, which
		// has room for one message.
		waiting map[callID]chan message
		// failure is set once, when the connection ends.
		failure error
	}

	// link is the way to one node: the connection for new calls.
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
		// queue holds the control messages that wait; flushing is set while a
		// goroutine sends them.
		queue    []parcel
		flushing bool
	}

	// parcel is a control message with the address to send it to.
	parcel struct {
		address string
		body    []byte
	}
)

var (
	// errSilent reports a connection without progress.
	errSilent = errors.New("connection made no progress")
	// errRedial reports a node to which a dial has just failed.
	errRedial = errors.New("a dial has just failed")
	// errReplaced reports a connection that was replaced by a fresh one.
	errReplaced = errors.New("connection was replaced")
)

// write sends one frame. After an error the frame was not sent whole, and the
// connection is closed.
func (c *connection) write(m message) error {
	body := m.encode()
	c.writing.Lock()
	defer c.writing.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeMillis.Duration())) // the write reports a closed connection
	_, err := c.conn.Write(body)
	if err != nil {
		c.fail(err)
	}
	return err
}

// begin registers a call; it fails on a connection that has ended.
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

// forget drops a call that needs no answer any more.
func (c *connection) forget(id callID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// fail ends the connection; the calls on it end without an answer.
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
	c.transport.removed(c)
}

// ended reports whether the connection can carry no more calls.
func (c *connection) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure != nil
}

// receive hands the answers to their callers until the connection ends.
func (c *connection) receive() {
	b := bufio.NewReaderSize(c.conn, bufferBytes)
	for {
		m, err := read(b, c.transport.BodyBytes)
		if err != nil {
			c.fail(err)
			return
		}
		c.transport.emit(peer.Progress, c, headBytes+len(m.payload))
		if m.kind == kindControl {
			c.transport.control(c.node, m.payload)
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

// exchange sends a call or an echo and waits for the answer.
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
	if err := c.write(message{kind: k, id: id, payload: body}); err != nil {
		// A peer runs whole requests only.
		return nil, result.NewError(result.NotRun, reasonWrite, err)
	}
	select {
	case m, ok := <-answer:
		return outcome(m, ok, c)
	case <-ctx.Done():
	}
	if k == kindCall {
		_ = c.write(message{kind: kindCancel, id: id}) // a lost connection cancels as well
	}
	reason := reasonGaveUp
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = reasonDeadline
	}
	return nil, result.NewError(result.MayHaveRun, reason, ctx.Err())
}

// outcome returns what a message says of the call that it answers.
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
