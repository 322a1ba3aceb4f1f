package frame

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"

	"hickoryrail/io/peer"
)

// arrival is an answer that arrives in pieces. Only the goroutine that reads the connection
// uses its content.
type arrival struct {
	// content has the size of the answer, and received is the number of bytes that it has.
	content  []byte
	received int
}

// acceptPieces tells the peer, once, that it may answer in pieces. While no large answers
// are paced, it sends nothing.
func (c *connection) acceptPieces(ctx context.Context) {
	if !c.transport.Link.Active() || c.piecesAccepted.Swap(true) {
		return
	}
	if c.write(ctx, message{kind: kindHello, payload: []byte(acceptsPieces)}) != nil {
		c.piecesAccepted.Store(false) // the next call tries again, if the connection is open
	}
}

// receiveLarge prepares for an answer that arrives in pieces.
func (c *connection) receiveLarge(b *bufio.Reader, h header) error {
	m, err := h.readPayload(b, func(int) {})
	if err != nil {
		return err
	}
	if len(m.payload) != lengthBytes {
		return fmt.Errorf("%w: size of an answer with %d bytes", errFrame, len(m.payload))
	}
	size := int(binary.BigEndian.Uint32(m.payload))
	if size == 0 || size > c.transport.BodyBytes {
		return fmt.Errorf("%w: answer in pieces with %d bytes", errFrame, size)
	}
	c.mu.Lock()
	w, waits := c.waiting[h.id]
	c.mu.Unlock()
	if !waits {
		return nil
	}
	if !c.awaitRoom(w.hold, size) {
		c.deliver(message{kind: kindFailed, id: h.id})
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, waits := c.waiting[h.id]; !waits {
		return nil
	}
	if c.arriving == nil {
		c.arriving = make(map[callID]*arrival)
	}
	c.arriving[h.id] = &arrival{content: make([]byte, size)}
	return nil
}

// receivePiece reads a piece of an answer, and delivers the answer if it is whole. Pieces
// for which no call waits are skipped.
func (c *connection) receivePiece(b *bufio.Reader, h header) error {
	progress := func(n int) { c.transport.emit(peer.Progress, c, n) }
	c.mu.Lock()
	a := c.arriving[h.id]
	c.mu.Unlock()
	if a == nil {
		return h.discard(b, progress)
	}
	if h.length > len(a.content)-a.received {
		return fmt.Errorf("%w: answer is longer than its announced %d bytes", errFrame, len(a.content))
	}
	if _, err := io.ReadFull(b, a.content[a.received:a.received+h.length]); err != nil {
		return err
	}
	progress(h.length)
	if a.received += h.length; a.received == len(a.content) {
		c.deliver(message{kind: kindAnswer, id: h.id, payload: a.content})
	}
	return nil
}
