package frame

import (
	"context"
	"net"
	"time"

	"hickoryrail/core/ident"
	"hickoryrail/core/result"
	"hickoryrail/io/peer"
)

// Call sends a request to a node and returns the complete answer. The error is a
// *result.Error: NotRun if the request was not sent completely or the peer refused it
// without running it, MayHaveRun otherwise. When ctx ends, the handler's ctx ends
// too.
func (t *Transport) Call(ctx context.Context, to ident.NodeID, address string, body []byte) ([]byte, error) {
	return t.call(ctx, to, address, body, false)
}

// CallFresh is Call on a new connection. Later calls use the new connection too.
func (t *Transport) CallFresh(ctx context.Context, to ident.NodeID, address string, body []byte) ([]byte, error) {
	return t.call(ctx, to, address, body, true)
}

// call makes a call and counts its verdict.
func (t *Transport) call(ctx context.Context, to ident.NodeID, address string, body []byte, fresh bool) ([]byte, error) {
	answer, err := t.attempt(ctx, to, address, body, fresh)
	t.metrics.calls.WithLabelValues(result.Of(err).String()).Inc()
	return answer, err
}

// attempt connects to the node and sends a request.
func (t *Transport) attempt(ctx context.Context, to ident.NodeID, address string, body []byte, fresh bool) ([]byte, error) {
	if len(body) > t.BodyBytes {
		return nil, result.NewError(result.NotRun, reasonTooLarge, nil)
	}
	c, err := t.connect(ctx, to, address, fresh)
	if err != nil {
		return nil, result.NewError(result.NotRun, reasonDial, err)
	}
	return c.exchange(ctx, kindCall, body)
}

// Echo sends an echo frame on a dialed connection and returns nil once the reply has
// arrived. It does not count as a call.
func (t *Transport) Echo(ctx context.Context, id peer.ConnectionID) error {
	t.mu.Lock()
	c := t.dialed[id]
	t.mu.Unlock()
	if c == nil {
		return result.NewError(result.NotRun, reasonLost, nil)
	}
	_, err := c.exchange(ctx, kindEcho, nil)
	return err
}

// SendControl queues a control message. It never blocks; a message that does not
// fit in the queue is dropped and counted. With an empty address it is sent only
// on a connection that the peer dialed. SendControl takes ownership of body.
func (t *Transport) SendControl(to ident.NodeID, address string, body []byte) {
	l := t.link(to)
	if l == nil {
		t.metrics.dropped.Inc()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) >= maxQueued {
		t.metrics.dropped.Inc()
		return
	}
	l.queue = append(l.queue, outgoing{address: address, body: body})
	if !l.flushing {
		l.flushing = true
		t.group.Go(func() { t.flush(l) })
	}
}

// flush sends the queued control messages of a link until the queue is empty. Messages
// that cannot be sent are dropped: the membership and distribution protocols, which
// use the transport, send again what they still need.
func (t *Transport) flush(l *link) {
	for {
		l.mu.Lock()
		if len(l.queue) == 0 {
			l.flushing, l.queue = false, nil
			l.mu.Unlock()
			return
		}
		out := l.queue[0]
		l.queue = l.queue[1:]
		l.mu.Unlock()
		if !t.sendControl(l.node, out) {
			t.metrics.dropped.Inc()
		}
	}
}

// sendControl sends one control message and reports whether it was written. It uses a
// connection that the peer dialed if there is one, which saves a dial.
func (t *Transport) sendControl(to ident.NodeID, out outgoing) bool {
	m := message{kind: kindControl, payload: out.body}
	if s := t.acceptedFrom(to); s != nil && s.write(m) == nil {
		t.metrics.controlSent.Add(uint64(lengthBytes + headerBytes + len(out.body)))
		return true
	}
	if out.address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(t.runCtx, dialMillis.Duration())
	defer cancel()
	c, err := t.connect(ctx, to, out.address, false)
	if err != nil || c.write(ctx, m) != nil {
		return false
	}
	t.metrics.controlSent.Add(uint64(lengthBytes + headerBytes + len(out.body)))
	return true
}

// Renew makes the following messages and calls to a node use a new connection, because the
// open ones may be silent. Calls in flight stay on theirs.
func (t *Transport) Renew(to ident.NodeID) {
	t.mu.Lock()
	for s := range t.accepted {
		if s.node == to {
			s.suspect = true
		}
	}
	t.mu.Unlock()
	l := t.link(to)
	if l == nil {
		return
	}
	l.mu.Lock()
	earlier := l.current
	l.current = nil
	l.mu.Unlock()
	if earlier != nil {
		t.metrics.renewed.Inc()
		earlier.retire()
	}
}

// deliverControl counts a received control message and passes it to OnControl.
func (t *Transport) deliverControl(from ident.NodeID, body []byte) {
	t.metrics.controlReceived.Add(uint64(lengthBytes + headerBytes + len(body)))
	if t.OnControl != nil {
		t.OnControl(from, body)
	}
}

// link returns the link to a node, or nil once the transport is closed.
func (t *Transport) link(to ident.NodeID) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil
	}
	l := t.links[to]
	if l == nil {
		l = &link{node: to}
		t.links[to] = l
	}
	return l
}

// connect returns a connection to a node at an address. If fresh is set, it was opened
// after connect was called. Concurrent callers share one dial.
func (t *Transport) connect(ctx context.Context, to ident.NodeID, address string, fresh bool) (*connection, error) {
	l := t.link(to)
	if l == nil {
		return nil, errClosed
	}
	previous := l.usable(address)
	if previous != nil && !fresh {
		return previous, nil
	}
	l.dialing.Lock()
	defer l.dialing.Unlock()
	if c := l.usable(address); c != nil && (!fresh || c != previous) {
		return c, nil
	}
	if err := l.checkRedialDelay(address); err != nil {
		return nil, err
	}
	return t.dial(ctx, l, address)
}

// usable returns the link's connection if it is open and was dialed to address, or
// nil.
func (l *link) usable(address string) *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil || l.current.address != address || l.current.ended() {
		return nil
	}
	return l.current
}

// checkRedialDelay returns errRedial during the pause after a failed dial to the same
// address.
func (l *link) checkRedialDelay(address string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failedAddress == address && time.Since(l.failedAt) < redialMillis.Duration() {
		return errRedial
	}
	return nil
}

// dial opens a connection and makes it the link's connection for new calls. The caller
// holds l.dialing.
func (t *Transport) dial(ctx context.Context, l *link, address string) (*connection, error) {
	d := net.Dialer{Timeout: dialMillis.Duration()}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		l.mu.Lock()
		l.failedAt, l.failedAddress = time.Now(), address
		l.mu.Unlock()
		return nil, err
	}
	c := &connection{transport: t, node: l.node, address: address, conn: conn, writing: make(chan struct{}, 1), waiting: make(map[callID]waiter)}
	if err := t.register(c); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if err := c.write(context.Background(), message{kind: kindHello, payload: []byte(t.Self)}); err != nil {
		return nil, err
	}
	l.mu.Lock()
	earlier := l.current
	l.current, l.failedAddress = c, ""
	l.mu.Unlock()
	if earlier != nil && earlier.address != address {
		earlier.fail(errReplaced)
	}
	t.emit(peer.Opened, c, 0)
	t.group.Go(c.receive)
	return c, nil
}

// register assigns an id to a dialed connection and adds it to the open ones. It
// returns errClosed if the transport is closed.
func (t *Transport) register(c *connection) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return errClosed
	}
	t.nextID++
	c.id = t.nextID
	t.dialed[c.id] = c
	return nil
}

// unregister removes a dialed connection that ended and reports its end.
func (t *Transport) unregister(c *connection) {
	t.mu.Lock()
	delete(t.dialed, c.id)
	t.mu.Unlock()
	t.metrics.lost.Inc()
	t.emit(peer.Closed, c, 0)
}
