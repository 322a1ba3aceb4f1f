package frame

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/panics"

	"hickoryrail/core/ident"
	"hickoryrail/core/intake"
	"hickoryrail/io/mem"
	"hickoryrail/io/sock"
)

const (
	// helloTimeout bounds the wait for the first frame of an accepted connection.
	helloTimeout = 2 * time.Second
	// closeTimeout bounds how long a stopping transport waits for peers to read the last
	// answers. The end of a planned stop has no room for more.
	closeTimeout = 300 * time.Millisecond
)

// acceptedConnection is a connection that a peer dialed.
type acceptedConnection struct {
	transport *Transport
	conn      net.Conn
	// node is the peer's id from the hello frame, which is read before the connection
	// is added to Transport.accepted.
	node ident.NodeID
	// ctx ends when the connection ends.
	ctx context.Context

	// number is the position of the connection in the order of acceptance, and suspect is
	// set once the connection may be silent; Transport.mu guards both.
	number  uint64
	suspect bool

	// writing serializes the writes of frames, and guards bufferSet, which is set once the
	// send buffer has its size for large answers.
	writing   sync.Mutex
	bufferSet bool
	// takesPieces is set once the peer has said that it accepts answers in pieces.
	takesPieces atomic.Bool

	// received holds the calls that were read and not started yet, and leases their memory.
	// Only serve uses them.
	received intake.Queue[callID, message]
	leases   map[callID]*mem.Lease

	// mu guards cancels.
	mu sync.Mutex
	// cancels holds the function that ends the handler's ctx for each running call.
	cancels map[callID]context.CancelFunc
}

// accept accepts and serves connections of peers until the listener is closed.
func (t *Transport) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			if t.runCtx.Err() != nil || isClosed(t) {
				return
			}
			time.Sleep(drainPoll) // for example when no file descriptor is free
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

// serve reads and handles the frames of an accepted connection until it ends.
func (t *Transport) serve(conn net.Conn) {
	defer t.closeAccepted(conn)
	b := bufio.NewReaderSize(conn, bufferBytes)
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout)) // the read reports a closed connection
	m, err := read(b, bufferBytes)
	if err != nil || m.kind != kindHello || conn.SetReadDeadline(time.Time{}) != nil {
		return
	}
	ctx, cancel := context.WithCancel(t.runCtx)
	defer cancel()
	s := &acceptedConnection{
		transport: t, conn: conn, node: ident.NodeID(m.payload), ctx: ctx, cancels: make(map[callID]context.CancelFunc),
		leases: make(map[callID]*mem.Lease),
	}
	defer s.releaseReceived()
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return
	}
	t.acceptedCount++
	s.number = t.acceptedCount
	t.accepted[s] = struct{}{}
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.accepted, s)
		t.mu.Unlock()
	}()
	probe := sock.NewProbe(conn)
	for {
		if s.receive(b) != nil {
			return
		}
		// A slow or paused node reads a call together with its cancellation or the end
		// of its connection, so calls start only when no further frame is in the buffer
		// and the peer can still get their answers.
		if !holdsFrame(b) && probe.Peek() != sock.Ended {
			s.received.Start(s.call)
		}
	}
}

// closeAccepted closes a connection that a peer dialed. A stopping transport lets the peer
// read the answers that are still under way.
func (t *Transport) closeAccepted(conn net.Conn) {
	if isClosed(t) {
		sock.CloseGracefully(conn, closeTimeout)
		return
	}
	_ = conn.Close() // it has ended, or its peer does not follow the protocol
}

// receive reads and handles one frame. A call for which there is no memory in time is
// refused: its payload is read and not kept.
func (s *acceptedConnection) receive(b *bufio.Reader) error {
	ignore := func(int) {}
	h, err := readHeader(b, s.transport.BodyBytes)
	if err != nil {
		return err
	}
	if h.kind != kindCall || s.leases[h.id] != nil {
		m, err := h.readPayload(b, ignore)
		if err == nil {
			s.handle(m)
		}
		return err
	}
	lease := s.transport.Memory.Lease()
	ctx, cancel := context.WithTimeout(s.ctx, callRoomMillis.Duration())
	defer cancel()
	if lease.Request.Take(ctx, mem.Copies*ident.Bytes(h.length)) != nil {
		s.refuse(h.id)
		return h.discard(b, ignore)
	}
	m, err := h.readPayload(b, ignore)
	if err != nil {
		lease.Release()
		return err
	}
	s.leases[h.id] = lease
	s.handle(m)
	return nil
}

// releaseReceived releases the memory of the calls that were not started.
func (s *acceptedConnection) releaseReceived() {
	for _, lease := range s.leases {
		lease.Release()
	}
}

// refuse answers a call that was not started.
func (s *acceptedConnection) refuse(id callID) {
	s.transport.metrics.refused.Inc()
	// If the write fails, the caller sees a lost connection and reports MayHaveRun,
	// which is less precise but not wrong.
	_ = s.write(message{kind: kindRefused, id: id})
}

// handle processes one received frame.
func (s *acceptedConnection) handle(m message) {
	switch m.kind {
	case kindHello:
		s.takesPieces.Store(string(m.payload) == acceptsPieces)
	case kindControl:
		s.transport.deliverControl(s.node, m.payload)
	case kindEcho:
		_ = s.write(message{kind: kindEchoed, id: m.id}) // serve's next read reports a lost connection
	case kindCancel:
		s.cancel(m.id)
	case kindCall:
		s.received.Add(m.id, m)
	}
}

// cancel ends the ctx of a running call, or drops a call that has not started.
func (s *acceptedConnection) cancel(id callID) {
	if s.received.Cancel(id) {
		s.transport.metrics.left.Inc()
		s.leases[id].Release()
		delete(s.leases, id)
		return
	}
	s.mu.Lock()
	cancel := s.cancels[id]
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// call starts a call, or refuses it if the transport is draining or has no OnCall.
func (s *acceptedConnection) call(m message) {
	t := s.transport
	lease := s.leases[m.id]
	delete(s.leases, m.id)
	t.mu.Lock()
	refuse := t.draining || t.OnCall == nil
	if !refuse {
		t.running++
	}
	t.mu.Unlock()
	if refuse {
		lease.Release()
		s.refuse(m.id)
		return
	}
	t.metrics.served.Inc()
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.cancels[m.id] = cancel
	s.mu.Unlock()
	id, received := m.id, &m
	t.group.Go(func() {
		s.run(mem.With(ctx, lease), received)
		lease.Release()
		cancel()
		s.mu.Lock()
		delete(s.cancels, id)
		s.mu.Unlock()
		t.mu.Lock()
		t.running--
		t.mu.Unlock()
	})
}

// run calls the handler and writes its answer, or a failure if it panics or its answer
// is too large.
func (s *acceptedConnection) run(ctx context.Context, m *message) {
	out := message{kind: kindFailed, id: m.id}
	var answer []byte
	handle := func() {
		body := m.payload
		m.payload = nil // the handler owns it, and it can be large
		answer = s.transport.OnCall(ctx, s.node, body)
	}
	if panics.Try(handle) == nil && len(answer) <= s.transport.BodyBytes {
		out.kind, out.payload = kindAnswer, answer
	}
	s.answer(ctx, out)
}

// write sends one frame. After an error the connection is closed.
func (s *acceptedConnection) write(m message) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	err := m.writeTo(s.conn, func(int) {})
	if err != nil {
		_ = s.conn.Close()
	}
	s.transport.Link.Sent(lengthBytes + headerBytes + len(m.payload))
	return err
}

// acceptedFrom returns the newest open connection that the node dialed and that is not
// suspected to be silent, or nil. A node that dials again has found its earlier
// connections silent, or has lost them without a notice on this side.
func (t *Transport) acceptedFrom(node ident.NodeID) *acceptedConnection {
	t.mu.Lock()
	defer t.mu.Unlock()
	var newest *acceptedConnection
	for s := range t.accepted {
		if s.node == node && !s.suspect && (newest == nil || s.number > newest.number) {
			newest = s
		}
	}
	return newest
}
