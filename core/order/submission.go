package order

import (
	"math/rand/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
)

const (
	// DefaultAttempts is used if Submission.Attempts is 0. With the delays below, a
	// submission gives up after about 15 s.
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
	// Unknown means that the response to a write was lost, so it may have taken effect
	// or may still do so.
	Unknown
	// Failed means that the call certainly had no effect.
	Failed
	// Missing means that the row or object to read does not exist.
	Missing
)

const (
	// None requests nothing: the reported event does not match the current step.
	None ActionKind = iota
	// ReadHead requests a strong read of the row Head.
	ReadHead
	// ReadEdit requests a strong read of the edit's row.
	ReadEdit
	// ReadRelease requests the release with Version. Its object is named by Head if it
	// is the newest release, and by the row History/<Version> otherwise.
	ReadRelease
	// PutObject requests that Release is stored under the name Object.
	PutObject
	// RecordHead requests that the edit and history rows of Head's release are created
	// unless they exist.
	RecordHead
	// WriteHead requests a write of Head on condition that the row has Revision.
	WriteHead
	// RecordRefusal requests a write of Row on condition that the edit's row has
	// Revision.
	RecordRefusal
	// FenceHead requests a write of the unchanged Head on condition that the row has
	// Revision, so that every other write that depends on this or an older revision
	// fails.
	FenceHead
	// Wait requests a call of Tick at Until.
	Wait
	// Accept ends the submission: the edit was accepted as Version.
	Accept
	// Refuse ends the submission: Row contains the conflicting fields and the reason.
	Refuse
	// Plan ends a dry run: Release and Changes are those that would be accepted.
	Plan
	// GiveUp ends the submission without an outcome; Verdict is MayHaveRun if a write
	// whose response was lost may still accept the edit.
	GiveUp
)

type (
	// Reply is the result of a call to the store.
	Reply uint8

	// ActionKind indicates what an Action requests.
	ActionKind uint8

	// Action is the next step for the driver of a Submission. Fields that the comment
	// on its Kind does not mention are unset.
	Action struct {
		Kind     ActionKind
		Version  ident.Version
		Object   string
		Release  model.Release
		Head     Head
		Revision ident.Revision
		Row      EditRow
		// Changes are the fields that differ between Release and its predecessor.
		Changes []model.Change
		Until   clock.Millis
		Verdict result.Verdict
	}

	// Submission is the state machine that gets one edit accepted or refused. Each event
	// method returns one action, and the driver reports the result of that action by the
	// event method of the same name. It is for one use by one goroutine.
	Submission struct {
		Edit Edit
		// InvalidReason, if set, is the reason for which the edit is refused, unless it
		// already has an outcome.
		InvalidReason string
		// DryRun makes the submission end with Plan or Refuse without any write.
		DryRun bool
		// Attempts bounds the reads of Head; 0 means DefaultAttempts.
		Attempts int
		// Rand provides the jitter of the retry delays.
		Rand *rand.Rand

		// step is the kind of the action whose result is awaited.
		step ActionKind
		// attempts counts the reads of Head.
		attempts int
		// retryAt is the end of the current Wait.
		retryAt clock.Millis

		// head and revision are from the last read of Head; a zero revision means that
		// there is no release yet.
		head     Head
		revision ident.Revision
		// row and rowRevision are from the last read of the edit's row.
		row         EditRow
		rowRevision ident.Revision
		// readingVersion is the version of the release that ReadRelease has requested.
		readingVersion ident.Version
		// current is the configuration of head's release. base is that of Edit.Base and
		// is used only if the two versions differ.
		current model.Configuration
		base    model.Configuration
		// next is the release to be accepted, and changes are its differences from
		// current.
		next    model.Release
		changes []model.Change
		// uncertainRevision is the condition of a Head write whose response was lost.
		// hasUncertainWrite is set while that write can still take effect.
		uncertainRevision ident.Revision
		hasUncertainWrite bool
		// refusalRevision is the Head revision against which the edit was evaluated for
		// the refusal that this submission recorded. hasRefusal is set once it was.
		refusalRevision ident.Revision
		hasRefusal      bool
	}
)

// Begin starts the submission.
func (s *Submission) Begin(clock.Millis) Action {
	if !ValidEditID(s.Edit.ID) {
		return s.finish(Action{Kind: Refuse, Row: s.refusalRow(nil, "edit id is not 1 to 64 letters, digits, '-', '_' or '.'")})
	}
	return s.readHead()
}

// HeadRead handles the result of ReadHead; an absent row is the zero Head with
// revision 0.
func (s *Submission) HeadRead(now clock.Millis, reply Reply, h Head, revision ident.Revision) Action {
	if s.step != ReadHead {
		return Action{}
	}
	if reply != OK {
		return s.retry(now)
	}
	s.head, s.revision = h, revision
	if v, ok := h.Find(s.Edit.ID); ok {
		return s.accept(v)
	}
	return s.await(Action{Kind: ReadEdit})
}

// EditRead handles the result of ReadEdit; an absent row has revision 0. The row is read
// after Head: if the edit was accepted but is no longer in Head.Recent, its row exists,
// because the submitter of each release first records the preceding one.
func (s *Submission) EditRead(now clock.Millis, reply Reply, row EditRow, revision ident.Revision) Action {
	if s.step != ReadEdit {
		return Action{}
	}
	if reply != OK {
		return s.retry(now)
	}
	s.row, s.rowRevision = row, revision
	if revision > 0 && row.State == Released {
		return s.accept(row.Version)
	}
	if s.hasUncertainWrite && s.uncertainRevision != s.revision {
		s.hasUncertainWrite = false // Head was changed by another write, so that write can no longer succeed
	}
	if revision > 0 && row.State == Refused {
		return s.confirmRefusal()
	}
	if s.InvalidReason != "" {
		return s.refuse(nil, s.InvalidReason)
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

// ReleaseRead handles the result of ReadRelease: first for the release of Head, then for
// that of the base version unless it is the same or 0.
func (s *Submission) ReleaseRead(now clock.Millis, reply Reply, r model.Release) Action {
	if s.step != ReadRelease {
		return Action{}
	}
	if s.readingVersion != s.head.Version {
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
		return s.retry(now) // the object that Head names always exists, so any other reply is a store failure
	}
	s.current, s.base = r.Configuration, model.Configuration{}
	if s.Edit.Base != 0 && s.Edit.Base != s.head.Version {
		return s.readRelease(s.Edit.Base)
	}
	return s.evaluate()
}

// evaluate merges the edit with the changes released since its base version, and refuses
// it if they conflict or the result is invalid.
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
		return s.finish(Action{Kind: Plan, Version: next.Version, Release: next, Changes: s.changes})
	}
	return s.await(Action{Kind: PutObject, Object: ObjectName(next.Version, next.Digest), Release: next})
}

// ObjectWritten handles the result of PutObject. A lost response counts as a failure,
// because the retry writes the object again in any case.
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

// HeadRecorded handles the result of RecordHead.
func (s *Submission) HeadRecorded(now clock.Millis, reply Reply) Action {
	if s.step != RecordHead {
		return Action{}
	}
	if reply != OK {
		return s.retry(now)
	}
	return s.writeHead()
}

// HeadWritten handles the result of WriteHead. Only OK means that the edit was accepted;
// after a conflict or a lost response, the outcome is determined by reading Head and the
// edit's row.
func (s *Submission) HeadWritten(now clock.Millis, reply Reply) Action {
	if s.step != WriteHead {
		return Action{}
	}
	switch reply {
	case OK:
		s.head = s.head.Next(s.next)
		return s.accept(s.next.Version)
	case Unknown:
		s.uncertainRevision, s.hasUncertainWrite = s.revision, true
	}
	s.step = None
	return s.retry(now)
}

// Tick starts the next attempt once a Wait is over, and returns the same Wait before.
func (s *Submission) Tick(now clock.Millis) Action {
	if s.step != Wait {
		return Action{}
	}
	if now < s.retryAt {
		return Action{Kind: Wait, Until: s.retryAt}
	}
	return s.readHead()
}

// Verdict returns MayHaveRun if a write that is pending or whose response was lost may
// still accept the edit, and NotRun otherwise. It is for a submission that is abandoned
// before its last action.
func (s *Submission) Verdict() result.Verdict {
	if s.hasUncertainWrite || s.step == WriteHead {
		return result.MayHaveRun
	}
	return result.NotRun
}

// readHead starts an attempt with a read of Head.
func (s *Submission) readHead() Action {
	s.attempts++
	return s.await(Action{Kind: ReadHead})
}

// readRelease requests the release with version v.
func (s *Submission) readRelease(v ident.Version) Action {
	s.readingVersion = v
	a := Action{Kind: ReadRelease, Version: v}
	if v == s.head.Version {
		a.Head = s.head
	}
	return s.await(a)
}

// writeHead requests the conditional write that accepts the edit.
func (s *Submission) writeHead() Action {
	return s.await(Action{
		Kind: WriteHead, Head: s.head.Next(s.next), Revision: s.revision, Release: s.next, Changes: s.changes,
	})
}

// retry waits with exponential backoff and full jitter, or gives up after the last
// attempt.
func (s *Submission) retry(now clock.Millis) Action {
	limit := s.Attempts
	if limit <= 0 {
		limit = DefaultAttempts
	}
	if s.attempts >= limit {
		return s.finish(Action{Kind: GiveUp, Verdict: s.Verdict()})
	}
	bound := retryBaseMillis
	for i := 1; i < s.attempts && bound < retryMaxMillis; i++ {
		bound *= 2
	}
	s.retryAt = now + clock.Millis(s.Rand.Float64())*min(bound, retryMaxMillis)
	return s.await(Action{Kind: Wait, Until: s.retryAt})
}

// await returns a and records it as the step whose result is awaited.
func (s *Submission) await(a Action) Action {
	s.step = a.Kind
	return a
}

// finish returns a as the last action.
func (s *Submission) finish(a Action) Action {
	s.step = None
	return a
}
