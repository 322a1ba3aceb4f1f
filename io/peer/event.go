package peer

import "hickoryrail/core/ident"

const (
	// Opened means that a call connection was dialed.
	Opened EventKind = iota
	// Sent means that the sending of a request on the connection has begun.
	Sent
	// Progress means that bytes of an answer arrived on the connection.
	Progress
	// Ended means that a call ended, with or without an answer. Each Sent is followed
	// by one Ended, which can come after Closed.
	Ended
	// Closed means that the connection is closed and will not be used again.
	Closed
)

type (
	// ConnectionID identifies a dialed call connection of a transport; it is never
	// reused.
	ConnectionID uint64

	// EventKind is the type of an Event.
	EventKind uint8

	// Event reports a change of a dialed call connection, for a stall detector.
	Event struct {
		Kind       EventKind
		Connection ConnectionID
		Node       ident.NodeID
		// Bytes is the number of bytes of a Progress event.
		Bytes int
	}
)
