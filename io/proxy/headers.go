package proxy

import (
	"bytes"
	"iter"

	"github.com/valyala/fasthttp"

	"hickoryrail/io/wire"
)

const (
	// headerVerdict and headerReason carry the outcome to the caller.
	headerVerdict = "Hickoryrail-Verdict"
	headerReason  = "Hickoryrail-Reason"
	// headerRequest carries the id of the attempt to the target.
	headerRequest = "Hickoryrail-Request"
	// headerCaller names the caller, whose idempotency keys are separate from those
	// of others.
	headerCaller = "Hickoryrail-Caller"
	// headerTeam carries the name of the caller's team to the target.
	headerTeam = "Hickoryrail-Team"
	// headerTimeout carries the remaining time in milliseconds.
	headerTimeout = "Request-Timeout-Millis"
	// headerCapacity is the initial capacity of a copied header list; most lists fit
	// into it.
	headerCapacity = 256
	// headerIdempotencyKey carries the caller's idempotency key.
	headerIdempotencyKey = "Idempotency-Key"
)

// hopByHop holds the fields that apply to one connection only (RFC 9110, 7.6.1) and
// those that the proxy sets itself, in lower case.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true,
	"proxy-authenticate": true, "proxy-authorization": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "expect": true,
	"hickoryrail-verdict": true, "hickoryrail-reason": true, "hickoryrail-request": true,
	"request-timeout-millis": true,
}

// copyHeaders copies the end-to-end fields into new memory. connection is the value
// of the Connection field, which lists further fields to drop. Fields for which dropped,
// if set, returns true are dropped as well.
func copyHeaders(fields iter.Seq2[[]byte, []byte], connection []byte, dropped func(name []byte) bool) wire.Headers {
	headers := make(wire.Headers, 0, headerCapacity)
	for name, value := range fields {
		if !isHopByHop(name) && !listContains(connection, name) && (dropped == nil || !dropped(name)) {
			headers.Append(name, value)
		}
	}
	return headers
}

// copyRequestHeaders copies the fields of a caller's request that are forwarded. Those
// about its team are not, if the configuration has teams.
func (d *Dialect) copyRequestHeaders(h *fasthttp.RequestHeader, teams bool) wire.Headers {
	return copyHeaders(h.All(), h.Peek("Connection"), func(name []byte) bool {
		return d.setsHeader(name) || teams && d.setsTeamHeader(name)
	})
}

// isHopByHop reports whether a field must not be forwarded.
func isHopByHop(name []byte) bool {
	var lower [32]byte
	if len(name) > len(lower) {
		return false
	}
	for i, c := range name {
		if c >= 'A' && c <= 'Z' {
			c |= 0x20
		}
		lower[i] = c
	}
	return hopByHop[string(lower[:len(name)])]
}

// listContains reports whether a comma-separated list contains name, in any case.
func listContains(list, name []byte) bool {
	for len(list) > 0 {
		var item []byte
		item, list, _ = bytes.Cut(list, []byte{','})
		if bytes.EqualFold(bytes.TrimSpace(item), name) {
			return true
		}
	}
	return false
}
