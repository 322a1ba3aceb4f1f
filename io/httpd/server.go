// Package httpd provides the HTTP/1.1 server of the data path. It supports pipelining:
// it runs the requests of a connection concurrently and writes their responses in
// order. It cancels a request's context when its caller closes the connection. fasthttp
// parses the requests.
package httpd

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/option"
	"hickoryrail/io/mem"
	"hickoryrail/io/uplink"
)

const (
	// DefaultPipeline is used if Server.Pipeline is 0.
	DefaultPipeline = 16
	// retryInterval is the delay after a failed accept, for example if there are no
	// free file descriptors, and between the checks of Close.
	retryInterval = 5 * time.Millisecond
)

type (
	// Bounds limits what callers send. A time of 0 means no limit.
	Bounds struct {
		HeaderBytes ident.Bytes
		BodyBytes   ident.Bytes
		// HeaderMillis bounds the read of a header, and BodyMillis the read of a body
		// and the write of a response.
		HeaderMillis clock.Millis
		BodyMillis   clock.Millis
		// IdleMillis is how long a connection without a request stays open.
		IdleMillis clock.Millis
	}

	// Server is an HTTP server on one listener. Set the exported fields before
	// Serve.
	Server struct {
		// Handler handles one request. It runs in a separate goroutine for each
		// request; ctx ends when the caller closes the connection.
		Handler func(ctx context.Context, rc *fasthttp.RequestCtx)
		// Malformed sets the response to a request that could not be read; the
		// connection closes afterwards.
		Malformed func(rc *fasthttp.RequestCtx, err error)
		// Bounds returns the bounds for the next request.
		Bounds func() Bounds
		// Memory bounds the memory for the bodies of requests and answers; nil sets no
		// bound. The context of a handler has its lease.
		Memory *mem.Budget
		// Link sends large responses at the rate of the node's link; nil sends them at once.
		Link *uplink.Link
		// RoomMillis returns how long a request whose header was read may wait for the memory
		// of its body; nil means BodyMillis.
		RoomMillis func(rc *fasthttp.RequestCtx) clock.Millis
		// Pipeline bounds the requests that are read ahead of their responses on one
		// connection; 0 means DefaultPipeline.
		Pipeline int

		// closing makes each connection close once all its requests are answered.
		closing atomic.Bool
		// numbers counts the connections that write over Link.
		numbers atomic.Uint64
		// ctx is the parent of the contexts of all requests; cancel ends it. Serve sets both.
		ctx    context.Context
		cancel context.CancelCauseFunc
		group  conc.WaitGroup

		// mu guards the following fields.
		mu       sync.Mutex
		listener net.Listener
		// closed is set by Close; a later Serve returns at once.
		closed bool
		// accepted is closed when Serve accepts no more connections; nil before Serve.
		accepted    chan struct{}
		connections map[*connection]struct{}
	}
)

// Serve accepts and serves connections until the listener is closed, and then returns
// nil.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return l.Close()
	}
	s.listener, s.accepted = l, make(chan struct{})
	defer close(s.accepted)
	if s.connections == nil {
		s.connections = make(map[*connection]struct{})
		s.ctx, s.cancel = context.WithCancelCause(context.Background())
	}
	s.mu.Unlock()
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded) && s.closing.Load():
			return nil
		case err != nil:
			time.Sleep(retryInterval)
			continue
		}
		c := newConnection(s, conn)
		s.mu.Lock()
		s.connections[c] = struct{}{}
		s.mu.Unlock()
		s.group.Go(c.serve)
	}
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// remove removes a closed connection from connections.
func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}

// pipeline returns the effective value of Pipeline.
func (s *Server) pipeline() int {
	return option.OrDefault(s.Pipeline, DefaultPipeline)
}
