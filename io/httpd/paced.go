package httpd

import (
	"context"
	"io"
	"net"
	"time"

	"hickoryrail/io/uplink"
)

// httpConnections sets the numbers of callers' connections apart from those between nodes,
// which the link counts too.
const httpConnections = 1 << 63

// pacedWriter writes the responses of one connection over the link of the node. Large parts
// of them are written in pieces, at the rate of the link.
type pacedWriter struct {
	connection *connection
	link       *uplink.Link
	number     uint64
}

// writer returns what responses are written to. Those to a caller on this server do not use
// the link.
func (c *connection) writer() io.Writer {
	if c.server.Link == nil || isLocal(c.conn) {
		return c.conn
	}
	return &pacedWriter{connection: c, link: c.server.Link, number: httpConnections | c.server.numbers.Add(1)}
}

// Write writes p, which is of one response.
func (w *pacedWriter) Write(p []byte) (int, error) {
	sending := w.link.Begin(len(p))
	if sending == nil {
		n, err := w.connection.conn.Write(p)
		w.link.Sent(n)
		return n, err
	}
	written := 0
	defer func() { sending.End(written == len(p)) }()
	for written < len(p) {
		// The wait ends, since it is bounded by the answers before this one.
		if err := sending.Await(context.Background(), uplink.PieceBytes); err != nil {
			return written, err
		}
		w.connection.setWriteDeadline()
		began := time.Now()
		n, err := w.connection.conn.Write(p[written:min(written+uplink.PieceBytes, len(p))])
		written += n
		if err != nil {
			return written, err
		}
		sending.Wrote(w.number, n, time.Since(began))
	}
	return written, nil
}

// isLocal reports whether both ends of a connection have the same IP address.
func isLocal(conn net.Conn) bool {
	local, ok := conn.LocalAddr().(*net.TCPAddr)
	remote, okRemote := conn.RemoteAddr().(*net.TCPAddr)
	return ok && okRemote && local.IP.Equal(remote.IP)
}
