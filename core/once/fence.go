// Package once provides the at-most-once execution of requests.
package once

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/result"
)

const (
	// Refuse ends the request with the answer's verdict and reason.
	Refuse AnswerKind = iota
	// Run lets the request go to the target, once.
	Run
	// Replay sends the kept response.
	Replay
)

const (
	// DefaultKeepMillis stands for a KeepMillis of 0: twice the default idle
	// timeout of a connection between nodes.
	DefaultKeepMillis = 60 * clock.Second
	// DefaultMaxRecords stands for a MaxRecords of 0. At 370 calls/s a node
	// needs 22,200 records for 60 s.
	DefaultMaxRecords = 65_536
	// DefaultMaxBytes stands for a MaxBytes of 0.
	DefaultMaxBytes ident.Bytes = 16 << 20
)

// Reasons of an answer.
const (
	ReasonGate      = "request is for another gate incarnation"
	ReasonFull      = "request record is full"
	ReasonVoided    = "request was voided"
	ReasonRefused   = "request was refused"
	ReasonRunning   = "request is running"
	ReasonDropped   = "response is no longer kept"
	ReasonUncertain = "request ended without a response"
	ReasonKept      = "response was kept"
	ReasonNew       = "request is new"
)

const (
	// voided requests never run.
	voided phase = iota
	// running requests were let through and have not finished.
	running
	// finished requests have a verdict and perhaps a kept response.
	finished
)

type (
	// AnswerKind says what to do with a request.
	AnswerKind uint8

	// Answer is the fence's decision on a request or a void.
	Answer struct {
		Kind    AnswerKind
		Verdict result.Verdict
		// Reason is a constant phrase.
		Reason string
		// Response is the kept response if Kind is Replay.
		Response []byte
	}

	// phase is the state of a request id.
	phase uint8

	// Fence remembers the request ids of one life of a gate, so that each
	// request runs at most once. It is not safe for concurrent use.
	Fence struct {
		// Gate is this life's incarnation.
		Gate ident.Incarnation
		// KeepMillis is longer than the transport can hold a request.
		KeepMillis clock.Millis
		// MaxRecords bounds the request ids.
		MaxRecords int
		// MaxBytes bounds the kept responses.
		MaxBytes ident.Bytes

		records map[ident.RequestID]*record
		// expiring holds the ids that no longer run, in order of expiry.
		expiring queue[expiry]
		// kept holds the ids with a kept response, oldest first.
		kept queue[ident.RequestID]
		// bytes is the size of all kept responses, at most MaxBytes.
		bytes ident.Bytes
		// refused holds the ids that were refused or voided while records was
		// full, so that a later copy of them does not run either.
		refused filter
	}

	// record is what is known of one request id.
	record struct {
		phase   phase
		verdict result.Verdict
		// response is nil unless kept.
		response []byte
	}

	// expiry is the instant at which an id can be forgotten.
	expiry struct {
		id ident.RequestID
		at clock.Millis
	}
)

// Arrive decides on a request that is addressed to a gate. It answers Run at
// most once per id, and the caller then calls Finish for it. The id must not
// share memory that is reused.
//
// NotRun for another gate holds only if all copies of a request arrive at one
// life of a gate: the sender must not send a request again on a new connection.
// It voids the request and sends a new id instead.
func (f *Fence) Arrive(now clock.Millis, gate ident.Incarnation, id ident.RequestID) Answer {
	f.Tick(now)
	if gate != f.Gate {
		return Answer{Kind: Refuse, Verdict: result.NotRun, Reason: ReasonGate}
	}
	if r := f.records[id]; r != nil {
		return r.answer()
	}
	if f.refused.has(now, f.keepMillis(), id) {
		return Answer{Kind: Refuse, Verdict: result.NotRun, Reason: ReasonRefused}
	}
	if len(f.records) >= f.maxRecords() {
		f.refused.add(now, f.keepMillis(), id)
		return Answer{Kind: Refuse, Verdict: result.NotRun, Reason: ReasonFull}
	}
	f.put(id, &record{phase: running})
	return Answer{Kind: Run, Reason: ReasonNew}
}

// Void makes an id that was not seen never run and answers NotRun. For an id
// that was seen it answers like a duplicate. A void for another life of the gate
// is MayHaveRun.
func (f *Fence) Void(now clock.Millis, gate ident.Incarnation, id ident.RequestID) Answer {
	f.Tick(now)
	if gate != f.Gate {
		return Answer{Kind: Refuse, Verdict: result.MayHaveRun, Reason: ReasonGate}
	}
	if r := f.records[id]; r != nil {
		return r.answer()
	}
	if len(f.records) >= f.maxRecords() {
		f.refused.add(now, f.keepMillis(), id)
		return Answer{Kind: Refuse, Verdict: result.NotRun, Reason: ReasonVoided}
	}
	r := &record{phase: voided}
	f.put(id, r)
	f.expire(now, id)
	return r.answer()
}

// Finish ends a request that was let through. NotRun is for a request that the
// admission gate refused. The response is kept while MaxBytes allows; the caller
// gives up its ownership.
func (f *Fence) Finish(now clock.Millis, id ident.RequestID, v result.Verdict, response []byte) {
	r := f.records[id]
	if r == nil || r.phase != running {
		return
	}
	r.phase, r.verdict = finished, v
	f.expire(now, id)
	if size := ident.Bytes(len(response)); v == result.Ran && size > 0 && size <= f.maxBytes() {
		r.response = response
		f.bytes += size
		f.kept.push(id)
		f.drop()
	}
	f.Tick(now)
}

// Tick forgets the ids whose time is over.
func (f *Fence) Tick(now clock.Millis) {
	for !f.expiring.empty() && f.expiring.first().at <= now {
		id := f.expiring.pop().id
		f.bytes -= ident.Bytes(len(f.records[id].response))
		delete(f.records, id)
	}
	for !f.kept.empty() && f.records[f.kept.first()] == nil {
		f.kept.pop()
	}
}

// Records returns the number of remembered ids.
func (f *Fence) Records() int {
	return len(f.records)
}

// Bytes returns the size of the kept responses.
func (f *Fence) Bytes() ident.Bytes {
	return f.bytes
}

// put adds a record.
func (f *Fence) put(id ident.RequestID, r *record) {
	if f.records == nil {
		f.records = make(map[ident.RequestID]*record)
	}
	f.records[id] = r
}

// expire starts the time after which an id is forgotten.
func (f *Fence) expire(now clock.Millis, id ident.RequestID) {
	f.expiring.push(expiry{id: id, at: now + f.keepMillis()})
}

// keepMillis returns KeepMillis or its default.
func (f *Fence) keepMillis() clock.Millis {
	if f.KeepMillis <= 0 {
		return DefaultKeepMillis
	}
	return f.KeepMillis
}

// drop removes the oldest responses above the bound; their ids stay.
func (f *Fence) drop() {
	for f.bytes > f.maxBytes() {
		if r := f.records[f.kept.pop()]; r != nil {
			f.bytes -= ident.Bytes(len(r.response))
			r.response = nil
		}
	}
}

// maxRecords returns MaxRecords or its default.
func (f *Fence) maxRecords() int {
	if f.MaxRecords <= 0 {
		return DefaultMaxRecords
	}
	return f.MaxRecords
}

// maxBytes returns MaxBytes or its default.
func (f *Fence) maxBytes() ident.Bytes {
	if f.MaxBytes <= 0 {
		return DefaultMaxBytes
	}
	return f.MaxBytes
}

// answer returns the decision on a duplicate or a void.
func (r *record) answer() Answer {
	switch {
	case r.phase == voided:
		return Answer{Kind: Refuse, Verdict: result.NotRun, Reason: ReasonVoided}
	case r.phase == running:
		return Answer{Kind: Refuse, Verdict: result.MayHaveRun, Reason: ReasonRunning}
	case r.verdict == result.NotRun:
		return Answer{Kind: Refuse, Verdict: result.NotRun, Reason: ReasonRefused}
	case r.response != nil:
		return Answer{Kind: Replay, Verdict: result.Ran, Reason: ReasonKept, Response: r.response}
	case r.verdict == result.Ran:
		return Answer{Kind: Refuse, Verdict: result.MayHaveRun, Reason: ReasonDropped}
	default:
		return Answer{Kind: Refuse, Verdict: result.MayHaveRun, Reason: ReasonUncertain}
	}
}
