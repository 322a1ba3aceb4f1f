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
// node; until then other frames are written. It is dropped if ctx ends, since the caller
// no longer waits for it.
func (s *acceptedConnection) answer(ctx context.Context, m message) {
	sending := s.transport.Link.Begin(len(m.payload))
	if sending == nil {
		_ = s.write(m) // if the connection is lost, the caller retries or voids the call on another one
		return
	}
	whole := false
	defer func() { sending.End(whole) }()
	if sending.Await(ctx, uplink.PieceBytes) != nil {
		s.drop(m)
		return
	}
	if s.takesPieces.Load() {
		whole = s.writePieces(ctx, sending, m)
		return
	}
	whole = s.writeWhole(sending, m) == nil
	if !whole {
		_ = s.conn.Close()
	}
}

// drop ends a call whose answer is not sent to its end.
func (s *acceptedConnection) drop(m message) {
	_ = s.write(message{kind: kindFailed, id: m.id}) // the caller no longer waits, or has lost the connection
}

// writePieces writes a large answer, of which the first piece may be written, so that other
// frames are written between its pieces. It reports whether the answer was written whole.
func (s *acceptedConnection) writePieces(ctx context.Context, sending *uplink.Sending, m message) bool {
	size := binary.BigEndian.AppendUint32(nil, uint32(len(m.payload)))
	if s.write(message{kind: kindLarge, id: m.id, payload: size}) != nil {
		return false
	}
	for rest := m.payload; ; {
		piece := rest[:min(len(rest), uplink.PieceBytes)]
		if s.writePiece(sending, message{kind: kindPiece, id: m.id, payload: piece}) != nil {
			return false
		}
		rest = rest[len(piece):]
		if len(rest) == 0 {
			return true
		}
		if sending.Await(ctx, uplink.PieceBytes) != nil {
			s.drop(m)
			return false
		}
	}
}

// writePiece writes one frame of an answer in pieces. After an error the connection is
// closed.
func (s *acceptedConnection) writePiece(sending *uplink.Sending, m message) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.limitBuffer()
	began := time.Now()
	if err := m.writeUncopied(s.conn); err != nil {
		_ = s.conn.Close()
		return err
	}
	sending.Wrote(s.number, len(m.payload), time.Since(began))
	return nil
}

// writeWhole writes a large answer, of which the first piece may be written, as one frame,
// for a peer that does not accept pieces.
func (s *acceptedConnection) writeWhole(sending *uplink.Sending, m message) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.limitBuffer()
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

// limitBuffer sets the size of the kernel's send buffer, once. The caller holds writing.
func (s *acceptedConnection) limitBuffer() {
	if c, ok := s.conn.(*net.TCPConn); ok && !s.bufferSet {
		s.bufferSet = true
		_ = c.SetWriteBuffer(sendBufferBytes) // on a closed connection the write fails
	}
}
