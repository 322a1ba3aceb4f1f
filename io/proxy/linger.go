package proxy

import (
	"net"
	"sync/atomic"
	"time"

	"hickoryrail/core/clock"
)

const (
	// lingerPauseMillis is the pause in the rest of a refused request after which its
	// connection is closed, and lingerCloseMillis bounds the time in which the rest is read.
	lingerPauseMillis = 200 * clock.Millis(1)
	lingerCloseMillis = 1 * clock.Second
	// lingerCloseBytes bounds how much of the rest is read: it is the largest body that
	// callers may send.
	lingerCloseBytes = 64 << 20
	// lingerBufferBytes is the size of the reads.
	lingerBufferBytes = 32 << 10
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
		c.discardRest()
	}
	return c.TCPConn.Close()
}

// discardRest reads until the end of the connection or one of the bounds.
func (c *lingerConn) discardRest() {
	buffer := make([]byte, lingerBufferBytes)
	until := time.Now().Add(lingerCloseMillis.Duration())
	for rest := lingerCloseBytes; rest > 0 && time.Now().Before(until); {
		_ = c.SetReadDeadline(time.Now().Add(lingerPauseMillis.Duration())) // the read reports a closed connection
		n, err := c.TCPConn.Read(buffer)
		if err != nil {
			return
		}
		rest -= n
	}
}
