package httpd

import (
	"bufio"
	"context"
	"time"

	"hickoryrail/io/sock"
)

// writeResponses writes the responses in order. After the one that closes the
// connection, it discards the responses to later requests.
func (c *connection) writeResponses(cancel context.CancelFunc) {
	w := bufio.NewWriterSize(c.writer(), writeBufferBytes)
	closed := false
	for ex := range c.pending {
		if ex.interim != nil {
			closed = closed || c.writeContinue(w) != nil
			close(ex.interim)
			continue
		}
		<-ex.done
		if !closed && c.respond(w, ex) {
			closed = true
			cancel()
		}
		ex.lease.Release()
	}
}

// respond writes the response to one request and reports whether the connection accepts
// no more of them. After an error it is closed at once.
func (c *connection) respond(w *bufio.Writer, ex *exchange) bool {
	closes := c.complete(ex)
	err := c.writeResponse(w, ex, closes)
	c.mu.Lock()
	c.writing = false
	c.mu.Unlock()
	switch {
	case err != nil:
		_ = c.conn.Close()
	case closes:
		sock.InterruptRead(c.conn) // serve then closes the connection
	}
	return err != nil || closes
}

// complete counts a request as answered and reports whether its response closes the
// connection. It must not do so if a later request was read, even in part: the caller
// would retry that request although it may already be running.
func (c *connection) complete(ex *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered--
	c.writing = true
	requested := ex.closeAfter || ex.rc.Response.ConnectionClose() || ex.rc.Request.ConnectionClose() || c.server.closing.Load()
	if !requested || c.unanswered > 0 || c.reading {
		return false
	}
	c.closing = true
	return true
}

// writeResponse writes one response and flushes it.
func (c *connection) writeResponse(w *bufio.Writer, ex *exchange, closes bool) error {
	resp := &ex.rc.Response
	if closes {
		resp.SetConnectionClose()
	} else {
		resp.Header.ResetConnectionClose()
		if !ex.rc.Request.Header.IsHTTP11() {
			resp.Header.Set("Connection", "keep-alive")
		}
	}
	resp.SkipBody = resp.SkipBody || ex.rc.IsHead()
	c.setWriteDeadline()
	if err := resp.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// setWriteDeadline sets the deadline of the next response.
func (c *connection) setWriteDeadline() {
	if d := c.server.Bounds().BodyMillis; d > 0 {
		_ = c.conn.SetWriteDeadline(time.Now().Add(d.Duration())) // on a closed connection the write fails
	}
}
