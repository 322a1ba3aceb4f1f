package once

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/result"
)

const (
	// ReadRow is a strong read of the key's row, answered by RowRead.
	ReadRow ActionKind = iota
	// WriteRow is a conditional write, answered by RowWritten.
	WriteRow
	// Forward sends the request to a target; Finished reports its outcome.
	Forward
	// ReplayOutcome answers the caller with the stored outcome.
	ReplayOutcome
	// RefuseRequest answers the caller with a verdict and a reason.
	RefuseRequest
)

const (
	// Written means that the write took effect.
	Written WriteResult = iota
	// Conflict means that the condition failed; the write had no effect.
	Conflict
	// Unknown means that the answer was lost.
	Unknown
	// Failed means that the write certainly had no effect.
	Failed
)

const (
	// DefaultStoreMillis stands for a StoreMillis of 0.
	DefaultStoreMillis = clock.Second
	// storeTries bounds the store calls of each phase of a claim.
	storeTries = 8
	// settleMillis is the pause before a store call is tried again after the
	// claim; it doubles with each try.
	settleMillis clock.Millis = 100
)

// Reasons of a refusal.
const (
	ReasonStore     = "table service did not confirm the claim of the idempotency key"
	ReasonClaimed   = "an earlier request with this idempotency key has no stored outcome"
	ReasonOther     = "idempotency key was used with another request"
	ReasonMalformed = "row of the idempotency key is malformed"
)

const (
	// claiming lasts until the request is forwarded or refused.
	claiming stage = iota
	// forwarded lasts until the request has finished.
	forwarded
	// storing lasts until the outcome or the release is in the row.
	storing
	// settled is the end.
	settled
)

type (
	// ActionKind says what the ingress does.
	ActionKind uint8

	// WriteResult is the outcome of a conditional write.
	WriteResult uint8

	// Action is what the ingress does for a claim.
	Action struct {
		Kind ActionKind
		// Value and Condition are those of a WriteRow; Condition 0 means that the
		// row must be absent.
		Value     []byte
		Condition ident.Revision
		// Outcome is that of a ReplayOutcome.
		Outcome Outcome
		// Verdict and Reason are those of a RefuseRequest. NotRun says that this
		// submission was not run.
		Verdict result.Verdict
		Reason  string
	}

	// stage is the progress of a claim.
	stage uint8

	// Claim is the claim of an idempotency key by one submission. At most one
	// store call is outstanding at a time, and the ingress answers each of them
	// once, if only with Unknown. It is not safe for concurrent use.
	Claim struct {
		// ID names the submission; never used by another one.
		ID ident.RequestID
		// Fingerprint is that of the request; not zero.
		Fingerprint ident.Digest
		// StoreMillis bounds the time from Begin to Forward.
		StoreMillis clock.Millis

		stage stage
		// answered says that the caller got ReplayOutcome or RefuseRequest.
		answered bool
		// conflicted says that another submission's write was in the way.
		conflicted bool
		// uncertain says that a claim write without an answer may take effect.
		uncertain bool
		// target is the row to be stored after the claim.
		target KeyRow
		// revision is that of the own row, if known.
		revision ident.Revision
		deadline clock.Millis
		// waiting says that a store call is outstanding; writing is the state that
		// it writes, or empty for a read.
		waiting bool
		writing State
		tries   int
		// retryAt is the instant of the next try while storing.
		retryAt clock.Millis
	}
)

// Begin starts with a conditional create, which needs no read for a new key.
func (c *Claim) Begin(now clock.Millis) []Action {
	limit := c.StoreMillis
	if limit <= 0 {
		limit = DefaultStoreMillis
	}
	c.deadline = now + limit
	return c.claim(0)
}

// RowRead takes the answer of a ReadRow. An absent row has revision 0; ok is
// false if the read failed.
func (c *Claim) RowRead(now clock.Millis, value []byte, revision ident.Revision, ok bool) []Action {
	c.waiting = false
	if !ok {
		return c.storeFailed(now)
	}
	if revision == 0 {
		return c.absent()
	}
	row, err := DecodeKeyRow(value)
	switch c.stage {
	case claiming:
		return c.found(now, row, revision, err)
	case storing:
		return c.settle(row, revision, err)
	default:
		return nil
	}
}

// RowWritten takes the answer of a WriteRow; revision is the new one if Written.
func (c *Claim) RowWritten(now clock.Millis, w WriteResult, revision ident.Revision) []Action {
	c.waiting = false
	late := c.stage == storing && c.writing == Claimed
	switch {
	case c.stage == claiming && w == Written:
		return c.won(now, revision)
	case c.stage == claiming && w == Conflict:
		c.conflicted = true
		return c.read()
	case c.stage == claiming && w == Unknown:
		c.uncertain = true
		return c.read()
	case late && w == Written:
		// The claim took effect after the caller was refused.
		return c.write(c.target, revision)
	case late && w != Unknown && !c.uncertain:
		c.stage = settled
		return nil
	case c.stage == storing && w == Written:
		c.stage = settled
		return nil
	case c.stage == storing && w == Conflict:
		return c.read()
	}
	return c.storeFailed(now)
}

// Finished takes the verdict of the forwarded request and, if it ran, the
// outcome to store. The caller gets its response without waiting for the store.
func (c *Claim) Finished(now clock.Millis, v result.Verdict, o Outcome) []Action {
	if c.stage != forwarded {
		return nil
	}
	c.tries, c.retryAt = 0, now
	switch v {
	case result.NotRun:
		c.target = c.row(Released, nil)
	case result.Ran:
		c.target = c.row(Stored, &o)
	default:
		c.stage = settled // the claim without outcome refuses every resubmission
		return nil
	}
	if c.target.check() != nil {
		c.stage = settled
		return nil
	}
	c.stage = storing
	return c.write(c.target, c.revision)
}

// Tick refuses a claim that takes too long, and tries again to store.
func (c *Claim) Tick(now clock.Millis) []Action {
	switch {
	case c.stage == claiming && now >= c.deadline:
		return c.refuse(now)
	case c.stage == storing && !c.waiting && now >= c.retryAt:
		return c.read()
	}
	return nil
}

// Next returns the instant of the next due Tick, or clock.Forever.
func (c *Claim) Next() clock.Millis {
	switch {
	case c.stage == claiming:
		return c.deadline
	case c.stage == storing && !c.waiting:
		return c.retryAt
	}
	return clock.Forever
}

// Settled reports whether nothing is left to do. A claim that waits for
// Finished is not settled.
func (c *Claim) Settled() bool {
	return c.stage == settled
}

// row returns the own row.
func (c *Claim) row(s State, o *Outcome) KeyRow {
	return KeyRow{ClaimID: c.ID, Fingerprint: c.Fingerprint, State: s, Outcome: o}
}

// claim writes the own claim over a row that is absent or released.
func (c *Claim) claim(condition ident.Revision) []Action {
	return c.write(c.row(Claimed, nil), condition)
}

// won forwards the request, unless the caller was refused meanwhile.
func (c *Claim) won(now clock.Millis, revision ident.Revision) []Action {
	c.revision = revision
	if now >= c.deadline {
		return c.refuse(now)
	}
	c.stage = forwarded
	return []Action{{Kind: Forward}}
}

// absent handles a row that does not exist. While a lost write of this claim can
// still arrive, a write under the same condition settles which of them counts.
func (c *Claim) absent() []Action {
	switch c.stage {
	case claiming:
		return c.claim(0)
	case storing:
		return c.write(c.target, 0)
	default:
		return nil
	}
}

// found handles an existing row while claiming.
func (c *Claim) found(now clock.Millis, row KeyRow, revision ident.Revision, err error) []Action {
	switch {
	case err != nil:
		return c.end(Action{Kind: RefuseRequest, Verdict: result.MayHaveRun, Reason: ReasonMalformed})
	case row.Fingerprint != c.Fingerprint:
		return c.end(Action{Kind: RefuseRequest, Verdict: result.NotRun, Reason: ReasonOther})
	case row.State == Stored:
		return c.end(Action{Kind: ReplayOutcome, Outcome: *row.Outcome, Verdict: result.Ran, Reason: ReasonKept})
	case row.State == Released:
		return c.claim(revision)
	case row.ClaimID == c.ID:
		return c.won(now, revision)
	default:
		return c.end(Action{Kind: RefuseRequest, Verdict: result.MayHaveRun, Reason: ReasonClaimed})
	}
}

// settle handles an existing row while storing: only the own claim is replaced.
func (c *Claim) settle(row KeyRow, revision ident.Revision, err error) []Action {
	if err != nil || row.ClaimID != c.ID || row.State != Claimed {
		c.stage = settled
		return nil
	}
	return c.write(c.target, revision)
}

// storeFailed handles a store call without a useful answer.
func (c *Claim) storeFailed(now clock.Millis) []Action {
	switch {
	case c.stage == claiming:
		return c.refuse(now)
	case c.stage == storing && c.tries >= storeTries:
		c.stage = settled
	case c.stage == storing:
		c.retryAt = now + settleMillis*clock.Millis(int(1)<<c.tries)
	}
	return nil
}

// refuse answers the caller and, as nothing was forwarded, releases the row if a
// claim write may have taken effect.
func (c *Claim) refuse(now clock.Millis) []Action {
	v, reason := result.NotRun, ReasonStore
	if c.conflicted {
		// The row exists and could not be read: it may hold the outcome of an
		// earlier submission.
		v, reason = result.MayHaveRun, ReasonClaimed
	}
	claimed := c.uncertain || c.revision != 0 || c.waiting && c.writing == Claimed
	out := c.end(Action{Kind: RefuseRequest, Verdict: v, Reason: reason})
	if claimed {
		c.stage, c.tries, c.retryAt = storing, 0, now+settleMillis
		c.target = c.row(Released, nil)
	}
	return out
}

// end answers the caller.
func (c *Claim) end(a Action) []Action {
	c.stage = settled
	if c.answered {
		return nil
	}
	c.answered = true
	return []Action{a}
}

// read returns a read of the row.
func (c *Claim) read() []Action {
	if c.exhausted() {
		return nil
	}
	c.writing = ""
	return []Action{{Kind: ReadRow}}
}

// write returns a conditional write of the row.
func (c *Claim) write(row KeyRow, condition ident.Revision) []Action {
	if c.exhausted() {
		return nil
	}
	value, err := EncodeKeyRow(row)
	if err != nil {
		c.stage = settled
		c.waiting = false
		return nil
	}
	c.writing = row.State
	return []Action{{Kind: WriteRow, Value: value, Condition: condition}}
}

// exhausted counts a store call; after storeTries of them a claim that is being
// stored stays as it is, and one that is not yet won waits for its deadline.
func (c *Claim) exhausted() bool {
	c.tries++
	if c.tries <= storeTries {
		c.waiting = true
		return false
	}
	if c.stage == storing {
		c.stage = settled
	}
	return true
}
