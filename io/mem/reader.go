package mem

import (
	"context"
	"net"

	"hickoryrail/core/ident"
)

// growthCopies is the number of copies of a body whose length is not known while it is
// read: its buffer is copied when it grows.
const growthCopies = Copies + 1

// Reader reads from a connection, and takes memory for what it reads while it is metered.
// It reads no further while there is none, so that the peer's writes wait.
type Reader struct {
	Conn net.Conn

	ctx  context.Context
	hold *Hold
	// failure is the error of the metering since Start.
	failure error
}

// Start begins to take memory from hold, and stops to wait for it when ctx ends.
func (r *Reader) Start(ctx context.Context, hold *Hold) {
	r.ctx, r.hold, r.failure = ctx, hold, nil
}

// Stop ends the metering and returns ErrNoRoom if there was no memory in time. What was
// taken stays with the hold.
func (r *Reader) Stop() error {
	r.ctx, r.hold = nil, nil
	return r.failure
}

// Read reads from the connection. It returns ErrNoRoom if there was no memory in time for
// what it read.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if r.hold == nil || n == 0 {
		return n, err
	}
	if r.failure = r.hold.Grow(r.ctx, growthCopies*ident.Bytes(n)); r.failure != nil {
		return 0, r.failure
	}
	return n, err
}
