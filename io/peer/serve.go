package peer

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc/panics"
	"github.com/sourcegraph/conc/pool"
)

const (
	// drainPoll is the interval at which Drain checks for running calls and queued
	// control messages.
	drainPoll = 5 * time.Millisecond
	// flushDelay is enough time for the last control messages, such as a leave, to be
	// sent and retransmitted once before the connections close.
	flushDelay = 100 * time.Millisecond
	// drainSilence is the time without a packet after which Drain no longer waits
	// for a caller. Callers close a silent connection after 2 s by default, so their
	// calls on it have ended by then.
	drainSilence = 3 * time.Second
)

// serveCalls serves the streams of an accepted call connection until it is closed.
func (t *Transport) serveCalls(c *connection) {
	for {
		s, err := c.quic.AcceptStream(t.runCtx)
		if err != nil {
			return
		}
		t.group.Go(func() { t.serveStream(c, s) })
	}
}

// serveStream reads one call or echo and answers it.
func (t *Transport) serveStream(c *connection, s *quic.Stream) {
	request, err := readAll(s, 1+t.Limits.BodyBytes, func(int) {})
	if err != nil || len(request) == 0 {
		refuse(s)
		return
	}
	switch request[0] {
	case frameEcho:
		t.answer(s, request[1:])
	case frameCall:
		t.serveCall(c, s, request[1:])
	default:
		refuse(s)
	}
}

// serveCall runs one request, or refuses it if the transport is draining or has no
// OnCall.
func (t *Transport) serveCall(c *connection, s *quic.Stream, body []byte) {
	if t.OnCall == nil || !t.start(c) {
		t.metrics.refused.Inc()
		refuse(s)
		return
	}
	defer t.finish()
	t.metrics.served.Inc()
	var answer []byte
	if panics.Try(func() { answer = t.OnCall(s.Context(), c.node, body) }) != nil {
		t.metrics.panics.Inc()
		s.CancelWrite(codeFailed)
		return
	}
	t.answer(s, answer)
}

// answer writes the complete answer, or resets the stream.
func (t *Transport) answer(s *quic.Stream, body []byte) {
	if len(body) > t.Limits.BodyBytes {
		s.CancelWrite(codeFailed)
		return
	}
	if _, err := s.Write(body); err != nil {
		s.CancelWrite(codeFailed)
		return
	}
	_ = s.Close()
}

// refuse resets the stream with the code for a request that was not run.
func refuse(s *quic.Stream) {
	s.CancelWrite(codeNotRun)
	s.CancelRead(codeNotRun)
}

// start counts a call that is about to run. It returns false if the transport is
// draining.
func (t *Transport) start(c *connection) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return false
	}
	t.running++
	c.mu.Lock()
	c.served = true
	c.mu.Unlock()
	return true
}

// finish counts the end of a call whose answer was written or whose stream was reset.
func (t *Transport) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// Drain refuses new calls of peers as not run. It returns once the running calls have
// been answered, the queued control messages were sent, and each caller has closed its
// connection, which proves that the answers arrived, or has been silent for
// drainSilence. It returns the error of ctx if that ends first.
func (t *Transport) Drain(ctx context.Context) error {
	t.mu.Lock()
	t.draining = true
	var calls []*connection
	for c := range t.accepted {
		if !c.control {
			calls = append(calls, c)
		}
	}
	t.mu.Unlock()
	for _, c := range calls {
		t.goAway(c)
	}
	if err := t.awaitIdle(ctx); err != nil {
		return err
	}
	ends := pool.New().WithErrors()
	for _, c := range calls {
		ends.Go(func() error { return awaitEnd(ctx, c) })
	}
	if err := ends.Wait(); err != nil {
		return err
	}
	select {
	case <-time.After(flushDelay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitEnd returns once the caller has closed a connection whose calls are all answered,
// or has been silent for drainSilence. A caller that can be reached is not silent: it
// acknowledges the request to go away, which QUIC retransmits until then.
func awaitEnd(ctx context.Context, c *connection) error {
	ticker := time.NewTicker(drainSilence)
	defer ticker.Stop()
	for received := c.quic.ConnectionStats().PacketsReceived; ; {
		select {
		case <-c.quic.Context().Done():
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		n := c.quic.ConnectionStats().PacketsReceived
		if n == received {
			return nil
		}
		received = n
	}
}

// awaitIdle returns once no call of a peer is running and no control message is queued.
func (t *Transport) awaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		t.mu.Lock()
		pending := t.running
		for _, s := range t.senders {
			pending += len(s.queue)
		}
		t.mu.Unlock()
		if pending == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// goAway asks the caller to begin no further call on the connection and to close it
// after its last call.
func (t *Transport) goAway(c *connection) {
	s, err := c.quic.OpenUniStream()
	if err != nil {
		return
	}
	// The peer reacts to the opening of the stream; its content and write errors do not
	// matter.
	_, _ = s.Write([]byte{0})
	_ = s.Close()
}
