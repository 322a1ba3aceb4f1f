package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"hickoryrail/core/ident"
	"hickoryrail/core/result"
	"hickoryrail/io/keys"
)

type (
	// connection is one QUIC connection, dialed or accepted.
	connection struct {
		quic *quic.Conn
		node ident.NodeID
		// id is 0 unless the connection is a dialed call connection.
		id ConnectionID
		// control is set if the connection carries control messages, not calls.
		control bool
		// release closes the socket of a dialed connection.
		release func()

		// mu guards what follows.
		mu sync.Mutex
		// outstanding counts the calls of this node on the connection.
		outstanding int
		// retired is set once; no call of this node begins afterwards.
		retired bool
		// served is set once a call of the peer was started on the connection.
		served bool
		// lastUsed is the time of the last begin or end of a call.
		lastUsed time.Time
	}

	// link is the call connection to a node, or the dial of one, for which several
	// calls can wait.
	link struct {
		address string
		// done is closed when c or err is set.
		done chan struct{}
		c    *connection
		err  error
	}
)

// Reasons in the errors of calls; the proxy and the metrics use them unchanged.
const (
	reasonDial      = "peer unreachable"
	reasonClosed    = "transport closed"
	reasonCap       = "too many connections"
	reasonRetired   = "peer is draining"
	reasonStream    = "no stream to peer"
	reasonTooLarge  = "body too large"
	reasonRefused   = "refused by peer"
	reasonLost      = "connection to peer lost"
	reasonReset     = "answer reset by peer"
	reasonCancelled = "cancelled"
	reasonDeadline  = "deadline exceeded"
)

// begin counts a new call. It returns false if the connection is retired.
func (c *connection) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return false
	}
	c.outstanding++
	c.lastUsed = time.Now()
	return true
}

// finish counts the end of a call and closes a retired connection after its last call.
func (c *connection) finish() {
	c.mu.Lock()
	c.outstanding--
	c.lastUsed = time.Now()
	last := c.retired && c.outstanding == 0
	c.mu.Unlock()
	if last {
		c.close(codeClosed, "retired")
	}
}

// idleFor returns how long the connection has had no call, or 0 if it has one.
func (c *connection) idleFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outstanding > 0 {
		return 0
	}
	return time.Since(c.lastUsed)
}

// usable reports whether new calls can begin on the connection.
func (c *connection) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.retired && c.quic.Context().Err() == nil
}

// closeCode returns codeNotRun if no call of the peer was started on the connection,
// which makes the verdict of its calls certain, and codeClosed otherwise. It must be
// called when no further call can start.
func (c *connection) closeCode() quic.ApplicationErrorCode {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.served {
		return codeClosed
	}
	return codeNotRun
}

// close closes the connection immediately.
func (c *connection) close(code quic.ApplicationErrorCode, reason string) {
	_ = c.quic.CloseWithError(code, reason)
}

// retire excludes a connection from new calls and closes it after its last call.
func (t *Transport) retire(c *connection) {
	t.forget(c)
	c.mu.Lock()
	c.retired = true
	idle := c.outstanding == 0
	c.mu.Unlock()
	if idle {
		c.close(codeClosed, "retired")
	}
}

// forget removes the connection's link, so that the next call dials a new one.
func (t *Transport) forget(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[c.node]; l != nil && l.c == c {
		delete(t.links, c.node)
	}
}

// CloseConnection closes a dialed call connection immediately, for example because the
// stall detector found it silent. Its calls end with MayHaveRun; new calls use another
// connection.
func (t *Transport) CloseConnection(id ConnectionID) {
	t.mu.Lock()
	c := t.dialed[id]
	t.mu.Unlock()
	if c == nil {
		return
	}
	t.forget(c)
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	c.close(codeCancelled, "closed by stall detector")
}

// connect returns a call connection to the node. If fresh is set, it is one whose
// handshake completes after connect was called.
func (t *Transport) connect(ctx context.Context, to ident.NodeID, address string, fresh bool) (*connection, error) {
	l, err := t.link(to, address, fresh)
	if err != nil {
		return nil, err
	}
	select {
	case <-l.done:
	case <-ctx.Done():
		return nil, contextError(ctx, result.NotRun)
	}
	if l.err != nil {
		return nil, result.NewError(result.NotRun, reasonDial, l.err)
	}
	return l.c, nil
}

// link returns the node's link. If there is no usable one, it starts a dial.
func (t *Transport) link(to ident.NodeID, address string, fresh bool) (*link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runCtx == nil || t.closed {
		return nil, result.NewError(result.NotRun, reasonClosed, errClosed)
	}
	if l := t.links[to]; l != nil && l.address == address {
		dialing := l.c == nil
		if dialing || !fresh && l.c.usable() {
			return l, nil
		}
	}
	if len(t.dialed) >= t.Limits.Connections && !t.evictIdle() {
		return nil, result.NewError(result.NotRun, reasonCap, nil)
	}
	l := &link{address: address, done: make(chan struct{})}
	t.links[to] = l
	t.group.Go(func() { t.dialLink(l, to) })
	return l, nil
}

// evictIdle retires the dialed connection that has been idle for longest. It returns
// false if none is idle. The caller holds t.mu.
func (t *Transport) evictIdle() bool {
	var oldest *connection
	var longest time.Duration
	for _, c := range t.dialed {
		if d := c.idleFor(); d > longest {
			oldest, longest = c, d
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.dialed, oldest.id)
	t.group.Go(func() { t.retire(oldest) })
	return true
}

// dialLink dials a call connection and passes the outcome to the calls that wait for
// the link.
func (t *Transport) dialLink(l *link, to ident.NodeID) {
	c, err := t.dial(to, l.address, callProtocol)
	t.mu.Lock()
	if err == nil && t.closed {
		c.close(codeClosed, "shutdown")
		err = errClosed
	}
	if err == nil {
		t.nextID++
		c.id = t.nextID
		c.lastUsed = time.Now()
		t.dialed[c.id] = c
	} else if t.links[to] == l {
		delete(t.links, to)
	}
	l.c, l.err = c, err
	t.mu.Unlock()
	if err == nil {
		t.emit(Opened, c, 0)
		t.group.Go(func() { t.awaitGoAway(c) })
		t.group.Go(func() { t.awaitClose(c) })
	}
	close(l.done)
}

// awaitClose removes a dialed connection and closes its socket once it is closed.
func (t *Transport) awaitClose(c *connection) {
	<-c.quic.Context().Done()
	t.forget(c)
	t.mu.Lock()
	delete(t.dialed, c.id)
	t.mu.Unlock()
	c.release()
	t.emit(Closed, c, 0)
}

// awaitGoAway retires the connection when the peer opens a unidirectional stream, by
// which it reports that it drains.
func (t *Transport) awaitGoAway(c *connection) {
	if _, err := c.quic.AcceptUniStream(t.runCtx); err == nil {
		t.retire(c)
	}
}

// dial opens a connection from a new socket: if the network drops the packets between
// one pair of ports, the next connection is not affected.
func (t *Transport) dial(to ident.NodeID, address, protocol string) (*connection, error) {
	t.metrics.dials.Inc()
	c, err := t.handshake(to, address, protocol)
	if err != nil {
		t.metrics.dialFailures.Inc()
		return nil, fmt.Errorf("dial %s at %s: %w", to, address, err)
	}
	return c, nil
}

// handshake binds a socket and sets up a connection from it.
func (t *Transport) handshake(to ident.NodeID, address, protocol string) (*connection, error) {
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	local := &net.UDPAddr{IP: t.socket.LocalAddr().(*net.UDPAddr).IP}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: socket}
	release := func() { _ = errors.Join(transport.Close(), socket.Close()) }
	ctx, cancel := context.WithTimeout(t.runCtx, t.Limits.HandshakeMillis.Duration())
	defer cancel()
	keepAlive := time.Duration(0)
	if protocol == callProtocol {
		keepAlive = t.Limits.IdleMillis.Duration() / keepAliveDivisor
	}
	conn, err := transport.Dial(ctx, remote, t.clientTLS(to, protocol), t.config(keepAlive))
	if err != nil {
		release()
		return nil, err
	}
	return &connection{quic: conn, node: to, control: protocol == controlProtocol, release: release}, nil
}

// accept accepts connections of peers until the listener is closed and its queue is
// empty. Those that it accepts after stopListening are closed as not run.
func (t *Transport) accept() {
	for {
		conn, err := t.listener.Accept(context.Background())
		if err != nil {
			return
		}
		state := conn.ConnectionState().TLS
		node, err := keys.NodeOf(state.PeerCertificates[0])
		if err != nil {
			_ = conn.CloseWithError(codeNotRun, "no node in certificate")
			continue
		}
		c := &connection{
			quic: conn, node: node, lastUsed: time.Now(),
			control: state.NegotiatedProtocol == controlProtocol,
		}
		t.admit(c)
	}
}

// admit serves an accepted connection, or closes it if the transport is closed.
func (t *Transport) admit(c *connection) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		c.close(codeNotRun, "shutdown")
		return
	}
	t.accepted[c] = struct{}{}
	if c.control {
		t.inbound[c.node] = c
	}
	draining := t.draining
	t.mu.Unlock()
	t.group.Go(func() { t.serve(c, draining) })
}

// serve handles an accepted connection until it is closed. If the transport drained when
// the connection was accepted, it asks the caller to go away.
func (t *Transport) serve(c *connection, draining bool) {
	if c.control {
		t.metrics.track(c)
		t.receiveControl(c)
		t.metrics.untrack(c)
	} else {
		if draining {
			t.goAway(c)
		}
		t.serveCalls(c)
	}
	t.mu.Lock()
	delete(t.accepted, c)
	if t.inbound[c.node] == c {
		delete(t.inbound, c.node)
	}
	t.mu.Unlock()
}

// contextError returns the error, with verdict v, of a call whose ctx has ended.
func contextError(ctx context.Context, v result.Verdict) *result.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.NewError(v, reasonDeadline, ctx.Err())
	}
	return result.NewError(v, reasonCancelled, context.Cause(ctx))
}
