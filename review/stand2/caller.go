package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// callerHost is the host of all requests.
const callerHost = "shop.example"

type (
	// caller sends requests one after the other on one connection, which it opens again
	// when it has ended.
	caller struct {
		name    string
		node    *node
		record  *record
		conn    net.Conn
		reader  *bufio.Reader
		counter atomic.Int64
	}

	// outcome is what a caller saw of one request.
	outcome struct {
		id             string
		sentAt         time.Time
		status         int
		signature      string
		retryAfter     string
		body           string
		closes         bool
		err            error
		fromKept, sent bool
	}
)

// newCaller returns a caller of a node.
func newCaller(n *node, name string) *caller {
	return &caller{name: name, node: n, record: n.record}
}

// do sends a request with a new id and returns its outcome.
func (c *caller) do(method, path, body string, timeout time.Duration) outcome {
	o := outcome{id: fmt.Sprintf("%s-%05d", c.name, c.counter.Add(1)), fromKept: c.conn != nil}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.node.outbound, time.Second)
		if err != nil {
			o.err = err
			return o
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	o.sentAt = time.Now()
	_ = c.conn.SetDeadline(o.sentAt.Add(timeout)) // the write reports a closed connection
	length := ""
	if method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, o.err = fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Remaining-Ms: %d\r\n%s\r\n%s",
		method, path, callerHost, o.id, timeout.Milliseconds(), length, body)
	o.sent = o.err == nil
	if o.err == nil {
		c.read(&o, method)
	}
	if o.err != nil || o.closes {
		c.close()
	}
	c.record.linef("%s: %s %s to %s: status %d %s err %v", o.id, method, path, c.node.name, o.status, o.signature, o.err)
	return o
}

// read reads the answer to a request.
func (c *caller) read(o *outcome, method string) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		o.err = err
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	o.status, o.signature, o.retryAfter = resp.StatusCode, resp.Header.Get("Server-Signature"), resp.Header.Get("Retry-After")
	o.body, o.closes, o.err = string(body), resp.Close, err
}

// close closes the connection.
func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
