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
)

const (
	// readerBytes is the size of a read buffer, unless headers may be larger.
	readerBytes = 4 << 10
	// writerBytes is the size of a write buffer.
	writerBytes = 4 << 10
)

type (
	// connection is one caller's connection. One goroutine reads requests, and
	// another one writes the answers in order.
	connection struct {
		server *Server
		conn   net.Conn
		reader *bufio.Reader
		// owed holds the requests that were read, in order.
		owed chan *exchange

		// mu guards what follows.
		mu sync.Mutex
		// unanswered counts the requests that were read and not answered.
		unanswered int
		// reading is set from the first byte of a request to its last.
		reading bool
		// finishing is set with the answer that closes the connection, and by
		// closeIfIdle; no request is taken afterwards.
		finishing bool
	}

	// exchange is one request and its answer.
	exchange struct {
		rc   *fasthttp.RequestCtx
		done chan struct{}
		// last says that the connection closes after this answer.
		last bool
	}
)

var (
	// continueLine answers a caller that waits before it sends a body.
	continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")
	// errFinished reports a connection that takes no more requests.
	errFinished = errors.New("connection takes no more requests")
)

// newConnection returns the state of an accepted connection.
func newConnection(s *Server, conn net.Conn) *connection {
	size := min(max(readerBytes, int(s.Bounds().HeaderBytes)), 1<<16)
	return &connection{
		server: s, conn: conn, reader: bufio.NewReaderSize(conn, size),
		owed: make(chan *exchange, s.pipeline()),
	}
}

// serve reads requests until the connection ends.
func (c *connection) serve() {
	defer c.server.removed(c)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { c.write(cancel) })
	for {
		ex, err := c.next()
		if ex == nil {
			if !errors.Is(err, errFinished) {
				cancel() // the caller has gone
			}
			break
		}
		c.owed <- ex
		if ex.last {
			close(ex.done) // a malformed request has its answer
			break
		}
		wg.Go(func() {
			c.server.Handler(ctx, ex.rc)
			close(ex.done)
		})
	}
	close(c.owed)
	wg.Wait()
	cancel()
	_ = c.conn.Close()
}

// next reads one request. It returns nil at the end of the connection.
func (c *connection) next() (*exchange, error) {
	if err := c.awaitByte(); err != nil {
		return nil, err
	}
	b := c.server.Bounds()
	ex := &exchange{rc: &fasthttp.RequestCtx{}, done: make(chan struct{})}
	ex.rc.Init2(c.conn, nil, false)
	c.deadline(b.HeaderMillis)
	err := c.skipLines()
	if err == nil {
		err = ex.rc.Request.Header.Read(c.reader)
	}
	if err == nil && ex.rc.Request.MayContinue() {
		_, err = c.conn.Write(continueLine)
	}
	if err == nil {
		c.deadline(b.BodyMillis)
		err = ex.rc.Request.ContinueReadBody(c.reader, int(b.BodyBytes), false)
	}
	if err != nil && c.closedEarly(err) {
		return nil, err
	}
	if !c.taken() {
		return nil, errFinished
	}
	if err != nil {
		c.server.Malformed(ex.rc, err)
		ex.last = true
	}
	return ex, nil
}

// closedEarly reports whether err is the end of the connection rather than
// something wrong with a request.
func (c *connection) closedEarly(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && c.reader.Buffered() == 0 ||
		errors.Is(err, net.ErrClosed) || isReset(err)
}

// skipLines drops the empty lines that may precede a request (RFC 9112, 2.2).
func (c *connection) skipLines() error {
	for {
		b, err := c.reader.Peek(1)
		if err != nil {
			return err
		}
		if b[0] != '\r' && b[0] != '\n' {
			return nil
		}
		_, _ = c.reader.Discard(1) // the byte was peeked at
	}
}

// awaitByte waits for the first byte of a request. While answers are owed, the
// connection is not idle, however long they take.
func (c *connection) awaitByte() error {
	for {
		c.deadline(c.server.Bounds().IdleMillis)
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		switch {
		case err == nil && !c.finishing:
			c.reading = true
			c.mu.Unlock()
			return nil
		case err == nil:
			c.mu.Unlock()
			return errFinished
		}
		busy := c.unanswered > 0
		if isTimeout(err) && !busy {
			c.finishing = true
			err = errFinished
		}
		c.mu.Unlock()
		if !isTimeout(err) || !busy {
			return err
		}
	}
}

// taken counts a request that was read whole; it is false once the connection
// takes no more.
func (c *connection) taken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.finishing {
		return false
	}
	c.unanswered++
	return true
}

// closeIfIdle closes the connection if it owes nothing. A request whose first
// bytes have arrived is read and answered.
func (c *connection) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered > 0 || c.reading || c.finishing {
		return
	}
	c.finishing = true
	_ = c.conn.Close()
}

// write sends the answers in order. After the one that closes the connection, the
// requests that were read behind it are not answered.
func (c *connection) write(cancel context.CancelFunc) {
	w := bufio.NewWriterSize(c.conn, writerBytes)
	failed := false
	for ex := range c.owed {
		<-ex.done
		if failed {
			continue
		}
		last := c.finish(ex)
		if err := c.send(w, ex, last); err != nil || last {
			failed = true
			cancel()
			_ = c.conn.Close()
		}
	}
}

// finish decides whether an answer closes the connection. An answer closes it only
// if no request was read behind it: its caller would send that one again, although
// it may run.
func (c *connection) finish(ex *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered--
	wanted := ex.last || ex.rc.Response.ConnectionClose() || ex.rc.Request.ConnectionClose() || c.server.closing.Load()
	if !wanted || c.unanswered > 0 || c.reading {
		return false
	}
	c.finishing = true
	return true
}

// send writes one answer. It is flushed unless the next one is ready as well.
func (c *connection) send(w *bufio.Writer, ex *exchange, last bool) error {
	resp := &ex.rc.Response
	if last {
		resp.SetConnectionClose()
	} else {
		resp.Header.ResetConnectionClose()
		if !ex.rc.Request.Header.IsHTTP11() {
			resp.Header.Set("Connection", "keep-alive")
		}
	}
	resp.SkipBody = resp.SkipBody || ex.rc.IsHead()
	if d := c.server.Bounds().BodyMillis; d > 0 {
		_ = c.conn.SetWriteDeadline(time.Now().Add(d.Duration())) // the write reports a closed connection
	}
	if err := resp.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// deadline bounds the next reads.
func (c *connection) deadline(d clock.Millis) {
	var at time.Time
	if d > 0 {
		at = time.Now().Add(d.Duration())
	}
	_ = c.conn.SetReadDeadline(at) // the read reports a closed connection
}

// isTimeout reports whether a read reached its deadline.
func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// isReset reports whether the peer reset the connection.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET)
}
