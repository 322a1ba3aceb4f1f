package frame

import (
	"context"
	"encoding/binary"
	"net"
	"time"

	"hickoryrail/io/uplink"
)

// sendBufferBytes is the size of the kernel's send buffer of a connection with large
// answers. With a larger one, a slow link would fill it unnoticed.
const sendBufferBytes = 64 << 10

// answer writes the answer to a call. A large one waits for its turn at the link of the
// node. Until then other frames are written, and the answer is dropped if ctx ends, since
// the caller no longer waits for it.
func (s *acceptedConnection) answer(ctx context.Context, m message) {
	sending := s.transport.Link.Begin(len(m.payload))
	if sending == nil {
		_ = s.write(m) // if the connection is lost, the caller retries or voids the call on another one
		return
	}
	if sending.Await(ctx, uplink.PieceBytes) != nil {
		sending.End(false)
		_ = s.write(message{kind: kindFailed, id: m.id}) // the end of the call for a caller that still waits
		return
	}
	err := s.writePaced(sending, m)
	sending.End(err == nil)
	if err != nil {
		_ = s.conn.Close()
	}
}

// writePaced writes a large answer whose first piece may be written.
func (s *acceptedConnection) writePaced(sending *uplink.Sending, m message) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	if c, ok := s.conn.(*net.TCPConn); ok && !s.bufferSet {
		s.bufferSet = true
		_ = c.SetWriteBuffer(sendBufferBytes) // on a closed connection the write fails
	}
	start := message{kind: m.kind, id: m.id}.encode()
	binary.BigEndian.PutUint32(start, uint32(headerBytes+len(m.payload)))
	if err := writePiece(s.conn, start); err != nil {
		return err
	}
	for rest := m.payload; ; {
		piece := rest[:min(len(rest), uplink.PieceBytes)]
		began := time.Now()
		if err := writePiece(s.conn, piece); err != nil {
			return err
		}
		sending.Wrote(s.number, len(piece), time.Since(began))
		rest = rest[len(piece):]
		if len(rest) == 0 {
			return nil
		}
		if err := sending.Await(s.ctx, uplink.PieceBytes); err != nil {
			return err
		}
	}
}
