package order

import (
	"math/rand/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
)

const (
	// DefaultAttempts bounds the readings of Head of one submission. With the
	// delays below, a submission gives up after about 15 s.
	DefaultAttempts = 14
	// retryBaseMillis is the upper bound of the first delay before a retry.
	retryBaseMillis clock.Millis = 40
	// retryMaxMillis is the upper bound of every delay before a retry.
	retryMaxMillis clock.Millis = 2000
)

const (
	// OK means that the call succeeded.
	OK Reply = iota
	// Conflict means that the condition of a write failed.
	Conflict
	// Unknown means that the answer to a write was lost.
	Unknown
	// Failed means that the call certainly had no effect.
	Failed
	// Missing means that what was to be read does not exist.
	Missing
)

const (
	// None asks for nothing; the event did not belong to the current step.
	None ActionKind = iota
	// ReadHead asks for a strong read of the row Head.
	ReadHead
	// ReadEdit asks for a strong read of the edit's own row.
	ReadEdit
	// ReadRelease asks for the release with Version. Head names it if it is the
	// newest; the row History/<Version> does otherwise.
	ReadRelease
	// PutObject asks for Release to be stored under Object.
	PutObject
	// RecordHead asks for the edit and history rows of Head, unless they exist.
	RecordHead
	// WriteHead asks for Head to be written on condition of Revision.
	WriteHead
	// RecordRefusal asks for Row to be written on condition of Revision.
	RecordRefusal
	// FenceHead asks for Head to be written unchanged on condition of Revision,
	// so that every write with an older condition fails.
	FenceHead
	// Wait asks for Tick at Until.
	Wait
	// Accept ends the submission: the edit has Version.
	Accept
	// Refuse ends the submission: Row has the clashing fields and the reason.
	Refuse
	// Plan ends a dry run: Release and Changes are what would be accepted.
	Plan
	// GiveUp ends the submission; Verdict is MayHaveRun if the edit may still
	// be accepted by a write whose answer was lost.
	GiveUp
)

type (
	// Reply is the outcome of a call to the store.
	Reply uint8

	// ActionKind says what an Action asks for.
	ActionKind uint8

	// Action is what the driver of a Submission does next; the fields that Kind
	// does not name are unset.
	Action struct {
		Kind     ActionKind
		Version  ident.Version
		Object   string
		Release  model.Release
		Head     Head
		Revision ident.Revision
		Row      EditRow
		// Changes are the fields that the release changes in its predecessor.
		Changes []model.Change
		Until   clock.Millis
		Verdict result.Verdict
	}

	// Submission brings one edit to acceptance or refusal. Each event returns
	// one action, and the driver answers each action with the event of the same
	// name. It is used by one goroutine, once.
	Submission struct {
		// Edit is what is submitted.
		Edit Edit
		// Invalid, if set, is why the edit is refused unless it has an outcome
		// already.
		Invalid string
		// DryRun ends with Plan or Refuse and writes nothing.
		DryRun bool
		// Attempts bounds the readings of Head; 0 is DefaultAttempts.
		Attempts int
		// Rand spreads retries.
		Rand *rand.Rand

		// step is the action whose event is awaited.
		step ActionKind
		// attempts counts the readings of Head.
		attempts int
		wakeAt   clock.Millis

		// head and revision are from the last reading of Head; a zero revision
		// means that there is no release yet.
		head     Head
		revision ident.Revision
		// row and rowRevision are from the last reading of the edit's row.
		row         EditRow
		rowRevision ident.Revision
		// reading is the version of the release that is being read.
		reading ident.Version
		// current is the release of head; base is that of Edit.Base and is used only
		// if the two differ.
		current model.Configuration
		base    model.Configuration
		// next is the release that is being written.
		next    model.Release
		changes []model.Change
		// unsettled is the condition of a Head write whose answer was lost, while
		// that write can still take effect.
		unsettled    ident.Revision
		hasUnsettled bool
		// refusedAt is the Head revision against which this submission judged
		// the refusal that it recorded.
		refusedAt  ident.Revision
		hasRefusal bool
	}
)

// Begin starts the submission.
func (s *Submission) Begin(clock.Millis) Action {
	if !ValidEditID(s.Edit.ID) {
		return s.end(Action{Kind: Refuse, Row: s.refusalRow(nil, "edit id is not 1 to 64 letters, digits, '-', '_' or '.'")})
	}
	return s.readHead()
}

// HeadRead takes the row Head; an absent row is the zero Head with revision 0.
func (s *Submission) HeadRead(now clock.Millis, reply Reply, h Head, revision ident.Revision) Action {
	if s.step != ReadHead {
		return Action{}
	}
	if reply != OK {
		return s.retry(now)
	}
	s.head, s.revision = h, revision
	if v, ok := h.Find(s.Edit.ID); ok {
		return s.accepted(v)
	}
	return s.await(Action{Kind: ReadEdit})
}

// EditRead takes the edit's own row; an absent row has revision 0. The row is
// read after Head: the row of an edit that has left Head.Recent exists already,
// because the submitter of the next release records its predecessor first.
func (s *Submission) EditRead(now clock.Millis, reply Reply, row EditRow, revision ident.Revision) Action {
	if s.step != ReadEdit {
		return Action{}
	}
	if reply != OK {
		return s.retry(now)
	}
	s.row, s.rowRevision = row, revision
	if revision > 0 && row.State == Released {
		return s.accepted(row.Version)
	}
	if s.hasUnsettled && s.unsettled != s.revision {
		s.hasUnsettled = false // Head has moved on without the edit, so that write can no longer succeed
	}
	if revision > 0 && row.State == Refused {
		return s.confirmRefusal()
	}
	if s.Invalid != "" {
		return s.refuse(nil, s.Invalid)
	}
	if s.Edit.Base > s.head.Version {
		return s.refuse(nil, "base version does not exist yet")
	}
	if s.revision == 0 {
		s.current, s.base = model.Configuration{}, model.Configuration{}
		return s.evaluate()
	}
	return s.readRelease(s.head.Version)
}

// ReleaseRead takes the release that was asked for: first that of Head, then
// that of the base unless it is the same or 0.
func (s *Submission) ReleaseRead(now clock.Millis, reply Reply, r model.Release) Action {
	if s.step != ReadRelease {
		return Action{}
	}
	if s.reading != s.head.Version {
		if reply == Missing {
			return s.refuse(nil, "base version does not exist")
		}
		if reply != OK {
			return s.retry(now)
		}
		s.base = r.Configuration
		return s.evaluate()
	}
	if reply != OK {
		return s.retry(now) // Head never names a missing object, so this is a failure of the store
	}
	s.current, s.base = r.Configuration, model.Configuration{}
	if s.Edit.Base != 0 && s.Edit.Base != s.head.Version {
		return s.readRelease(s.Edit.Base)
	}
	return s.evaluate()
}

// evaluate merges the edit with what was released since its base.
func (s *Submission) evaluate() Action {
	if err := s.Edit.Configuration.Validate(); err != nil {
		return s.refuse(nil, err.Error())
	}
	merged := s.Edit.Configuration
	if s.Edit.Base != s.head.Version {
		var clashes []string
		merged, clashes = model.Merge(s.base, s.current, s.Edit.Configuration)
		if len(clashes) > 0 {
			return s.refuse(clashes, "fields were changed since the base version")
		}
	}
	next, err := model.NewRelease(s.head.Version+1, s.Edit.ID, merged)
	if err != nil {
		return s.refuse(nil, "invalid after the merge with the changes since the base version: "+err.Error())
	}
	s.next, s.changes = next, model.Diff(s.current, merged)
	if s.DryRun {
		return s.end(Action{Kind: Plan, Version: next.Version, Release: next, Changes: s.changes})
	}
	return s.await(Action{Kind: PutObject, Object: ObjectName(next.Version, next.Digest), Release: next})
}

// ObjectWritten takes the outcome of PutObject. A lost answer is a failure,
// because the object is put again in any case.
func (s *Submission) ObjectWritten(now clock.Millis, reply Reply) Action {
	if s.step != PutObject {
		return Action{}
	}
	if reply != OK {
		return s.retry(now)
	}
	if s.revision == 0 {
		return s.writeHead()
	}
	return s.await(Action{Kind: RecordHead, Head: s.head})
}

// HeadRecorded takes the outcome of RecordHead.
func (s *Submission) HeadRecorded(now clock.Millis, reply Reply) Action {
	if s.step != RecordHead {
		return Action{}
	}
	if reply != OK {
		return s.retry(now)
	}
	return s.writeHead()
}

// HeadWritten takes the outcome of WriteHead. Only OK is an acceptance; after a
// conflict or a lost answer, Head and the edit's row tell the outcome.
func (s *Submission) HeadWritten(now clock.Millis, reply Reply) Action {
	if s.step != WriteHead {
		return Action{}
	}
	switch reply {
	case OK:
		s.head = s.head.Next(s.next)
		return s.accepted(s.next.Version)
	case Unknown:
		s.unsettled, s.hasUnsettled = s.revision, true
	}
	s.step = None
	return s.retry(now)
}

// Tick ends a Wait whose time has come, and repeats it otherwise.
func (s *Submission) Tick(now clock.Millis) Action {
	if s.step != Wait {
		return Action{}
	}
	if now < s.wakeAt {
		return Action{Kind: Wait, Until: s.wakeAt}
	}
	return s.readHead()
}

// Verdict returns MayHaveRun if a write whose answer was lost may still accept the
// edit, and NotRun otherwise. It is meant for a submission that is abandoned
// before its last action.
func (s *Submission) Verdict() result.Verdict {
	if s.hasUnsettled || s.step == WriteHead {
		return result.MayHaveRun
	}
	return result.NotRun
}

// readHead starts an attempt.
func (s *Submission) readHead() Action {
	s.attempts++
	return s.await(Action{Kind: ReadHead})
}

// readRelease asks for the release with version v.
func (s *Submission) readRelease(v ident.Version) Action {
	s.reading = v
	a := Action{Kind: ReadRelease, Version: v}
	if v == s.head.Version {
		a.Head = s.head
	}
	return s.await(a)
}

// writeHead asks for the conditional write that accepts the edit.
func (s *Submission) writeHead() Action {
	return s.await(Action{
		Kind: WriteHead, Head: s.head.Next(s.next), Revision: s.revision, Release: s.next, Changes: s.changes,
	})
}

// retry waits with exponential back-off and full jitter, or gives up.
func (s *Submission) retry(now clock.Millis) Action {
	limit := s.Attempts
	if limit <= 0 {
		limit = DefaultAttempts
	}
	if s.attempts >= limit {
		return s.end(Action{Kind: GiveUp, Verdict: s.Verdict()})
	}
	bound := retryBaseMillis
	for i := 1; i < s.attempts && bound < retryMaxMillis; i++ {
		bound *= 2
	}
	s.wakeAt = now + clock.Millis(s.Rand.Float64())*min(bound, retryMaxMillis)
	return s.await(Action{Kind: Wait, Until: s.wakeAt})
}

// await makes a the step whose event is awaited.
func (s *Submission) await(a Action) Action {
	s.step = a.Kind
	return a
}

// end makes a the last action.
func (s *Submission) end(a Action) Action {
	s.step = None
	return a
}
