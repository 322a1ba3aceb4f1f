package httpd

import (
	"context"
	"errors"
	"net"
	"time"
)

// acceptRestInterval is how long a closing server goes on accepting connections.
const acceptRestInterval = 100 * time.Millisecond

// deadliner is a listener whose Accept can be ended without closing it.
type deadliner interface {
	SetDeadline(at time.Time) error
}

// BeginClose makes every connection close once all its requests are answered. New
// connections close after one response.
func (s *Server) BeginClose() {
	s.closing.Store(true)
}

// Cancel ends the contexts of all requests with a cause, without closing their
// connections, so that their handlers can still respond.
func (s *Server) Cancel(cause error) {
	s.mu.Lock()
	cancel := s.cancel
	s.mu.Unlock()
	if cancel != nil {
		cancel(cause)
	}
}

// CloseIdle closes the connections on which no request is unanswered or being read.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.closeIfIdle()
	}
}

// Close closes the listener and all idle connections. It waits until the requests on
// the other connections are answered or ctx ends, and then closes the rest. The
// connections that callers have opened before are accepted first.
func (s *Server) Close(ctx context.Context) error {
	s.BeginClose()
	s.mu.Lock()
	s.closed = true
	l, accepted := s.listener, s.accepted
	s.mu.Unlock()
	if l != nil {
		acceptRest(ctx, l, accepted)
		if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			return err
		}
	}
	t := time.NewTicker(retryInterval)
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

// acceptRest lets Serve accept the connections that callers have opened already: closing
// the listener resets those, with the requests that were sent on them. accepted is closed
// when Serve accepts no more.
func acceptRest(ctx context.Context, l net.Listener, accepted <-chan struct{}) {
	d, ok := l.(deadliner)
	if !ok || ctx.Err() != nil || d.SetDeadline(time.Now().Add(acceptRestInterval)) != nil {
		return
	}
	select {
	case <-accepted:
	case <-ctx.Done():
	}
}

// closeAll closes every connection.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		_ = c.conn.Close()
	}
}
