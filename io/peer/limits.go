package peer

import "hickoryrail/core/clock"

// Limits bounds what a transport holds. A field that is 0 takes its default.
type Limits struct {
	// BodyBytes bounds the body of one request and of one answer.
	BodyBytes int
	// ControlBytes bounds the body of one control message.
	ControlBytes int
	// Connections bounds the dialed call connections.
	Connections int
	// Streams bounds the concurrent calls on one connection.
	Streams int
	// ControlPeers bounds the peers that have a queue of control messages.
	ControlPeers int
	// ControlQueue bounds the queued control messages per peer.
	ControlQueue int
	// HandshakeMillis bounds the set-up of a connection.
	HandshakeMillis clock.Millis
	// IdleMillis is the time after which an unused connection is closed, and
	// after which a connection without any incoming packet is given up.
	IdleMillis clock.Millis
	// ControlStallMillis is the time without any incoming packet after which a
	// control connection in use is replaced. It must be below the time that the
	// membership waits before it suspects a node.
	ControlStallMillis clock.Millis
}

// DefaultLimits returns the defaults.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:          1<<20 + 1<<16,
		ControlBytes:       1 << 20,
		Connections:        512,
		Streams:            1024,
		ControlPeers:       128,
		ControlQueue:       64,
		HandshakeMillis:    2 * clock.Second,
		IdleMillis:         30 * clock.Second,
		ControlStallMillis: 1200,
	}
}

// filled returns l with defaults in place of zero fields.
func (l Limits) filled() Limits {
	d := DefaultLimits()
	fill(&l.BodyBytes, d.BodyBytes)
	fill(&l.ControlBytes, d.ControlBytes)
	fill(&l.Connections, d.Connections)
	fill(&l.Streams, d.Streams)
	fill(&l.ControlPeers, d.ControlPeers)
	fill(&l.ControlQueue, d.ControlQueue)
	fill(&l.HandshakeMillis, d.HandshakeMillis)
	fill(&l.IdleMillis, d.IdleMillis)
	fill(&l.ControlStallMillis, d.ControlStallMillis)
	return l
}

// fill sets a zero value to its default.
func fill[T int | clock.Millis](value *T, other T) {
	if *value == 0 {
		*value = other
	}
}
