package httpd

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"hickoryrail/core/clock"
	"hickoryrail/io/mem"
	"hickoryrail/io/sock"
)

const (
	// readBufferBytes is the minimum size of a read buffer. The buffer is as large as
	// the bound on headers if that is larger, up to 64 KiB.
	readBufferBytes = 4 << 10
	// writeBufferBytes is the size of a write buffer.
	writeBufferBytes = 4 << 10
	// leftPollInterval is the interval between checks whether the caller has left,
	// while no request is being read.
	leftPollInterval = 100 * time.Millisecond
)

type (
	// connection is a connection from a caller. One goroutine reads requests, and
	// another writes the responses in order.
	connection struct {
		server *Server
		conn   net.Conn
		reader *bufio.Reader
		// metered counts what reader reads of a body without a length.
		metered *mem.Reader
		// probe tells whether the caller has closed the connection.
		probe sock.Probe
		// pending passes requests and interim responses to writeResponses, in order.
		pending chan *exchange
		// cancel ends the contexts of the connection's requests. Only serve and what it
		// calls use it.
		cancel context.CancelFunc

		// mu guards the following fields.
		mu sync.Mutex
		// unanswered is the number of requests that were read but not yet answered.
		unanswered int
		// writing is set while a response is written, which takes long for a large one.
		writing bool
		// reading is set from the first byte of a request until its last.
		reading bool
		// closing is set by the response that closes the connection, by an idle
		// timeout and by closeIfIdle; no request is accepted afterwards, and the read
		// deadline is not extended.
		closing bool
	}

	// exchange is one request and its response.
	exchange struct {
		rc *fasthttp.RequestCtx
		// done is closed once the response in rc is complete.
		done chan struct{}
		// closeAfter is set if the connection closes after this response.
		closeAfter bool
		// lease is the memory for the bodies of the request and of its answer.
		lease *mem.Lease
		// interim is set for an interim response, which has no request of its own. It is
		// closed once the response was written, or will not be.
		interim chan struct{}
	}
)

// errClosing reports a connection that accepts no more requests.
var errClosing = errors.New("connection accepts no more requests")

// newConnection returns the state of an accepted connection.
func newConnection(s *Server, conn net.Conn) *connection {
	size := min(max(readBufferBytes, int(s.Bounds().HeaderBytes)), 1<<16)
	metered := &mem.Reader{Conn: conn}
	return &connection{
		server: s, conn: conn, reader: bufio.NewReaderSize(metered, size), metered: metered, probe: sock.NewProbe(conn),
		pending: make(chan *exchange, s.pipeline()),
	}
}

// serve handles the connection until it ends.
func (c *connection) serve() {
	defer c.server.remove(c)
	ctx, cancel := context.WithCancel(c.server.ctx)
	c.cancel = cancel
	var wg conc.WaitGroup
	answered := make(chan struct{})
	wg.Go(func() {
		defer close(answered)
		c.writeResponses(cancel)
	})
	disconnected := c.readRequests(ctx, &wg)
	if disconnected {
		cancel()
	}
	close(c.pending)
	c.watch(answered)
	wg.Wait()
	cancel()
	if disconnected {
		_ = c.conn.Close() // no further bytes can arrive and reset it
		return
	}
	sock.CloseGracefully(c.conn, c.server.Bounds().BodyMillis.Duration())
}

// readRequests reads requests and starts their handlers in wg. It returns when the
// connection accepts no more requests, and reports whether the caller has disconnected.
func (c *connection) readRequests(ctx context.Context, wg *conc.WaitGroup) bool {
	for {
		ex, err := c.readRequest()
		if ex == nil {
			return !errors.Is(err, errClosing)
		}
		c.enqueue(ex)
		if ex.closeAfter {
			close(ex.done) // the response to a malformed request is already complete
			return false
		}
		// The caller may have closed the connection long before the request was read.
		c.cancelIfLeft()
		wg.Go(func() {
			c.server.Handler(mem.With(ctx, ex.lease), ex.rc)
			ex.lease.Request.Release()
			close(ex.done)
		})
	}
}

// enqueue passes a request to writeResponses. While it waits for room in the pipeline,
// it checks whether the caller has left.
func (c *connection) enqueue(ex *exchange) {
	select {
	case c.pending <- ex:
		return
	default:
	}
	t := time.NewTicker(leftPollInterval)
	defer t.Stop()
	for {
		select {
		case c.pending <- ex:
			return
		case <-t.C:
			c.cancelIfLeft()
		}
	}
}

// watch checks whether the caller has left until done is closed.
func (c *connection) watch(done <-chan struct{}) {
	t := time.NewTicker(leftPollInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			c.cancelIfLeft()
		}
	}
}

// cancelIfLeft cancels the requests of the connection if the caller has closed it.
// Bytes that are unread hide the close.
func (c *connection) cancelIfLeft() {
	if c.probe.Peek() == sock.Ended {
		c.cancel()
	}
}

// readRequest reads one request. It returns no exchange if the caller has disconnected
// or the connection accepts no more requests.
func (c *connection) readRequest() (*exchange, error) {
	if err := c.awaitRequest(); err != nil {
		return nil, err
	}
	b := c.server.Bounds()
	ex := &exchange{rc: &fasthttp.RequestCtx{}, done: make(chan struct{}), lease: c.server.Memory.Lease()}
	ex.rc.Init2(c.conn, nil, false)
	c.setReadDeadline(b.HeaderMillis)
	err := c.skipEmptyLines()
	if err == nil {
		err = ex.rc.Request.Header.Read(c.reader)
	}
	if err == nil {
		err = c.readBody(ex, b)
	}
	if err != nil && c.isDisconnect(err) {
		ex.lease.Release()
		return nil, err
	}
	if !c.accept() {
		ex.lease.Release()
		return nil, errClosing
	}
	if err != nil {
		c.server.Malformed(ex.rc, err)
		ex.closeAfter = true
	}
	return ex, nil
}

// isDisconnect reports whether err means that the connection has ended, rather than
// that a request is malformed.
func (c *connection) isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && c.reader.Buffered() == 0 ||
		errors.Is(err, net.ErrClosed) || isReset(err)
}

// skipEmptyLines discards the empty lines that may precede a request (RFC 9112,
// section 2.2).
func (c *connection) skipEmptyLines() error {
	for {
		b, err := c.reader.Peek(1)
		if err != nil {
			return err
		}
		if b[0] != '\r' && b[0] != '\n' {
			return nil
		}
		_, _ = c.reader.Discard(1) // cannot fail: the byte is buffered
	}
}

// awaitRequest waits for the first byte of a request. The idle timeout does not apply
// while a request is unanswered, however long its response takes.
func (c *connection) awaitRequest() error {
	for {
		if !c.setIdleDeadline() {
			return errClosing
		}
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		switch {
		case err == nil && !c.closing:
			c.reading = true
			c.mu.Unlock()
			return nil
		case err == nil:
			c.mu.Unlock()
			return errClosing
		}
		busy := c.unanswered > 0
		if isTimeout(err) && !busy {
			c.closing = true
		}
		if isTimeout(err) && c.closing {
			err = errClosing
		}
		c.mu.Unlock()
		if !isTimeout(err) {
			return err
		}
	}
}

// setIdleDeadline sets the deadline for the first byte of the next request. It returns
// false if the connection accepts no more requests.
func (c *connection) setIdleDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.setReadDeadline(c.server.Bounds().IdleMillis)
	return true
}

// accept counts a request that was read completely. It returns false if the connection
// accepts no more requests.
func (c *connection) accept() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closing {
		return false
	}
	c.unanswered++
	return true
}

// closeIfIdle closes the connection if no request is unanswered, none is being read and
// none has arrived.
func (c *connection) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered > 0 || c.writing || c.reading || c.closing || c.probe.Peek() == sock.Data {
		return
	}
	c.closing = true
	sock.InterruptRead(c.conn) // serve then closes the connection
}

// setReadDeadline sets the deadline of the next reads to d from now; 0 means none.
func (c *connection) setReadDeadline(d clock.Millis) {
	var at time.Time
	if d > 0 {
		at = time.Now().Add(d.Duration())
	}
	_ = c.conn.SetReadDeadline(at) // on a closed connection the read fails
}

// isTimeout reports whether err means that a read exceeded its deadline.
func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// isReset reports whether err means that the peer reset the connection.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET)
}
