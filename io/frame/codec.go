// Package frame provides a transport between nodes over TCP: length-prefixed
// frames, with any number of calls and control messages on one connection.
package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
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
)

const (
	// lengthBytes is the size of the length prefix of a frame.
	lengthBytes = 4
	// headerBytes is the size of a frame's kind and call id, which follow the length
	// prefix and are included in the length.
	headerBytes = 5
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
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

// read returns the next frame. It returns errFrame if the payload is longer than limit
// or the kind is unknown.
func read(b *bufio.Reader, limit int) (message, error) {
	var header [lengthBytes + headerBytes]byte
	if _, err := io.ReadFull(b, header[:]); err != nil {
		return message{}, err
	}
	length := int(binary.BigEndian.Uint32(header[:lengthBytes])) - headerBytes
	m := message{kind: kind(header[lengthBytes]), id: callID(binary.BigEndian.Uint32(header[lengthBytes+1:]))}
	if length < 0 || length > limit || m.kind < kindHello || m.kind > kindEchoed {
		return message{}, fmt.Errorf("%w: kind %d with %d bytes", errFrame, m.kind, length)
	}
	if length == 0 {
		return m, nil
	}
	m.payload = make([]byte, length)
	_, err := io.ReadFull(b, m.payload)
	return m, err
}
