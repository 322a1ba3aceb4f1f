package peer

import "hickoryrail/core/ident"

const (
	// Opened means that a call connection was dialed.
	Opened EventKind = iota
	// Sent means that a request is being sent on the connection.
	Sent
	// Progress means that bytes of an answer arrived on the connection.
	Progress
	// Ended means that a call ended, in whatever way. Each Sent has one Ended,
	// which can come after Closed.
	Ended
	// Closed means that the connection is closed and will not be used again.
	Closed
)

type (
	// ConnectionID names a dialed call connection; it is never used twice.
	ConnectionID uint64

	// EventKind says what happened to a call connection.
	EventKind uint8

	// Event tells a stall detector what happened on a dialed call connection.
	Event struct {
		Kind       EventKind
		Connection ConnectionID
		Node       ident.NodeID
		// Bytes is the number of bytes of a Progress event.
		Bytes int
	}
)
