package proxy

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"hickoryrail/core/clock"
)

const (
	// lingerCloseMillis bounds how long the rest of a refused request is read before its
	// connection is closed.
	lingerCloseMillis = 200 * clock.Millis(1)
	// lingerCloseBytes bounds how much of the rest is read.
	lingerCloseBytes = 8 << 20
)

type (
	// lingerListener accepts connections that can be closed without a reset.
	lingerListener struct {
		*net.TCPListener
	}

	// lingerConn is a caller's connection.
	lingerConn struct {
		*net.TCPConn
		// linger makes Close read the rest of the request. Close is also called when
		// the server stops; the first call resets the flag.
		linger atomic.Bool
	}
)

// Accept returns the next connection.
func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &lingerConn{TCPConn: c}, nil
}

// linger makes Close of c read the rest of the request first, so that the caller gets
// the response.
func linger(c net.Conn) {
	if l, ok := c.(*lingerConn); ok {
		l.linger.Store(true)
	}
}

// Close closes the connection. After linger it first reads the rest of the request:
// closing a connection with unread bytes sends a reset, which can overtake the
// response.
func (c *lingerConn) Close() error {
	if c.linger.Swap(false) {
		_ = c.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(lingerCloseMillis.Duration()))
		_, _ = io.CopyN(io.Discard, c.TCPConn, lingerCloseBytes)
	}
	return c.TCPConn.Close()
}
