package proxy

import (
	"bytes"
	"iter"

	"hickoryrail/io/wire"
)

const (
	// headerVerdict and headerReason tell the caller the outcome.
	headerVerdict = "Hickoryrail-Verdict"
	headerReason  = "Hickoryrail-Reason"
	// headerRequest carries the id of the attempt to the target and the caller.
	headerRequest = "Hickoryrail-Request"
	// headerCaller names the caller for idempotency keys.
	headerCaller = "Hickoryrail-Caller"
	// headerTimeout carries the remaining time in milliseconds.
	headerTimeout = "Request-Timeout-Millis"
	// headerRoom is the size of most header lists in bytes.
	headerRoom = 256
	// headerKey is the caller's idempotency key.
	headerKey = "Idempotency-Key"
)

// hopByHop holds the fields that concern one connection only (RFC 9110, 7.6.1)
// and those that the proxy sets itself, in lower case.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true,
	"proxy-authenticate": true, "proxy-authorization": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "expect": true,
	"hickoryrail-verdict": true, "hickoryrail-reason": true, "hickoryrail-request": true,
	"request-timeout-millis": true,
}

// copyHeaders copies the end-to-end fields into memory of their own; connection
// is the value of the Connection field, which names further fields to drop. Fields
// that the dialect sets on requests are dropped as well; d is nil for answers.
func copyHeaders(fields iter.Seq2[[]byte, []byte], connection []byte, d *Dialect) wire.Headers {
	headers := make(wire.Headers, 0, headerRoom)
	for name, value := range fields {
		if !isHopByHop(name) && !names(connection, name) && (d == nil || !d.sets(name)) {
			headers.Append(name, value)
		}
	}
	return headers
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

// names reports whether a comma-separated list holds name.
func names(list, name []byte) bool {
	for len(list) > 0 {
		var item []byte
		item, list, _ = bytes.Cut(list, []byte{','})
		if bytes.EqualFold(bytes.TrimSpace(item), name) {
			return true
		}
	}
	return false
}
