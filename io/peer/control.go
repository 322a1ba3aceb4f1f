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
	// redialDelay is the pause of a sender after a failed dial of a control connection.
	redialDelay = 500 * time.Millisecond
)

type (
	// outgoing is a control message to be sent to an address.
	outgoing struct {
		address string
		body    []byte
	}

	// sender sends control messages to one node. The fields after queue are used by
	// its goroutine only.
	sender struct {
		to    ident.NodeID
		queue chan outgoing
		// dialed is the last connection that the sender dialed, or nil, and address
		// the address to which it was dialed.
		dialed  *connection
		address string
		// observed is the connection of the last message and packetsReceived the
		// number of packets that it had received by then. silentSince is the time
		// of the first message with this number.
		observed        *connection
		packetsReceived uint64
		silentSince     time.Time
	}
)

// SendControl queues a control message. It never blocks; a message that does not
// fit in the queue is dropped and counted. With an empty address it is sent only
// if a control connection is open. SendControl takes ownership of body.
func (t *Transport) SendControl(to ident.NodeID, address string, body []byte) {
	if len(body) > t.Limits.ControlBytes {
		t.metrics.dropped.Inc()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runCtx == nil || t.closed {
		return
	}
	s := t.senders[to]
	if s == nil {
		if len(t.senders) >= t.Limits.ControlPeers {
			t.metrics.dropped.Inc()
			return
		}
		s = &sender{to: to, queue: make(chan outgoing, t.Limits.ControlQueue)}
		t.senders[to] = s
		t.group.Go(func() { t.runSender(s) })
	}
	select {
	case s.queue <- outgoing{address: address, body: body}:
	default:
		t.metrics.dropped.Inc()
	}
}

// Renew does nothing: a sender replaces a control connection itself on which no packet
// arrives.
func (t *Transport) Renew(ident.NodeID) {}

// runSender sends queued messages until the queue has been empty for the idle timeout.
func (t *Transport) runSender(s *sender) {
	idle := time.NewTimer(t.Limits.IdleMillis.Duration())
	defer idle.Stop()
	for {
		select {
		case <-t.runCtx.Done():
			t.closeDialed(s)
			return
		case out := <-s.queue:
			t.send(s, out)
			idle.Reset(t.Limits.IdleMillis.Duration())
		case <-idle.C:
			if t.removeSender(s) {
				t.closeDialed(s)
				return
			}
			idle.Reset(t.Limits.IdleMillis.Duration())
		}
	}
}

// removeSender removes a sender and returns true, unless a message was queued
// meanwhile.
func (t *Transport) removeSender(s *sender) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(s.queue) > 0 {
		return false
	}
	delete(t.senders, s.to)
	return true
}

// send sends one message. A message that cannot be sent is dropped: the membership and
// distribution protocols, which use the transport, send again what they still need.
func (t *Transport) send(s *sender, out outgoing) {
	c := t.controlConnection(s, out.address)
	if c != nil && !t.checkProgress(s, c) {
		c = t.controlConnection(s, out.address)
	}
	if c == nil && out.address == "" {
		t.metrics.dropped.Inc()
		return
	}
	if c == nil {
		t.dropQueue(s)
		return
	}
	ctx, cancel := context.WithTimeout(t.runCtx, controlTimeout)
	defer cancel()
	stream, err := c.quic.OpenUniStreamSync(ctx)
	if err != nil {
		t.metrics.dropped.Inc()
		return
	}
	stop := context.AfterFunc(ctx, func() { stream.CancelWrite(codeCancelled) })
	defer stop()
	if _, err := stream.Write(out.body); err != nil {
		t.metrics.dropped.Inc()
		return
	}
	_ = stream.Close()
	t.metrics.controlSent.Inc()
	t.metrics.controlSentBytes.Add(float64(len(out.body)))
}

// checkProgress closes a connection that has received no packet, not even an
// acknowledgement, for ControlStallMillis although messages were sent on it. It
// returns false if it closed the connection.
func (t *Transport) checkProgress(s *sender, c *connection) bool {
	received := c.quic.ConnectionStats().PacketsReceived
	switch {
	case s.observed != c || s.packetsReceived != received:
		s.observed, s.packetsReceived, s.silentSince = c, received, time.Now()
	case time.Since(s.silentSince) > t.Limits.ControlStallMillis.Duration():
		t.metrics.stalled.Inc()
		c.close(codeCancelled, "silent")
		return false
	}
	return true
}

// controlConnection returns an open control connection: the one that the sender dialed
// before, one that the peer dialed, or a new one. It returns nil if the dial fails or
// address is empty and no connection is open.
func (t *Transport) controlConnection(s *sender, address string) *connection {
	if s.dialed != nil && (s.dialed.quic.Context().Err() != nil || s.address != address && address != "") {
		t.closeDialed(s)
	}
	if s.dialed != nil {
		return s.dialed
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
	s.dialed, s.address = c, address
	t.metrics.track(c)
	t.group.Go(func() {
		t.receiveControl(c)
		t.metrics.untrack(c)
		c.release()
	})
	return c
}

// closeDialed closes the connection that the sender dialed.
func (t *Transport) closeDialed(s *sender) {
	if s.dialed != nil {
		s.dialed.close(codeClosed, "unused")
		s.dialed = nil
	}
}

// dropQueue waits for redialDelay and drops the messages queued for an unreachable
// node, so that they do not cause a dial each.
func (t *Transport) dropQueue(s *sender) {
	t.metrics.dropped.Inc()
	select {
	case <-t.runCtx.Done():
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

// receiveControl receives control messages from a connection until it is closed.
func (t *Transport) receiveControl(c *connection) {
	for {
		stream, err := c.quic.AcceptUniStream(t.runCtx)
		if err != nil {
			<-c.quic.Context().Done()
			return
		}
		t.group.Go(func() { t.receiveMessage(c, stream) })
	}
}

// receiveMessage reads one control message and passes it to OnControl.
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
