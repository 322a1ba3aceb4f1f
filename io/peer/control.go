package peer

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc/panics"

	"hickoryrail/core/ident"
)

const (
	// controlTimeout bounds the sending and the receipt of one control message.
	controlTimeout = 5 * time.Second
	// redialDelay is the pause after a failed dial of a control connection.
	redialDelay = 500 * time.Millisecond
)

type (
	// parcel is a control message on its way to an address.
	parcel struct {
		address string
		body    []byte
	}

	// sender owns the queue of control messages for one node. Its other fields
	// belong to its goroutine.
	sender struct {
		to    ident.NodeID
		queue chan parcel
		// own is the connection dialed last, or nil, and address its address.
		own     *connection
		address string
		// watched is the connection used last. heard is the number of packets
		// that it had received, and since the time of the first message after
		// that.
		watched *connection
		heard   uint64
		since   time.Time
	}
)

// SendControl queues a control message. It never blocks; a message that does not
// fit in the queue is dropped and counted. With an empty address it is sent only
// if there is a connection. It owns body.
func (t *Transport) SendControl(to ident.NodeID, address string, body []byte) {
	if len(body) > t.Limits.ControlBytes {
		t.metrics.dropped.Inc()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.life == nil || t.closed {
		return
	}
	s := t.senders[to]
	if s == nil {
		if len(t.senders) >= t.Limits.ControlPeers {
			t.metrics.dropped.Inc()
			return
		}
		s = &sender{to: to, queue: make(chan parcel, t.Limits.ControlQueue)}
		t.senders[to] = s
		t.group.Go(func() { t.runSender(s) })
	}
	select {
	case s.queue <- parcel{address: address, body: body}:
	default:
		t.metrics.dropped.Inc()
	}
}

// runSender sends queued messages until the queue was empty for the idle time.
func (t *Transport) runSender(s *sender) {
	idle := time.NewTimer(t.Limits.IdleMillis.Duration())
	defer idle.Stop()
	for {
		select {
		case <-t.life.Done():
			t.dropOwn(s)
			return
		case p := <-s.queue:
			t.deliver(s, p)
			idle.Reset(t.Limits.IdleMillis.Duration())
		case <-idle.C:
			if t.removeSender(s) {
				t.dropOwn(s)
				return
			}
			idle.Reset(t.Limits.IdleMillis.Duration())
		}
	}
}

// removeSender removes a sender unless a message was queued meanwhile.
func (t *Transport) removeSender(s *sender) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(s.queue) > 0 {
		return false
	}
	delete(t.senders, s.to)
	return true
}

// deliver sends one message, or drops it: the state machines above repeat what
// matters.
func (t *Transport) deliver(s *sender, p parcel) {
	c := t.controlConnection(s, p.address)
	if c != nil && !t.watch(s, c) {
		c = t.controlConnection(s, p.address)
	}
	if c == nil && p.address == "" {
		t.metrics.dropped.Inc()
		return
	}
	if c == nil {
		t.dropQueue(s)
		return
	}
	ctx, cancel := context.WithTimeout(t.life, controlTimeout)
	defer cancel()
	stream, err := c.quic.OpenUniStreamSync(ctx)
	if err != nil {
		t.metrics.dropped.Inc()
		return
	}
	stop := context.AfterFunc(ctx, func() { stream.CancelWrite(codeCancelled) })
	defer stop()
	if _, err := stream.Write(p.body); err != nil {
		t.metrics.dropped.Inc()
		return
	}
	_ = stream.Close()
	t.metrics.controlSent.Inc()
	t.metrics.controlSentBytes.Add(float64(len(p.body)))
}

// watch closes a connection that has received no packet, not even an
// acknowledgement, for the stall time in which messages were sent. It returns
// false if it closed the connection.
func (t *Transport) watch(s *sender, c *connection) bool {
	heard := c.quic.ConnectionStats().PacketsReceived
	switch {
	case s.watched != c || s.heard != heard:
		s.watched, s.heard, s.since = c, heard, time.Now()
	case time.Since(s.since) > t.Limits.ControlStallMillis.Duration():
		t.metrics.stalled.Inc()
		c.close(codeCancelled, "silent")
		return false
	}
	return true
}

// controlConnection returns a live control connection: the one dialed before, one
// that the peer dialed, or a new one. It returns nil if the dial fails.
func (t *Transport) controlConnection(s *sender, address string) *connection {
	if s.own != nil && (s.own.quic.Context().Err() != nil || s.address != address && address != "") {
		t.dropOwn(s)
	}
	if s.own != nil {
		return s.own
	}
	t.mu.Lock()
	c := t.inbound[s.to]
	t.mu.Unlock()
	if c != nil && c.quic.Context().Err() == nil {
		return c
	}
	if address == "" {
		return nil
	}
	c, err := t.dial(s.to, address, controlProtocol)
	if err != nil {
		return nil
	}
	s.own, s.address = c, address
	t.metrics.follow(c)
	t.group.Go(func() {
		t.receiveControl(c)
		t.metrics.settle(c)
		c.release()
	})
	return c
}

// dropOwn closes the connection that the sender dialed.
func (t *Transport) dropOwn(s *sender) {
	if s.own != nil {
		s.own.close(codeClosed, "unused")
		s.own = nil
	}
}

// dropQueue drops what was queued for an unreachable node and pauses, so that its
// messages do not cause a dial each.
func (t *Transport) dropQueue(s *sender) {
	t.metrics.dropped.Inc()
	select {
	case <-t.life.Done():
	case <-time.After(redialDelay):
	}
	for {
		select {
		case <-s.queue:
			t.metrics.dropped.Inc()
		default:
			return
		}
	}
}

// receiveControl takes control messages from a connection until it closes.
func (t *Transport) receiveControl(c *connection) {
	for {
		stream, err := c.quic.AcceptUniStream(t.life)
		if err != nil {
			<-c.quic.Context().Done()
			return
		}
		t.group.Go(func() { t.receiveMessage(c, stream) })
	}
}

// receiveMessage reads one control message and passes it on.
func (t *Transport) receiveMessage(c *connection, stream *quic.ReceiveStream) {
	if err := stream.SetReadDeadline(time.Now().Add(controlTimeout)); err != nil {
		return
	}
	body, err := readAll(stream, t.Limits.ControlBytes, func(int) {})
	if err != nil {
		stream.CancelRead(codeCancelled)
		t.metrics.discarded.Inc()
		return
	}
	t.metrics.controlReceived.Inc()
	t.metrics.controlReceivedBytes.Add(float64(len(body)))
	if t.OnControl != nil && panics.Try(func() { t.OnControl(c.node, body) }) != nil {
		t.metrics.panics.Inc()
	}
}
