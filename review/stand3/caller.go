package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// noConnection is the outcome of a request for which no connection was made.
const noConnection = "no connection"

// reconnectPause is the pause after a failed attempt to connect.
const reconnectPause = 50 * time.Millisecond

type (
	// call is one request of a caller and its outcome.
	call struct {
		id, node    string
		sent, ended time.Time
		// status is the status of the answer; 0 if there was none.
		status int
		// whole is set if the answer was complete, and signature is its signature.
		whole     bool
		signature string
		// problem says why there is no whole answer.
		problem string
	}

	// calls records the requests of all callers.
	calls struct {
		mu   sync.Mutex
		list []call
		next atomic.Uint64
	}

	// caller sends requests on one connection at a time, which it keeps open.
	caller struct {
		calls         *calls
		node, address string
		method, path  string
		host, body    string
		// key is the access key; empty without one.
		key     string
		timeout time.Duration
		conn    net.Conn
		reader  *bufio.Reader
	}
)

// errMalformed reports an answer with an unexpected id.
var errMalformed = errors.New("answer belongs to another request")

// add records a request.
func (c *calls) add(one call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, one)
}

// all returns the requests so far.
func (c *calls) all() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]call(nil), c.list...)
}

// send sends one request and records its outcome.
func (c *caller) send() call {
	one := call{id: fmt.Sprintf("q%08x", c.calls.next.Add(1)), node: c.node, sent: time.Now()}
	defer func() { c.calls.add(one) }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			one.ended, one.problem = time.Now(), noConnection
			return one
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(c.timeout))
	one.sent = time.Now()
	authorization := ""
	if c.key != "" {
		authorization = "Authorization: Bearer " + c.key + "\r\n"
	}
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Remaining-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		c.method, c.path, c.host, one.id, c.timeout.Milliseconds(), authorization, len(c.body), c.body)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: c.method})
	}
	if err == nil {
		one.status, one.signature = resp.StatusCode, resp.Header.Get("Server-Signature")
		_, err = io.Copy(io.Discard, resp.Body)
		if id := resp.Header.Get("Request-Id"); err == nil && id != "" && id != one.id {
			err = errMalformed
		}
	}
	one.ended = time.Now()
	one.whole = err == nil
	if err != nil {
		one.problem = err.Error()
	}
	if err != nil || resp.Close {
		c.close()
	}
	return one
}

// close closes the connection.
func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// loop sends requests until stop is closed: one in each period, which it asks for before each
// request, or as soon as the last one has ended.
func (c *caller) loop(stop <-chan struct{}, period func() time.Duration) {
	defer c.close()
	for {
		began := time.Now()
		if c.send().problem == noConnection {
			time.Sleep(reconnectPause)
		}
		select {
		case <-stop:
			return
		case <-time.After(period() - time.Since(began)):
		}
	}
}
