package wire

import (
	"errors"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
	"hickoryrail/core/syntax"
)

const (
	// MaxCallHeaders bounds the header fields of one request or response.
	MaxCallHeaders = 256
	// CallOverheadBytes bounds what a call adds to its body and header bytes: the
	// framing, the ids and the URI.
	CallOverheadBytes = 48 << 10
	// maxIDBytes bounds ids, names and reasons in a call.
	maxIDBytes = 256
)

type (
	// Request is one attempt of a caller's request, sent to the node beside the
	// target. It owns its byte slices; none aliases an I/O buffer.
	Request struct {
		_ struct{} `cbor:",toarray"`
		// ID is unique per attempt, so that a void record covers one attempt.
		ID ident.RequestID
		// CallerID is the caller's own id of the request; empty if it has none.
		CallerID ident.RequestID
		// Gate is the incarnation of the gate that the attempt is addressed to.
		Gate ident.Incarnation
		// Target is the target that the ingress chose.
		Target ident.TargetID
		// Attempt counts from 1.
		Attempt int
		// Repeated is set if an earlier attempt may have reached a target, or if
		// the request on whose behalf the call is made is a repeated one.
		Repeated   bool
		Route      ident.RouteName
		Class      model.Class
		Idempotent bool
		// Rank, HasGoal and GoalMillis are used by a gate that orders calls by
		// response-time goal. GoalMillis is the remaining time, valid only if HasGoal
		// is set; it is negative once the goal has passed.
		Rank       admit.Rank
		HasGoal    bool
		GoalMillis clock.Millis
		// RemainingMillis is the time until the deadline. It is relative because
		// the clocks of nodes differ.
		RemainingMillis clock.Millis
		Method          string
		URI             []byte
		Headers         Headers
		Body            []byte
		// FailFast asks the gate to refuse the attempt at once unless a slot is free
		// now or soon.
		FailFast bool
	}

	// Response is the outcome of one attempt. Status, Headers and Body are set
	// only if Verdict is Ran. It owns its byte slices; none aliases an I/O buffer.
	Response struct {
		_       struct{} `cbor:",toarray"`
		Verdict result.Verdict
		Reason  string
		Status  int
		Headers Headers
		Body    []byte
		// ContentLength is the Content-Length of the answer to a HEAD request, which
		// has no body; 0 otherwise.
		ContentLength int
		Load          admit.Load
		// Arrived is set if the attempt reached the target, which may have refused
		// it.
		Arrived bool
		// RetryAfterMillis is the time after which the caller may try again a request
		// that was not run; 0 means the dialect's. The ingress sets it for its own
		// response, so it is not encoded.
		RetryAfterMillis clock.Millis `cbor:"-"`
	}

	// Void asks a gate to guarantee that an attempt is never run.
	Void struct {
		_    struct{} `cbor:",toarray"`
		ID   ident.RequestID
		Gate ident.Incarnation
		// RemainingMillis bounds the wait for an attempt that is running.
		RemainingMillis clock.Millis
	}

	// Voided is the reply to Void if the attempt's Response is not known. NotRun
	// means that the attempt will never run.
	Voided struct {
		_       struct{} `cbor:",toarray"`
		Verdict result.Verdict
		Reason  string
	}

	// Call is the message that opens a call stream; exactly one field is set.
	Call struct {
		_       struct{} `cbor:",toarray"`
		Request *Request
		Void    *Void
	}

	// Answer is the message that ends a call stream; exactly one field is set. The
	// answer to a Void of an attempt whose response was kept is that Response.
	Answer struct {
		_        struct{} `cbor:",toarray"`
		Response *Response
		Voided   *Voided
	}
)

var (
	// errEnvelope reports a Call or an Answer that does not have exactly one field set.
	errEnvelope = errors.New("call or answer does not contain exactly one message")
	// errCallField reports a field that is out of its bounds.
	errCallField = errors.New("call has a field that is out of bounds")
)

// DecodeCall decodes and checks a Call of at most limit bytes. The result shares
// no memory with body.
func DecodeCall(body []byte, limit int) (Call, error) {
	c, err := Decode[Call](body, limit)
	switch {
	case err != nil:
		return Call{}, err
	case (c.Request == nil) == (c.Void == nil):
		return Call{}, errEnvelope
	case c.Request != nil && !c.Request.valid(), c.Void != nil && !c.Void.valid():
		return Call{}, errCallField
	}
	return c, nil
}

// DecodeAnswer decodes and checks an Answer of at most limit bytes. The result
// shares no memory with body.
func DecodeAnswer(body []byte, limit int) (Answer, error) {
	a, err := Decode[Answer](body, limit)
	switch {
	case err != nil:
		return Answer{}, err
	case (a.Response == nil) == (a.Voided == nil):
		return Answer{}, errEnvelope
	case a.Response != nil && !a.Response.valid(), a.Voided != nil && !a.Voided.valid():
		return Answer{}, errCallField
	}
	return a, nil
}

// valid reports whether every field of the request is within its bounds.
func (r *Request) valid() bool {
	return validID(r.ID) && len(r.Target) <= maxIDBytes && len(r.Route) <= maxIDBytes && len(r.CallerID) <= maxIDBytes &&
		r.Attempt >= 1 && r.Attempt <= 2*model.MaxRouteAttempts && r.Class <= model.Browse && r.Rank <= admit.LastRank &&
		r.RemainingMillis >= 0 && r.RemainingMillis <= model.MaxTimeoutMillis &&
		r.Forwardable()
}

// Forwardable reports whether method, URI and headers can be written as exactly one
// HTTP request, which the target parses to the same values.
func (r *Request) Forwardable() bool {
	return validMethod(r.Method) && validURI(r.URI) && r.Headers.valid()
}

// valid reports whether every field of the response is within its bounds.
func (r *Response) valid() bool {
	return r.Verdict <= result.Ran && r.validStatus() && len(r.Reason) <= maxIDBytes &&
		r.ContentLength >= 0 && r.Load.Free >= 0 && r.Load.Queued >= 0 && r.Headers.valid()
}

// validStatus reports whether the response has a final status exactly if it ran.
func (r *Response) validStatus() bool {
	if r.Verdict != result.Ran {
		return r.Status == 0
	}
	return syntax.IsFinalStatus(r.Status)
}

// valid reports whether every field of the request to void is within its bounds.
func (v *Void) valid() bool {
	return validID(v.ID) && v.RemainingMillis >= 0 && v.RemainingMillis <= model.MaxTimeoutMillis
}

// valid reports whether every field of the reply is within its bounds.
func (v *Voided) valid() bool {
	return v.Verdict <= result.NotRun && len(v.Reason) <= maxIDBytes
}

// validID reports whether id has an allowed length.
func validID(id ident.RequestID) bool {
	return id != "" && len(id) <= maxIDBytes
}

// validMethod reports whether m is a short HTTP token.
func validMethod(m string) bool {
	return len(m) <= 32 && syntax.IsToken(m)
}

// validURI reports whether u is an origin-form request target without spaces and
// control characters, which could end the request line early.
func validURI(u []byte) bool {
	if len(u) == 0 || len(u) > CallOverheadBytes/2 || u[0] != '/' {
		return false
	}
	for _, c := range u {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return true
}
