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
	// kindHello opens a connection and names the dialing node.
	kindHello kind = iota + 1
	// kindCall carries a request.
	kindCall
	// kindAnswer carries the whole answer to a request.
	kindAnswer
	// kindRefused says that the request was not run.
	kindRefused
	// kindFailed says that the handler failed after it was started.
	kindFailed
	// kindCancel says that the caller gave the request up.
	kindCancel
	// kindControl carries a control message.
	kindControl
	// kindEcho asks for kindEchoed, which proves that the connection works.
	kindEcho
	// kindEchoed answers kindEcho.
	kindEchoed
)

const (
	// lengthBytes is the size of the length of a frame.
	lengthBytes = 4
	// headBytes is the size of a frame's kind and id.
	headBytes = 5
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
)

type (
	// kind says what a frame carries.
	kind uint8

	// callID names a call on its connection; it is never used twice there.
	callID uint32

	// message is one frame: its length, its kind, the call's id and the payload.
	message struct {
		kind    kind
		id      callID
		payload []byte
	}
)

// errFrame reports bytes that are not a frame.
var errFrame = errors.New("malformed frame")

// encode returns the frame as bytes.
func (m message) encode() []byte {
	out := make([]byte, 0, lengthBytes+headBytes+len(m.payload))
	out = binary.BigEndian.AppendUint32(out, uint32(headBytes+len(m.payload)))
	out = append(out, byte(m.kind))
	out = binary.BigEndian.AppendUint32(out, uint32(m.id))
	return append(out, m.payload...)
}

// read returns the next frame, whose payload has at most limit bytes.
func read(b *bufio.Reader, limit int) (message, error) {
	var head [lengthBytes + headBytes]byte
	if _, err := io.ReadFull(b, head[:]); err != nil {
		return message{}, err
	}
	length := int(binary.BigEndian.Uint32(head[:lengthBytes])) - headBytes
	m := message{kind: kind(head[lengthBytes]), id: callID(binary.BigEndian.Uint32(head[lengthBytes+1:]))}
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
