package order

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// RefusalRecorded takes the outcome of RecordRefusal. Head is read again, because
// a release may have come between the judgement and the record.
func (s *Submission) RefusalRecorded(now clock.Millis, reply Reply) Action {
	if s.step != RecordRefusal {
		return Action{}
	}
	if reply != OK {
		return s.retry(now)
	}
	s.hasRefusal, s.refusedAt = true, s.revision
	return s.readHead()
}

// confirmRefusal makes a recorded refusal final. Another submitter of the same
// edit may have read the edit's row before the refusal was recorded, and may
// accept the edit against a head that it does not clash with. It cannot if Head
// is still the one that was judged; otherwise Head is fenced.
func (s *Submission) confirmRefusal() Action {
	judged := s.hasRefusal && s.refusedAt == s.revision
	if judged || s.revision == 0 || s.DryRun {
		return s.end(Action{Kind: Refuse, Row: s.row})
	}
	return s.await(Action{Kind: FenceHead, Head: s.head, Revision: s.revision})
}

// HeadFenced takes the outcome of FenceHead.
func (s *Submission) HeadFenced(now clock.Millis, reply Reply) Action {
	if s.step != FenceHead {
		return Action{}
	}
	if reply != OK {
		return s.retry(now)
	}
	return s.end(Action{Kind: Refuse, Row: s.row})
}

// accepted ends the submission with a version.
func (s *Submission) accepted(v ident.Version) Action {
	a := Action{Kind: Accept, Version: v}
	if s.head.Version == v {
		a.Head = s.head
	}
	if s.next.Version == v {
		a.Release, a.Changes = s.next, s.changes
	}
	return s.end(a)
}

// refuse records a refusal. A dry run writes nothing and ends here.
func (s *Submission) refuse(clashes []string, reason string) Action {
	row := s.refusalRow(clashes, reason)
	if s.DryRun {
		return s.end(Action{Kind: Refuse, Row: row})
	}
	return s.await(Action{Kind: RecordRefusal, Row: row, Revision: s.rowRevision})
}

// refusalRow returns the row of a refused edit.
func (s *Submission) refusalRow(clashes []string, reason string) EditRow {
	return EditRow{State: Refused, Base: s.Edit.Base, Operator: s.Edit.Operator, Clashes: clashes, Reason: reason}
}
