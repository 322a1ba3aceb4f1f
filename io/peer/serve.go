package peer

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc/panics"
	"github.com/sourcegraph/conc/pool"
)

const (
	// drainPoll is the interval at which Drain looks for work in flight.
	drainPoll = 5 * time.Millisecond
	// flushDelay lets the last control messages, such as a leave, go out and be
	// repeated once before the connections close.
	flushDelay = 100 * time.Millisecond
	// drainSilence is the time without a packet after which Drain no longer waits
	// for a caller. Callers give up a silent connection after 2 s by default, so
	// their calls on it have ended.
	drainSilence = 3 * time.Second
)

// serveCalls takes the streams of an accepted call connection.
func (t *Transport) serveCalls(c *connection) {
	for {
		s, err := c.quic.AcceptStream(t.life)
		if err != nil {
			return
		}
		t.group.Go(func() { t.serveStream(c, s) })
	}
}

// serveStream reads one request and writes its answer.
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

// serveCall runs one request unless the transport drains.
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

// answer writes the whole answer, or resets the stream.
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

// refuse tells the caller that its request was not run.
func refuse(s *quic.Stream) {
	s.CancelWrite(codeNotRun)
	s.CancelRead(codeNotRun)
}

// start counts a call that is about to run. It returns false once the transport
// drains.
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

// finish counts a call whose answer was written.
func (t *Transport) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// Drain refuses new calls of peers as not run and returns once every call that
// was running has been answered and its caller has closed the connection, which
// proves that the answer arrived, or went silent, and once the queued control
// messages were sent. It returns the error of ctx if that ends first.
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

// awaitEnd returns once the caller has closed a connection whose calls are all
// answered, or has been silent: it would acknowledge the request to go away, which
// is repeated until then.
func awaitEnd(ctx context.Context, c *connection) error {
	ticker := time.NewTicker(drainSilence)
	defer ticker.Stop()
	for heard := c.quic.ConnectionStats().PacketsReceived; ; {
		select {
		case <-c.quic.Context().Done():
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		n := c.quic.ConnectionStats().PacketsReceived
		if n == heard {
			return nil
		}
		heard = n
	}
}

// awaitIdle returns once no call runs and no control message is queued.
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

// goAway asks the caller to begin no further call on the connection and to close
// it after its last one.
func (t *Transport) goAway(c *connection) {
	s, err := c.quic.OpenUniStream()
	if err != nil {
		return
	}
	// The peer acts on the stream itself; content and errors do not matter.
	_, _ = s.Write([]byte{0})
	_ = s.Close()
}
