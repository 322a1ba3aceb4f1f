package frame

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc/panics"

	"hickoryrail/core/ident"
)

// helloTimeout bounds the arrival of the first frame of a connection.
const helloTimeout = 2 * time.Second

// served is an accepted connection.
type served struct {
	transport *Transport
	conn      net.Conn
	// node is set by the first frame, before the connection is in accepted.
	node ident.NodeID
	// life ends with the connection.
	life context.Context

	// writing serializes frames.
	writing sync.Mutex

	// mu guards cancels.
	mu sync.Mutex
	// cancels holds a function for each call that runs.
	cancels map[callID]context.CancelFunc
}

// accept serves the connections of peers until the listener is closed.
func (t *Transport) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			if t.life.Err() != nil || isClosed(t) {
				return
			}
			time.Sleep(drainPoll) // out of descriptors, for example
			continue
		}
		t.group.Go(func() { t.serve(conn) })
	}
}

// isClosed reports whether the transport was closed.
func isClosed(t *Transport) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}

// serve reads the frames of one peer.
func (t *Transport) serve(conn net.Conn) {
	defer conn.Close()
	b := bufio.NewReaderSize(conn, bufferBytes)
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout)) // the read reports a closed connection
	m, err := read(b, bufferBytes)
	if err != nil || m.kind != kindHello || conn.SetReadDeadline(time.Time{}) != nil {
		return
	}
	life, end := context.WithCancel(t.life)
	defer end()
	s := &served{transport: t, conn: conn, node: ident.NodeID(m.payload), life: life, cancels: make(map[callID]context.CancelFunc)}
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return
	}
	t.accepted[s] = struct{}{}
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.accepted, s)
		t.mu.Unlock()
	}()
	for {
		m, err := read(b, t.BodyBytes)
		if err != nil {
			return
		}
		s.handle(m)
	}
}

// handle takes one frame.
func (s *served) handle(m message) {
	switch m.kind {
	case kindControl:
		s.transport.control(s.node, m.payload)
	case kindEcho:
		_ = s.write(message{kind: kindEchoed, id: m.id}) // the reader notices a lost connection
	case kindCancel:
		s.mu.Lock()
		cancel := s.cancels[m.id]
		s.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	case kindCall:
		s.call(m)
	}
}

// call starts a call unless the transport drains.
func (s *served) call(m message) {
	t := s.transport
	t.mu.Lock()
	refuse := t.draining || t.OnCall == nil
	if !refuse {
		t.running++
	}
	t.mu.Unlock()
	if refuse {
		t.metrics.refused.Inc()
		_ = s.write(message{kind: kindRefused, id: m.id}) // a lost connection says less, never something wrong
		return
	}
	t.metrics.served.Inc()
	ctx, cancel := context.WithCancel(s.life)
	s.mu.Lock()
	s.cancels[m.id] = cancel
	s.mu.Unlock()
	t.group.Go(func() {
		s.run(ctx, m)
		cancel()
		s.mu.Lock()
		delete(s.cancels, m.id)
		s.mu.Unlock()
		t.mu.Lock()
		t.running--
		t.mu.Unlock()
	})
}

// run calls the handler and writes its answer.
func (s *served) run(ctx context.Context, m message) {
	out := message{kind: kindFailed, id: m.id}
	var answer []byte
	if panics.Try(func() { answer = s.transport.OnCall(ctx, s.node, m.payload) }) == nil && len(answer) <= s.transport.BodyBytes {
		out.kind, out.payload = kindAnswer, answer
	}
	_ = s.write(out) // the caller of a lost connection asks again
}

// write sends one frame.
func (s *served) write(m message) error {
	body := m.encode()
	s.writing.Lock()
	defer s.writing.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeMillis.Duration())); err != nil {
		return err
	}
	_, err := s.conn.Write(body)
	if err != nil {
		_ = s.conn.Close()
	}
	return err
}

// acceptedFrom returns a connection that a node dialed, or nil.
func (t *Transport) acceptedFrom(node ident.NodeID) *served {
	t.mu.Lock()
	defer t.mu.Unlock()
	for s := range t.accepted {
		if s.node == node {
			return s
		}
	}
	return nil
}
