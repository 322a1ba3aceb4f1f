// Package frame provides a transport between nodes over TCP: length-prefixed
// frames, with any number of calls and control messages on one connection.
package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	// kindHello opens a connection; its payload is the id of the dialing node.
	kindHello kind = iota + 1
	// kindCall carries a request.
	kindCall
	// kindAnswer carries the complete answer to a request.
	kindAnswer
	// kindRefused reports that the request was not run.
	kindRefused
	// kindFailed reports that the handler failed after it was started.
	kindFailed
	// kindCancel reports that the caller no longer needs the answer to a request.
	kindCancel
	// kindControl carries a control message.
	kindControl
	// kindEcho requests a kindEchoed frame, which shows that the connection works.
	kindEcho
	// kindEchoed is the reply to kindEcho.
	kindEchoed
	// kindLarge announces an answer in pieces; its payload is the size of the answer. It is
	// sent only to a peer that has sent acceptsPieces.
	kindLarge
	// kindPiece carries the next piece of an announced answer.
	kindPiece
)

// acceptsPieces is the payload of a second kindHello frame, by which the dialing node accepts
// answers in pieces. The former build ignores that frame.
const acceptsPieces = "pieces"

const (
	// lengthBytes is the size of the length prefix of a frame.
	lengthBytes = 4
	// headerBytes is the size of a frame's kind and call id, which follow the length
	// prefix and are included in the length.
	headerBytes = 5
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
	// pieceBytes is the size of the pieces in which a large payload is read and written.
	pieceBytes = 64 << 10
)

type (
	// kind is the type of a frame.
	kind uint8

	// callID identifies a call on its connection and is not reused there.
	callID uint32

	// message is the content of one frame. It is encoded as a length, the kind, the
	// id of the call or echo (0 for other frames) and the payload.
	message struct {
		kind    kind
		id      callID
		payload []byte
	}

	// header is the start of a frame: all but its payload, which has length bytes.
	header struct {
		kind   kind
		id     callID
		length int
	}
)

// errFrame reports bytes that are not a valid frame.
var errFrame = errors.New("malformed frame")

// encode returns the bytes of the frame.
func (m message) encode() []byte {
	out := make([]byte, 0, lengthBytes+headerBytes+len(m.payload))
	out = binary.BigEndian.AppendUint32(out, uint32(headerBytes+len(m.payload)))
	out = append(out, byte(m.kind))
	out = binary.BigEndian.AppendUint32(out, uint32(m.id))
	return append(out, m.payload...)
}

// holdsFrame reports whether a whole frame is in the buffer, so that read returns it
// without waiting.
func holdsFrame(b *bufio.Reader) bool {
	if b.Buffered() < lengthBytes {
		return false
	}
	prefix, err := b.Peek(lengthBytes)
	return err == nil && b.Buffered()-lengthBytes >= int(binary.BigEndian.Uint32(prefix))
}

// read returns the next frame. It returns errFrame if the payload is longer than limit or
// the kind is unknown.
func read(b *bufio.Reader, limit int) (message, error) {
	h, err := readHeader(b, limit)
	if err != nil {
		return message{}, err
	}
	return h.readPayload(b, func(int) {})
}

// readHeader returns the start of the next frame. It returns errFrame if the payload is
// longer than limit or the kind is unknown.
func readHeader(b *bufio.Reader, limit int) (header, error) {
	var raw [lengthBytes + headerBytes]byte
	if _, err := io.ReadFull(b, raw[:]); err != nil {
		return header{}, err
	}
	h := header{
		kind: kind(raw[lengthBytes]), id: callID(binary.BigEndian.Uint32(raw[lengthBytes+1:])),
		length: int(binary.BigEndian.Uint32(raw[:lengthBytes])) - headerBytes,
	}
	if h.length < 0 || h.length > limit || h.kind < kindHello || h.kind > kindPiece {
		return header{}, fmt.Errorf("%w: kind %d with %d bytes", errFrame, h.kind, h.length)
	}
	return h, nil
}

// readPayload reads the payload of a frame. It calls progress after each piece.
func (h header) readPayload(b *bufio.Reader, progress func(n int)) (message, error) {
	m := message{kind: h.kind, id: h.id}
	if h.length == 0 {
		return m, nil
	}
	m.payload = make([]byte, h.length)
	for rest := m.payload; len(rest) > 0; {
		piece := rest[:min(len(rest), pieceBytes)]
		if _, err := io.ReadFull(b, piece); err != nil {
			return m, err
		}
		rest = rest[len(piece):]
		progress(len(piece))
	}
	return m, nil
}

// discard skips the payload of a frame.
func (h header) discard(b *bufio.Reader, progress func(n int)) error {
	for rest := h.length; rest > 0; {
		n, err := b.Discard(min(rest, pieceBytes))
		if err != nil {
			return err
		}
		rest -= n
		progress(n)
	}
	return nil
}

// writeTo writes the frame. A large one is written in pieces, which are not copied, and each
// piece has writeMillis. It calls progress after each piece but the last.
func (m message) writeTo(conn net.Conn, progress func(n int)) error {
	if len(m.payload) <= pieceBytes {
		return writePiece(conn, m.encode())
	}
	start := message{kind: m.kind, id: m.id}.encode()
	binary.BigEndian.PutUint32(start, uint32(headerBytes+len(m.payload)))
	if err := writePiece(conn, start); err != nil {
		return err
	}
	rest := m.payload
	for len(rest) > pieceBytes {
		if err := writePiece(conn, rest[:pieceBytes]); err != nil {
			return err
		}
		rest = rest[pieceBytes:]
		progress(pieceBytes)
	}
	return writePiece(conn, rest)
}

// writeUncopied writes the frame at once, without a copy of its payload, within writeMillis.
func (m message) writeUncopied(conn net.Conn) error {
	start := message{kind: m.kind, id: m.id}.encode()
	binary.BigEndian.PutUint32(start, uint32(headerBytes+len(m.payload)))
	if err := conn.SetWriteDeadline(time.Now().Add(writeMillis.Duration())); err != nil {
		return err
	}
	both := net.Buffers{start, m.payload}
	_, err := both.WriteTo(conn)
	return err
}

// writePiece writes bytes within writeMillis.
func writePiece(conn net.Conn, piece []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeMillis.Duration())); err != nil {
		return err
	}
	_, err := conn.Write(piece)
	return err
}
