package sock

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// lingerPause is the time without bytes from the peer after which a connection is
	// closed, if the peer has acknowledged everything that was sent.
	lingerPause = 200 * time.Millisecond
	// lingerLimit bounds the time in which bytes of such a peer are discarded.
	lingerLimit = time.Second
	// lingerBufferBytes is the size of the reads.
	lingerBufferBytes = 4 << 10
)

// halfCloser is a connection whose sending side can be closed alone.
type halfCloser interface {
	CloseWrite() error
}

// InterruptRead makes a blocked read of a connection, and later ones, fail with a timeout.
func InterruptRead(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Unix(1, 0)) // fails on a closed connection, whose reads fail already
}

// CloseGracefully closes a connection in stages (RFC 9112, section 9.6): it closes the
// sending side, and discards what the peer still sends until the peer closes its side or
// has acknowledged everything. Closing at once would reset the connection if the peer
// sends more, and the peer would lose what is still under way to it. The close takes at
// most timeout; without a limit if that is 0. A connection that cannot be half closed, or
// whose peer has gone, is closed at once. Nothing else may read from the connection.
func CloseGracefully(conn net.Conn, timeout time.Duration) {
	if c, ok := conn.(halfCloser); ok && c.CloseWrite() == nil {
		linger(conn, timeout)
	}
	_ = conn.Close() // the connection is given up whatever its state
}

// linger discards what the peer sends until the peer closes or needs no more time.
func linger(conn net.Conn, timeout time.Duration) {
	probe := NewProbe(conn)
	began := time.Now()
	acknowledgedAt := began
	buffer := make([]byte, lingerBufferBytes)
	for timeout == 0 || time.Since(began) < timeout {
		_ = conn.SetReadDeadline(time.Now().Add(lingerPause)) // the read reports a closed connection
		_, err := conn.Read(buffer)
		paused := errors.Is(err, os.ErrDeadlineExceeded)
		if err != nil && !paused {
			return
		}
		if !probe.Acknowledged() {
			acknowledgedAt = time.Now()
			continue
		}
		if paused || time.Since(acknowledgedAt) > lingerLimit {
			return
		}
	}
}
