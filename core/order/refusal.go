package order

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// RefusalRecorded handles the result of RecordRefusal. Head is read again, because a
// release may have been accepted after the edit was evaluated and before the refusal
// was recorded.
func (s *Submission) RefusalRecorded(now clock.Millis, reply Reply) Action {
	if s.step != RecordRefusal {
		return Action{}
	}
	if reply != OK {
		return s.retry(now)
	}
	s.hasRefusal, s.refusalRevision = true, s.revision
	return s.readHead()
}

// confirmRefusal makes a recorded refusal final. Another submitter of the same edit may
// have read the edit's row before the refusal was recorded, and may then accept the
// edit against a head with which it does not conflict. This is impossible if Head is
// still the one against which the edit was refused; otherwise Head is fenced by a write
// that gives it a new revision.
func (s *Submission) confirmRefusal() Action {
	headUnchanged := s.hasRefusal && s.refusalRevision == s.revision
	if headUnchanged || s.revision == 0 || s.DryRun {
		return s.finish(Action{Kind: Refuse, Row: s.row})
	}
	return s.await(Action{Kind: FenceHead, Head: s.head, Revision: s.revision})
}

// HeadFenced handles the result of FenceHead.
func (s *Submission) HeadFenced(now clock.Millis, reply Reply) Action {
	if s.step != FenceHead {
		return Action{}
	}
	if reply != OK {
		return s.retry(now)
	}
	return s.finish(Action{Kind: Refuse, Row: s.row})
}

// accept ends the submission with the version of the accepted edit.
func (s *Submission) accept(v ident.Version) Action {
	a := Action{Kind: Accept, Version: v}
	if s.head.Version == v {
		a.Head = s.head
	}
	if s.next.Version == v {
		a.Release, a.Changes = s.next, s.changes
	}
	return s.finish(a)
}

// refuse requests that the refusal is recorded; a dry run ends without recording it.
func (s *Submission) refuse(clashes []string, reason string) Action {
	row := s.refusalRow(clashes, reason)
	if s.DryRun {
		return s.finish(Action{Kind: Refuse, Row: row})
	}
	return s.await(Action{Kind: RecordRefusal, Row: row, Revision: s.rowRevision})
}

// refusalRow returns the row that records the edit as refused.
func (s *Submission) refusalRow(clashes []string, reason string) EditRow {
	return EditRow{State: Refused, Base: s.Edit.Base, Operator: s.Edit.Operator, Clashes: clashes, Reason: reason}
}
