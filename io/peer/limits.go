package peer

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/option"
)

// Limits bounds the resources and waits of a transport. A field that is 0 is replaced
// by its default.
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
	// HandshakeMillis bounds the setup of a connection.
	HandshakeMillis clock.Millis
	// IdleMillis is the time after which an unused connection is closed, and
	// after which a connection without any incoming packet is considered lost.
	IdleMillis clock.Millis
	// ControlStallMillis is the time without any incoming packet after which a
	// control connection in use is replaced. It must be shorter than the time
	// after which the membership protocol suspects a node.
	ControlStallMillis clock.Millis
}

// DefaultLimits returns the limits that replace fields that are 0.
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

// withDefaults returns l with defaults in place of zero fields.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	option.SetDefault(&l.BodyBytes, d.BodyBytes)
	option.SetDefault(&l.ControlBytes, d.ControlBytes)
	option.SetDefault(&l.Connections, d.Connections)
	option.SetDefault(&l.Streams, d.Streams)
	option.SetDefault(&l.ControlPeers, d.ControlPeers)
	option.SetDefault(&l.ControlQueue, d.ControlQueue)
	option.SetDefault(&l.HandshakeMillis, d.HandshakeMillis)
	option.SetDefault(&l.IdleMillis, d.IdleMillis)
	option.SetDefault(&l.ControlStallMillis, d.ControlStallMillis)
	return l
}
