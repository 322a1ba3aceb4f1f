package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

type (
	// request is one requester attempt.
	request struct {
		id, method, path string
		// authority is put before the path, for a request target in absolute form.
		authority string
		// budget is how long the requester waits.
		budget time.Duration
		// work is how long the server works on it.
		work    time.Duration
		content []byte
	}

	// answer is what the requester got.
	answer struct {
		request
		// sent is when the last byte of the request was sent, and ended when the answer
		// was complete or the connection ended.
		sent, ended time.Time
		// status is that of a complete answer, or 0.
		status int
		// kept is set if the connection had carried an answer before.
		kept bool
		err  error
	}

	// caller is a requester with one open connection.
	caller struct {
		conn   net.Conn
		reader *bufio.Reader
		used   bool
	}
)

// connectTimeout is how long a requester waits for a new connection.
const connectTimeout = time.Second

// dialNode opens a connection to a node's outbound address.
func dialNode(n *node) (*caller, error) {
	conn, err := net.DialTimeout("tcp", n.outbound, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &caller{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends a request to a node on a new connection and waits for the answer.
func (f *fleet) send(n *node, r request) answer {
	c, err := dialNode(n)
	if err != nil {
		now := time.Now()
		return answer{request: r, sent: now, ended: now, err: err}
	}
	defer c.conn.Close()
	return f.exchange(c, n, r)
}

// exchange sends a request on an open connection and waits for the answer until the time
// budget is over.
func (f *fleet) exchange(c *caller, n *node, r request) answer {
	a := answer{request: r, kept: c.used, sent: time.Now()}
	a.err = a.roundTrip(c)
	a.ended = time.Now()
	c.used = c.used || a.err == nil
	f.notef("%s %s %s (%d bytes) sent to %s: status %d, error %v, %d ms after its last byte",
		r.id, r.method, r.authority+r.path, len(r.content), n.name, a.status, a.err, a.ended.Sub(a.sent).Milliseconds())
	return a
}

// roundTrip sends the request and reads the whole answer.
func (a *answer) roundTrip(c *caller) error {
	if err := c.conn.SetDeadline(time.Now().Add(a.budget)); err != nil {
		return err
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Remaining-Ms: %d\r\nWork-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		a.method, a.authority+a.path, host, a.id, a.budget.Milliseconds(), a.work.Milliseconds(), len(a.content))
	if _, err := c.conn.Write(append([]byte(head), a.content...)); err != nil {
		return err
	}
	a.sent = time.Now()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: a.method})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	a.status = resp.StatusCode
	return nil
}

// isTimeout reports whether the requester's time was over.
func (a *answer) isTimeout() bool {
	var e net.Error
	return errors.As(a.err, &e) && e.Timeout()
}
