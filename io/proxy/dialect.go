package proxy

import (
	"math"
	"strconv"
	"strings"

	"hickoryrail/core/clock"
	"hickoryrail/core/report"
	"hickoryrail/core/result"
	"hickoryrail/io/wire"
)

type (
	// Dialect defines the header names and the response rules that callers and
	// targets use. The zero value stands for hickoryrail's own.
	Dialect struct {
		// TimeoutHeader names the header with the remaining time in milliseconds;
		// empty means headerTimeout.
		TimeoutHeader string
		// RequestIDHeader names the header with the caller's id of a request. If it
		// is empty, the node sends its own id in headerRequest.
		RequestIDHeader string
		// ParentID returns the id of the request on whose behalf a call is made,
		// given the id of the call; empty for a request without a parent. Nil means
		// that ids do not identify a parent.
		ParentID func(id []byte) []byte
		// OriginHeader names the header with the service of the machine on which a
		// request originated; if empty, none is sent.
		OriginHeader string
		// TargetHeader names the header with the id of the target that a request is
		// for; if empty, none is sent.
		TargetHeader string
		// TeamHeader names the header with the name of the caller's team, which the
		// ingress sets for the target and for the gate; empty means headerTeam.
		TeamHeader string
		// SignatureHeader names the header that a successful response must have to
		// count as the target's own; empty disables the check.
		SignatureHeader string
		// Unexecuted reports whether a response states that the request was not run.
		// Nil means that no response does.
		Unexecuted func(status int, header func(name string) []byte) bool
		// Promises reports whether callers take a status to state that the request was
		// not run. Nil means that they take no status so.
		Promises func(status int) bool
		// Notice returns what a target states about itself in an answer. Nil means that
		// answers state nothing.
		Notice func(header func(name string) []byte) report.Notice
		// ErrorStatus returns the HTTP status and the Retry-After delay for an
		// outcome without a response from the target; a negative delay omits the
		// header. Nil keeps the default status and omits the header.
		ErrorStatus func(v result.Verdict, status int, reason string) (int, clock.Millis)
		// FormatRetryAfter formats a delay for the Retry-After header; nil means whole
		// seconds, rounded up (RFC 9110, 10.2.3).
		FormatRetryAfter func(clock.Millis) string
		// OmitVerdictHeaders leaves headerVerdict and headerReason out of responses
		// to callers.
		OmitVerdictHeaders bool
	}
)

// withDefaults returns d with the default of each required header name that is empty.
func (d Dialect) withDefaults() Dialect {
	if d.TimeoutHeader == "" {
		d.TimeoutHeader = headerTimeout
	}
	if d.TeamHeader == "" {
		d.TeamHeader = headerTeam
	}
	if d.FormatRetryAfter == nil {
		d.FormatRetryAfter = formatSeconds
	}
	return d
}

// formatSeconds formats a delay in whole seconds, rounded up.
func formatSeconds(d clock.Millis) string {
	return strconv.FormatFloat(math.Ceil(float64(d/clock.Second)), 'f', -1, 64)
}

// setsHeader reports whether the node itself sets a request header, so that the
// caller's value is dropped.
func (d *Dialect) setsHeader(name []byte) bool {
	return isOneOf(name, d.TimeoutHeader, d.OriginHeader, d.TargetHeader)
}

// setsTeamHeader does the same for the header fields about the caller's team, which are
// the caller's own in a configuration without teams. The access key goes to no target.
func (d *Dialect) setsTeamHeader(name []byte) bool {
	return isOneOf(name, d.TeamHeader, headerAuthorization)
}

// isOneOf reports whether name is one of the given header names, in any case. Empty names
// stand for no header.
func isOneOf(name []byte, given ...string) bool {
	for _, g := range given {
		if g != "" && len(g) == len(name) && strings.EqualFold(g, string(name)) {
			return true
		}
	}
	return false
}

// isSigned reports whether a response is the target's own and complete: a success
// must have SignatureHeader, which is not a field of the connection only, and no
// Content-Encoding.
func (d *Dialect) isSigned(status int, header func(name string) []byte) bool {
	success := status >= 200 && status < 300
	if d.SignatureHeader == "" || !success {
		return true
	}
	forwarded := !listContains(header("Connection"), []byte(d.SignatureHeader))
	return forwarded && len(header(d.SignatureHeader)) > 0 && len(header("Content-Encoding")) == 0
}

// requestID returns the id that responses to r repeat; empty if there is none.
func (d *Dialect) requestID(r *wire.Request) []byte {
	if d.RequestIDHeader == "" {
		return nil
	}
	return r.Headers.Get(d.RequestIDHeader)
}

// statesNotRun reports whether a response states that its request was not run, to the
// node or to callers.
func (d *Dialect) statesNotRun(status int, header func(name string) []byte) bool {
	return d.isUnexecuted(status, header) || d.Promises != nil && d.Promises(status)
}

// isUnexecuted reports whether a response states that its request was not run.
func (d *Dialect) isUnexecuted(status int, header func(name string) []byte) bool {
	return d.Unexecuted != nil && d.Unexecuted(status, header)
}

// notice returns what a target stated about itself in its answer.
func (d *Dialect) notice(resp *wire.Response) report.Notice {
	if d.Notice == nil || resp.Verdict != result.Ran {
		return report.Notice{}
	}
	return d.Notice(resp.Headers.Get)
}
