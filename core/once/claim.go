package once

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/result"
)

const (
	// ReadRow requests a strong read of the key's row; its result goes to RowRead.
	ReadRow ActionKind = iota
	// WriteRow requests a conditional write of the row; its result goes to RowWritten.
	WriteRow
	// Forward sends the request to a target; its outcome goes to Finished.
	Forward
	// ReplayOutcome returns the stored outcome to the caller.
	ReplayOutcome
	// RefuseRequest refuses the caller's request with a verdict and a reason.
	RefuseRequest
)

const (
	// Written means that the write took effect.
	Written WriteResult = iota
	// Conflict means that the condition failed; the write had no effect.
	Conflict
	// Unknown means that the response was lost, so the write may have taken effect
	// or may still do so.
	Unknown
	// Failed means that the write certainly had no effect.
	Failed
)

const (
	// DefaultStoreMillis is used if StoreMillis is 0.
	DefaultStoreMillis = clock.Second
	// maxStoreCalls bounds the store calls before the request is forwarded or refused,
	// and again those after it.
	maxStoreCalls = 8
	// storeRetryMillis is the base delay of the exponential backoff between store calls
	// in the storing stage.
	storeRetryMillis clock.Millis = 100
)

// Reasons of a refusal.
const (
	ReasonUnconfirmed = "table service did not confirm the claim of the idempotency key"
	ReasonClaimed     = "an earlier request with this idempotency key has no stored outcome"
	ReasonKeyReused   = "idempotency key was used with another request"
	ReasonMalformed   = "row of the idempotency key is malformed"
)

const (
	// claiming lasts until the request is forwarded, refused or answered from the row.
	claiming stage = iota
	// forwarded lasts until the request has finished.
	forwarded
	// storing lasts until the row is written as stored or released.
	storing
	// done is the final stage.
	done
)

type (
	// ActionKind indicates what the ingress does next.
	ActionKind uint8

	// WriteResult is the outcome of a conditional write.
	WriteResult uint8

	// Action is a step that the ingress takes for a claim.
	Action struct {
		Kind ActionKind
		// Value is the row that a WriteRow writes, and Condition the revision that the
		// row must have; 0 means that it must be absent.
		Value     []byte
		Condition ident.Revision
		// Outcome is the stored outcome that a ReplayOutcome returns.
		Outcome Outcome
		// Verdict and Reason are set for ReplayOutcome and RefuseRequest. NotRun means
		// that this submission was not run.
		Verdict result.Verdict
		Reason  string
	}

	// stage is the current step of a claim.
	stage uint8

	// Claim is the state machine by which one submission claims an idempotency key and
	// stores its outcome. At most one store call is outstanding at a time, and the
	// ingress reports each result exactly once, with Unknown if the response was lost.
	// It is not safe for concurrent use.
	Claim struct {
		// ID identifies the submission and is unique to it.
		ID ident.RequestID
		// Fingerprint is the fingerprint of the request; not zero.
		Fingerprint ident.Digest
		// StoreMillis bounds the time from Begin to Forward.
		StoreMillis clock.Millis

		stage stage
		// answered is set once ReplayOutcome or RefuseRequest has been returned.
		answered bool
		// conflicted is set once a claim write has failed because of another
		// submission's write.
		conflicted bool
		// uncertain is set once the response to a claim write was lost; that write may
		// still take effect.
		uncertain bool
		// finalRow is the stored or released row that replaces the claim.
		finalRow KeyRow
		// revision is the revision of this submission's row; 0 if unknown.
		revision ident.Revision
		deadline clock.Millis
		// callPending is set while a store call is outstanding.
		callPending bool
		// writingState is the state that the last store call writes; empty for a read.
		writingState State
		// storeCalls counts the calls since the start of the stage, up to maxStoreCalls.
		storeCalls int
		// retryAt is the instant of the next store call in the storing stage.
		retryAt clock.Millis
	}
)

// Begin starts the claim with a conditional create of the row, so that a new key needs
// no read.
func (c *Claim) Begin(now clock.Millis) []Action {
	limit := c.StoreMillis
	if limit <= 0 {
		limit = DefaultStoreMillis
	}
	c.deadline = now + limit
	return c.writeClaim(0)
}

// RowRead handles the result of a ReadRow. An absent row has revision 0; ok is false if
// the read failed.
func (c *Claim) RowRead(now clock.Millis, value []byte, revision ident.Revision, ok bool) []Action {
	c.callPending = false
	if !ok {
		return c.storeFailed(now)
	}
	if revision == 0 {
		return c.rowAbsent()
	}
	row, err := DecodeKeyRow(value)
	switch c.stage {
	case claiming:
		return c.rowFound(now, row, revision, err)
	case storing:
		return c.replaceClaim(row, revision, err)
	default:
		return nil
	}
}

// RowWritten handles the result of a WriteRow; revision is the new revision if w is
// Written.
func (c *Claim) RowWritten(now clock.Millis, w WriteResult, revision ident.Revision) []Action {
	c.callPending = false
	lateClaim := c.stage == storing && c.writingState == Claimed
	switch {
	case c.stage == claiming && w == Written:
		return c.acquired(now, revision)
	case c.stage == claiming && w == Conflict:
		c.conflicted = true
		return c.readRow()
	case c.stage == claiming && w == Unknown:
		c.uncertain = true
		return c.readRow()
	case lateClaim && w == Written:
		// The claim took effect after the request was refused, so it is released.
		return c.writeRow(c.finalRow, revision)
	case lateClaim && w != Unknown && !c.uncertain:
		c.stage = done
		return nil
	case c.stage == storing && w == Written:
		c.stage = done
		return nil
	case c.stage == storing && w == Conflict:
		return c.readRow()
	}
	return c.storeFailed(now)
}

// Finished handles the verdict of the forwarded request and, if it ran, the outcome to
// store. The response to the caller does not wait for the store.
func (c *Claim) Finished(now clock.Millis, v result.Verdict, o Outcome) []Action {
	if c.stage != forwarded {
		return nil
	}
	c.storeCalls, c.retryAt = 0, now
	switch v {
	case result.NotRun:
		c.finalRow = c.ownRow(Released, nil)
	case result.Ran:
		c.finalRow = c.ownRow(Stored, &o)
	default:
		c.stage = done // the row stays claimed, so every resubmission is refused
		return nil
	}
	if c.finalRow.check() != nil {
		c.stage = done
		return nil
	}
	c.stage = storing
	return c.writeRow(c.finalRow, c.revision)
}

// Tick refuses the request once the claim has exceeded its deadline, and retries the
// store call in the storing stage.
func (c *Claim) Tick(now clock.Millis) []Action {
	switch {
	case c.stage == claiming && now >= c.deadline:
		return c.refuse(now)
	case c.stage == storing && !c.callPending && now >= c.retryAt:
		return c.readRow()
	}
	return nil
}

// Next returns the instant of the next due Tick, or clock.Forever.
func (c *Claim) Next() clock.Millis {
	switch {
	case c.stage == claiming:
		return c.deadline
	case c.stage == storing && !c.callPending:
		return c.retryAt
	}
	return clock.Forever
}

// Done reports whether nothing is left to do. A claim that waits for Finished is not
// done.
func (c *Claim) Done() bool {
	return c.stage == done
}

// ownRow returns a row of this submission in state s.
func (c *Claim) ownRow(s State, o *Outcome) KeyRow {
	return KeyRow{ClaimID: c.ID, Fingerprint: c.Fingerprint, State: s, Outcome: o}
}

// writeClaim writes this submission's claim on condition that the row is still absent
// or released.
func (c *Claim) writeClaim(condition ident.Revision) []Action {
	return c.writeRow(c.ownRow(Claimed, nil), condition)
}

// acquired handles a claim that took effect: it forwards the request, unless the
// deadline has passed.
func (c *Claim) acquired(now clock.Millis, revision ident.Revision) []Action {
	c.revision = revision
	if now >= c.deadline {
		return c.refuse(now)
	}
	c.stage = forwarded
	return []Action{{Kind: Forward}}
}

// rowAbsent handles a row that does not exist. A write of this claim whose response was
// lost may still take effect; only one of two writes with the same condition can
// succeed, so another write decides the outcome.
func (c *Claim) rowAbsent() []Action {
	switch c.stage {
	case claiming:
		return c.writeClaim(0)
	case storing:
		return c.writeRow(c.finalRow, 0)
	default:
		return nil
	}
}

// rowFound handles an existing row in the claiming stage.
func (c *Claim) rowFound(now clock.Millis, row KeyRow, revision ident.Revision, err error) []Action {
	switch {
	case err != nil:
		return c.answer(Action{Kind: RefuseRequest, Verdict: result.MayHaveRun, Reason: ReasonMalformed})
	case row.Fingerprint != c.Fingerprint:
		return c.answer(Action{Kind: RefuseRequest, Verdict: result.NotRun, Reason: ReasonKeyReused})
	case row.State == Stored:
		return c.answer(Action{Kind: ReplayOutcome, Outcome: *row.Outcome, Verdict: result.Ran, Reason: ReasonKept})
	case row.State == Released:
		return c.writeClaim(revision)
	case row.ClaimID == c.ID:
		return c.acquired(now, revision)
	default:
		return c.answer(Action{Kind: RefuseRequest, Verdict: result.MayHaveRun, Reason: ReasonClaimed})
	}
}

// replaceClaim handles an existing row in the storing stage. It overwrites only this
// submission's claim.
func (c *Claim) replaceClaim(row KeyRow, revision ident.Revision, err error) []Action {
	if err != nil || row.ClaimID != c.ID || row.State != Claimed {
		c.stage = done
		return nil
	}
	return c.writeRow(c.finalRow, revision)
}

// storeFailed handles a store call that failed or whose result is unknown.
func (c *Claim) storeFailed(now clock.Millis) []Action {
	switch {
	case c.stage == claiming:
		return c.refuse(now)
	case c.stage == storing && c.storeCalls >= maxStoreCalls:
		c.stage = done
	case c.stage == storing:
		c.retryAt = now + storeRetryMillis*clock.Millis(int(1)<<c.storeCalls)
	}
	return nil
}

// refuse refuses the request before it was forwarded, and releases the row if a claim
// write may have taken effect.
func (c *Claim) refuse(now clock.Millis) []Action {
	v, reason := result.NotRun, ReasonUnconfirmed
	if c.conflicted {
		// The row exists and could not be read: it may hold the outcome of an
		// earlier submission.
		v, reason = result.MayHaveRun, ReasonClaimed
	}
	claimed := c.uncertain || c.revision != 0 || c.callPending && c.writingState == Claimed
	out := c.answer(Action{Kind: RefuseRequest, Verdict: v, Reason: reason})
	if claimed {
		c.stage, c.storeCalls, c.retryAt = storing, 0, now+storeRetryMillis
		c.finalRow = c.ownRow(Released, nil)
	}
	return out
}

// answer ends the claim. It returns the action that answers the caller, or nothing if
// the caller has been answered already.
func (c *Claim) answer(a Action) []Action {
	c.stage = done
	if c.answered {
		return nil
	}
	c.answered = true
	return []Action{a}
}

// readRow returns a read of the row, or nothing if no store call is left.
func (c *Claim) readRow() []Action {
	if c.countCall() {
		return nil
	}
	c.writingState = ""
	return []Action{{Kind: ReadRow}}
}

// writeRow returns a conditional write of the row, or nothing if no store call is left.
func (c *Claim) writeRow(row KeyRow, condition ident.Revision) []Action {
	if c.countCall() {
		return nil
	}
	value, err := EncodeKeyRow(row)
	if err != nil {
		c.stage = done
		c.callPending = false
		return nil
	}
	c.writingState = row.State
	return []Action{{Kind: WriteRow, Value: value, Condition: condition}}
}

// countCall counts a store call and reports whether the limit of maxStoreCalls is
// exceeded. In the storing stage the row then stays as it is; in the claiming stage the
// claim waits for its deadline.
func (c *Claim) countCall() bool {
	c.storeCalls++
	if c.storeCalls <= maxStoreCalls {
		c.callPending = true
		return false
	}
	if c.stage == storing {
		c.stage = done
	}
	return true
}
