// Package once provides at-most-once execution of requests: by request id at a gate
// (Dedup), and by idempotency key at an ingress (Claim).
package once

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/option"
	"hickoryrail/core/result"
)

const (
	// Refuse rejects the request with the decision's verdict and reason.
	Refuse DecisionKind = iota
	// Run passes the request on to be executed; returned at most once for each id.
	Run
	// Replay returns the kept response of the first execution.
	Replay
)

const (
	// DefaultKeepMillis is used if KeepMillis is 0. It is twice the default idle
	// timeout of a connection between nodes.
	DefaultKeepMillis = 60 * clock.Second
	// DefaultMaxRecords is used if MaxRecords is 0. At 370 calls/s a node needs
	// 22,200 records for 60 s.
	DefaultMaxRecords = 65_536
	// DefaultMaxBytes is used if MaxBytes is 0.
	DefaultMaxBytes ident.Bytes = 16 << 20
)

// Reasons of a decision.
const (
	ReasonIncarnation = "request is for another gate incarnation"
	ReasonFull        = "request record is full"
	ReasonVoided      = "request was voided"
	ReasonRefused     = "request was refused"
	ReasonRunning     = "request is running"
	ReasonDropped     = "response is no longer kept"
	ReasonUncertain   = "request ended without a response"
	ReasonKept        = "response was kept"
	ReasonNew         = "request is new"
)

const (
	// voided ids were cancelled before their request arrived; it never runs.
	voided phase = iota
	// running requests were decided as Run and have not finished.
	running
	// finished requests have a verdict and may have a kept response.
	finished
)

type (
	// DecisionKind indicates what to do with a request.
	DecisionKind uint8

	// Decision is the result of the duplicate check for a request or a void.
	Decision struct {
		Kind    DecisionKind
		Verdict result.Verdict
		// Reason is a constant phrase.
		Reason string
		// Response is the kept response if Kind is Replay.
		Response []byte
	}

	// phase is the state of a request id.
	phase uint8

	// Dedup records the request ids that one incarnation of a gate has received,
	// so that each request runs at most once. It is not safe for concurrent use.
	Dedup struct {
		// Gate is the incarnation of the gate that the records belong to.
		Gate ident.Incarnation
		// KeepMillis is how long an id is remembered after its request has finished.
		// It must be longer than the transport can delay a copy of a request.
		KeepMillis clock.Millis
		// MaxRecords bounds the number of remembered ids.
		MaxRecords int
		// MaxBytes bounds the total size of the kept responses.
		MaxBytes ident.Bytes

		records map[ident.RequestID]*record
		// expiring holds the ids of voided and finished requests, in order of expiry.
		expiring queue[expiry]
		// kept holds the ids with a kept response, oldest first.
		kept queue[ident.RequestID]
		// bytes is the size of all kept responses, at most MaxBytes.
		bytes ident.Bytes
		// refused holds the ids that were refused or voided while records was full,
		// so that a later copy of such a request is refused too.
		refused filter
	}

	// record is the state of one request id.
	record struct {
		phase   phase
		verdict result.Verdict
		// response is the kept response, or nil.
		response []byte
	}

	// expiry is the instant at which the record of an id is deleted.
	expiry struct {
		id ident.RequestID
		at clock.Millis
	}
)

// Begin decides whether a request that is addressed to incarnation gate may run. It
// returns Run at most once per id, and the caller must then call Finish. The id must
// not alias a buffer that is reused.
//
// NotRun for another incarnation is correct only if all copies of a request reach the
// same incarnation: the sender must not send a request again on a new connection, but
// void it and send a request with a new id.
func (d *Dedup) Begin(now clock.Millis, gate ident.Incarnation, id ident.RequestID) Decision {
	d.Tick(now)
	if gate != d.Gate {
		return Decision{Kind: Refuse, Verdict: result.NotRun, Reason: ReasonIncarnation}
	}
	if r := d.records[id]; r != nil {
		return r.decision()
	}
	if d.refused.mayContain(now, d.keepMillis(), id) {
		return Decision{Kind: Refuse, Verdict: result.NotRun, Reason: ReasonRefused}
	}
	if len(d.records) >= d.maxRecords() {
		d.refused.add(now, d.keepMillis(), id)
		return Decision{Kind: Refuse, Verdict: result.NotRun, Reason: ReasonFull}
	}
	d.put(id, &record{phase: running})
	return Decision{Kind: Run, Reason: ReasonNew}
}

// Void cancels a request: an id that has not been seen never runs, and the verdict is
// NotRun. For a known id it returns the same decision as Begin for a duplicate. The
// verdict on a void for another incarnation of the gate is MayHaveRun.
func (d *Dedup) Void(now clock.Millis, gate ident.Incarnation, id ident.RequestID) Decision {
	d.Tick(now)
	if gate != d.Gate {
		return Decision{Kind: Refuse, Verdict: result.MayHaveRun, Reason: ReasonIncarnation}
	}
	if r := d.records[id]; r != nil {
		return r.decision()
	}
	if len(d.records) >= d.maxRecords() {
		d.refused.add(now, d.keepMillis(), id)
		return Decision{Kind: Refuse, Verdict: result.NotRun, Reason: ReasonVoided}
	}
	r := &record{phase: voided}
	d.put(id, r)
	d.scheduleExpiry(now, id)
	return r.decision()
}

// Finish records the verdict of a request that Begin decided to run; NotRun means that
// the admission gate refused it. Finish takes ownership of response, which is kept
// while MaxBytes allows.
func (d *Dedup) Finish(now clock.Millis, id ident.RequestID, v result.Verdict, response []byte) {
	r := d.records[id]
	if r == nil || r.phase != running {
		return
	}
	r.phase, r.verdict = finished, v
	d.scheduleExpiry(now, id)
	if size := ident.Bytes(len(response)); v == result.Ran && size > 0 && size <= d.maxBytes() {
		r.response = response
		d.bytes += size
		d.kept.push(id)
		d.evictResponses()
	}
	d.Tick(now)
}

// Keeps reports whether a response of a size would be kept.
func (d *Dedup) Keeps(size ident.Bytes) bool {
	return size <= d.maxBytes()
}

// Tick deletes the expired records.
func (d *Dedup) Tick(now clock.Millis) {
	for !d.expiring.empty() && d.expiring.first().at <= now {
		id := d.expiring.pop().id
		d.bytes -= ident.Bytes(len(d.records[id].response))
		delete(d.records, id)
	}
	for !d.kept.empty() && d.records[d.kept.first()] == nil {
		d.kept.pop()
	}
}

// Records returns the number of remembered ids.
func (d *Dedup) Records() int {
	return len(d.records)
}

// Bytes returns the total size of the kept responses.
func (d *Dedup) Bytes() ident.Bytes {
	return d.bytes
}

// put adds a record and creates the map on first use.
func (d *Dedup) put(id ident.RequestID, r *record) {
	if d.records == nil {
		d.records = make(map[ident.RequestID]*record)
	}
	d.records[id] = r
}

// scheduleExpiry sets the record of an id to expire after KeepMillis.
func (d *Dedup) scheduleExpiry(now clock.Millis, id ident.RequestID) {
	d.expiring.push(expiry{id: id, at: now + d.keepMillis()})
}

// keepMillis returns KeepMillis, or its default if unset.
func (d *Dedup) keepMillis() clock.Millis {
	return option.OrDefault(d.KeepMillis, DefaultKeepMillis)
}

// evictResponses removes the oldest responses until the rest fits MaxBytes. The ids
// stay, so duplicates are still refused.
func (d *Dedup) evictResponses() {
	for d.bytes > d.maxBytes() {
		if r := d.records[d.kept.pop()]; r != nil {
			d.bytes -= ident.Bytes(len(r.response))
			r.response = nil
		}
	}
}

// maxRecords returns MaxRecords, or its default if unset.
func (d *Dedup) maxRecords() int {
	return option.OrDefault(d.MaxRecords, DefaultMaxRecords)
}

// maxBytes returns MaxBytes, or its default if unset.
func (d *Dedup) maxBytes() ident.Bytes {
	return option.OrDefault(d.MaxBytes, DefaultMaxBytes)
}

// decision returns the decision on a duplicate of the request or on a void.
func (r *record) decision() Decision {
	switch {
	case r.phase == voided:
		return Decision{Kind: Refuse, Verdict: result.NotRun, Reason: ReasonVoided}
	case r.phase == running:
		return Decision{Kind: Refuse, Verdict: result.MayHaveRun, Reason: ReasonRunning}
	case r.verdict == result.NotRun:
		return Decision{Kind: Refuse, Verdict: result.NotRun, Reason: ReasonRefused}
	case r.response != nil:
		return Decision{Kind: Replay, Verdict: result.Ran, Reason: ReasonKept, Response: r.response}
	case r.verdict == result.Ran:
		return Decision{Kind: Refuse, Verdict: result.MayHaveRun, Reason: ReasonDropped}
	default:
		return Decision{Kind: Refuse, Verdict: result.MayHaveRun, Reason: ReasonUncertain}
	}
}
