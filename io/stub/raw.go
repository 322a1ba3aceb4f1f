package stub

import (
	"bufio"
	"net"
	"net/http"
)

// Raw is a server on a loopback address that answers the first request of each connection
// with given bytes, which need not be an HTTP answer, and closes the connection.
type Raw struct {
	// Answer is sent as it is. Set it before Open.
	Answer string

	listener net.Listener
}

// Open binds the listener and starts to serve.
func (r *Raw) Open() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.listener = l
	go r.serve()
	return nil
}

// Address returns host:port of the listener, known after Open.
func (r *Raw) Address() string {
	return r.listener.Addr().String()
}

// Close closes the listener.
func (r *Raw) Close() error {
	return r.listener.Close()
}

// serve answers one connection after the other until the listener is closed.
func (r *Raw) serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = c.Write([]byte(r.Answer)) // the client may have gone away
		}
		_ = c.Close()
	}
}
