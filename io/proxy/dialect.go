package proxy

import (
	"bytes"
	"strings"

	"hickoryrail/core/clock"
	"hickoryrail/core/result"
)

type (
	// Dialect holds the names of the header fields and the rules for answers that
	// callers and targets follow. The zero value is hickoryrail's own.
	Dialect struct {
		// Timeout is the field with the remaining time in milliseconds.
		Timeout string
		// Request is the field that carries the caller's id of a request. If it is
		// empty, the node's own id is sent in headerRequest.
		Request string
		// Parent returns the id of the request that made a call, by the call's own
		// id; empty for a request of a caller. Nil if ids do not tell.
		Parent func(id []byte) []byte
		// Origin is the field that names the service on the machine where a request
		// began; empty sends none.
		Origin string
		// Target is the field that names the target that a request is for; empty
		// sends none.
		Target string
		// Proof is the field without which a success is not the target's; empty
		// asks for none.
		Proof string
		// Unexecuted reports whether an answer says that the request was not run.
		// Nil takes no answer for that.
		Unexecuted func(status int, header func(name string) []byte) bool
		// Outcome returns the status and the delay before the next try for an
		// outcome without an answer of the target; a negative delay sends none. Nil
		// leaves both to the product.
		Outcome func(v result.Verdict, status int, reason string) (int, clock.Millis)
		// RetryAfter formats a delay for the field of that name.
		RetryAfter func(clock.Millis) string
		// Plain leaves out the product's own fields on answers.
		Plain bool
	}
)

// withDefaults returns d with the product's own names in place of empty ones.
func (d Dialect) withDefaults() Dialect {
	if d.Timeout == "" {
		d.Timeout = headerTimeout
	}
	return d
}

// sets reports whether the node itself sets a field of a request, so that the
// caller's value is dropped.
func (d *Dialect) sets(name []byte) bool {
	for _, own := range [...]string{d.Timeout, d.Origin, d.Target} {
		if own != "" && len(own) == len(name) && strings.EqualFold(own, string(name)) {
			return true
		}
	}
	return false
}

// proves reports whether an answer is the target's own whole one.
func (d *Dialect) proves(status int, header func(name string) []byte) bool {
	if d.Proof == "" {
		return true
	}
	success := status >= 200 && status < 300
	return !success || len(header(d.Proof)) > 0 && len(header("Content-Encoding")) == 0
}

// answers reports whether an answer is for the request with an id.
func (d *Dialect) answers(id []byte, header func(name string) []byte) bool {
	if d.Request == "" || len(id) == 0 {
		return true
	}
	echoed := header(d.Request)
	return len(echoed) == 0 || bytes.Equal(echoed, id)
}
