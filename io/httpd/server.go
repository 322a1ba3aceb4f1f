// Package httpd provides the HTTP/1.1 server of the data path. It reads requests
// ahead of their answers, answers in order, and ends a request's context when its
// caller closes the connection. The parser is that of fasthttp.
package httpd

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// DefaultPipeline is the number of requests that are read ahead on one
	// connection.
	DefaultPipeline = 16
	// acceptPause is the pause after a failed accept, for example without
	// descriptors.
	acceptPause = 5 * time.Millisecond
)

type (
	// Bounds limits what callers send. A zero time sets no bound.
	Bounds struct {
		HeaderBytes ident.Bytes
		BodyBytes   ident.Bytes
		// HeaderMillis bounds the arrival of a header, and BodyMillis that of a
		// body and the writing of an answer.
		HeaderMillis clock.Millis
		BodyMillis   clock.Millis
		// IdleMillis is how long a connection without a request stays open.
		IdleMillis clock.Millis
	}

	// Server is an HTTP server on one listener. Set the exported fields before
	// Serve.
	Server struct {
		// Handler answers one request. It runs in a goroutine of its own for each
		// request; ctx ends when the caller closes the connection.
		Handler func(ctx context.Context, rc *fasthttp.RequestCtx)
		// Malformed answers a request that could not be read; the connection
		// closes afterwards.
		Malformed func(rc *fasthttp.RequestCtx, err error)
		// Bounds returns the bounds for the next request.
		Bounds func() Bounds
		// Pipeline bounds the requests that are read ahead; 0 means the default.
		Pipeline int

		// closing makes each connection close after the answers that it owes.
		closing atomic.Bool
		group   conc.WaitGroup

		// mu guards what follows.
		mu       sync.Mutex
		listener net.Listener
		open     map[*connection]struct{}
	}
)

// Serve serves connections until the listener is closed. It returns nil after
// Close.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	if s.open == nil {
		s.open = make(map[*connection]struct{})
	}
	s.mu.Unlock()
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			time.Sleep(acceptPause)
			continue
		}
		c := newConnection(s, conn)
		s.mu.Lock()
		s.open[c] = struct{}{}
		s.mu.Unlock()
		s.group.Go(c.serve)
	}
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// BeginClose makes every connection close once it owes no answer. New connections
// get one answer each.
func (s *Server) BeginClose() {
	s.closing.Store(true)
}

// CloseIdle closes the connections that owe no answer and have no bytes of a
// request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.closeIfIdle()
	}
}

// Close closes the listener and every idle connection, and waits until the others
// have sent their answers or ctx ends; those that are left are then closed.
func (s *Server) Close(ctx context.Context) error {
	s.BeginClose()
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			return err
		}
	}
	t := time.NewTicker(acceptPause)
	defer t.Stop()
	for s.OpenConnections() > 0 {
		s.CloseIdle()
		select {
		case <-t.C:
			continue
		case <-ctx.Done():
		}
		s.closeAll()
		break
	}
	s.group.Wait()
	return ctx.Err()
}

// closeAll closes every connection.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		_ = c.conn.Close()
	}
}

// removed forgets a connection.
func (s *Server) removed(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// pipeline returns the bound of requests that are read ahead.
func (s *Server) pipeline() int {
	if s.Pipeline > 0 {
		return s.Pipeline
	}
	return DefaultPipeline
}
