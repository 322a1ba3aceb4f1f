// Package proxy provides the data path of a node: the ingress that callers use
// and the gateway in front of the local target.
package proxy

import (
	"hickoryrail/core/ident"
	"hickoryrail/core/option"
	"hickoryrail/io/wire"
)

const (
	// DefaultBodyBytes bounds the body of a request or response.
	DefaultBodyBytes ident.Bytes = 1 << 20
	// DefaultHeaderBytes bounds the request line and header of a request, and
	// the status line and header of a response.
	DefaultHeaderBytes ident.Bytes = 16 << 10
)

// Reasons that both sides of the data path use.
const (
	reasonDeadline  = "deadline passed"
	reasonDraining  = "node is draining"
	reasonStopSoon  = "node stops before the request is expected to end"
	reasonStopped   = "node stopped before the request ended"
	reasonMalformed = "message is malformed"
)

// Limits bounds requests and responses. A field that is zero has its default.
type Limits struct {
	BodyBytes   ident.Bytes
	HeaderBytes ident.Bytes
}

// withDefaults returns l with the defaults of its zero fields.
func (l Limits) withDefaults() Limits {
	option.SetDefault(&l.BodyBytes, DefaultBodyBytes)
	option.SetDefault(&l.HeaderBytes, DefaultHeaderBytes)
	return l
}

// CallBytes returns the largest size of a call or answer between nodes.
func (l Limits) CallBytes() int {
	l = l.withDefaults()
	return int(l.BodyBytes) + int(l.HeaderBytes) + wire.CallOverheadBytes
}
