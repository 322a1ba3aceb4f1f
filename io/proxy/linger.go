package proxy

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"hickoryrail/core/clock"
)

const (
	// lingerMillis bounds how long the rest of a refused request is read.
	lingerMillis = 200 * clock.Millis(1)
	// lingerBytes bounds how much of it is read.
	lingerBytes = 8 << 20
)

type (
	// lingerListener returns connections that can close without a reset.
	lingerListener struct {
		net.Listener
	}

	// lingerConn is a caller's connection.
	lingerConn struct {
		*net.TCPConn
		// linger is taken by the first Close; a stop can close as well.
		linger atomic.Bool
	}
)

// Accept returns the next connection.
func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &lingerConn{TCPConn: tcp}, nil
}

// linger makes the later Close of c wait until the caller has read the answer.
func linger(c net.Conn) {
	if l, ok := c.(*lingerConn); ok {
		l.linger.Store(true)
	}
}

// Close closes the connection. After a refusal, the rest of the request is read
// first: closing with unread bytes sends a reset, which can overtake the answer.
func (c *lingerConn) Close() error {
	if c.linger.Swap(false) {
		_ = c.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(lingerMillis.Duration()))
		_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	}
	return c.TCPConn.Close()
}
