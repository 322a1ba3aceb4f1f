package member

import (
	"math"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/sets"
)

// joinGrowthFactor is the ratio of updates to table size above which a SyncReply is
// part of joining.
const joinGrowthFactor = 2

// Receive handles a message and returns the messages to send. The transport has
// authenticated from; the message itself does not contain its sender.
func (t *Table) Receive(now clock.Millis, from ident.NodeID, m Message) []Action {
	if from == t.self.Node || !m.Valid() {
		return nil
	}
	t.applySummary(m.Receiver)
	t.receivedFrom = from
	// The records that a joining node receives need no forwarding; the other nodes
	// have them already.
	t.noForwarding = m.Kind == SyncReply && len(m.Updates) > joinGrowthFactor*t.Size()
	for _, u := range m.Updates {
		t.apply(now, from, u)
	}
	t.noForwarding, t.receivedFrom = false, ""
	sender := t.members[from]
	if sender != nil {
		sender.heardAt = now
		sender.selfSummary = m.Receiver
		sender.record.Held = max(sender.record.Held, m.Held)
	}
	if t.self.State == Left {
		return nil
	}
	out := t.handle(now, from, m)
	if sender != nil {
		out = append(out, t.compareDigest(now, sender, m)...)
	}
	if t.noticeDue && now >= t.nextNotice {
		out = append(out, t.notify(now)...)
	}
	return out
}

// handle processes a message according to its kind.
func (t *Table) handle(now clock.Millis, from ident.NodeID, m Message) []Action {
	switch m.Kind {
	case Probe:
		return []Action{t.reply(ProbeAck, from, m.Sequence)}
	case ProbeAck:
		return t.handleAck(from, m)
	case IndirectProbe:
		return t.relay(now, from, m)
	case Sync:
		return t.answerSync(now, from, m)
	case SyncReply:
		return t.answerSyncReply(from, m)
	case Notice:
	}
	return nil
}

// reply returns a message to a node that may not be a member; then its address is
// unknown and an open connection must carry the message.
func (t *Table) reply(kind Kind, to ident.NodeID, sequence uint64) Action {
	if m := t.members[to]; m != nil {
		return t.send(kind, m, sequence)
	}
	return Action{To: to, Message: t.message(kind, to, sequence)}
}

// applySummary compares a peer's summary of this node with the node's own record, and
// refutes the summary if it is wrong.
func (t *Table) applySummary(s RecordSummary) {
	t.recordedHeld = max(t.recordedHeld, s.Held)
	t.refute(s.Incarnation, s.Revision, s.State)
}

// refute raises the node's own incarnation above that of a record that this
// incarnation did not create, or that marks the node as Suspect, Dead or Left.
func (t *Table) refute(incarnation ident.Incarnation, revision uint64, state State) {
	if t.self.State == Left || incarnation < t.self.Incarnation {
		return
	}
	foreign := incarnation > t.self.Incarnation || revision > t.self.Revision
	if !foreign && (state == Alive || revision < t.self.Revision) {
		return
	}
	t.changeSelf(func(r *Record) {
		r.Incarnation = incarnation + 1
		r.Revision = 0
	}, "refuted")
}

// apply merges an update from a peer into the table.
func (t *Table) apply(now clock.Millis, from ident.NodeID, u Update) {
	r := u.Record
	if r.Node == t.self.Node {
		t.recordedHeld = max(t.recordedHeld, r.Held)
		t.refute(r.Incarnation, r.Revision, r.State)
		return
	}
	m := t.members[r.Node]
	if m == nil {
		// An unknown node that is Dead or Left is not added.
		if r.live() {
			t.join(now, r, u.Observer)
		} else {
			t.noteUnknown(now, r)
		}
		return
	}
	m.record.Held = max(m.record.Held, r.Held)
	switch {
	case r.State == Dead && m.record.live() && !m.record.Newer(r):
		t.handleDeadReport(now, m, from, r)
	case r.State == Suspect && m.record.State == Suspect && r.sameRevision(m.record):
		t.confirm(m, u.Observer)
	case !r.Newer(m.record):
	case r.State == Suspect:
		t.suspect(now, m, r, u.Observer, "suspected by a peer")
	default:
		t.setRecord(now, m, r, "told by a peer")
		t.enqueue(m.record, "")
	}
}

// join adds a live node that the table does not contain yet.
func (t *Table) join(now clock.Millis, r Record, observer ident.NodeID) {
	m := t.insert(r.Node)
	if m == nil {
		return
	}
	if r.State == Suspect {
		t.suspect(now, m, r, observer, "suspected by a peer")
		return
	}
	t.setRecord(now, m, r, "joined")
	t.enqueue(r, "")
}

// suspect changes a member to Suspect and starts its suspicion timeout.
func (t *Table) suspect(now clock.Millis, m *member, r Record, observer ident.NodeID, reason string) {
	r.State = Suspect
	t.setRecord(now, m, r, reason)
	m.suspectedAt = now
	m.observers = sets.Of(observer)
	m.reportedDead = false
	t.enqueue(m.record, observer)
}

// confirm adds an observer to a suspicion and forwards it.
func (t *Table) confirm(m *member, observer ident.NodeID) {
	if observer == "" || len(m.observers) >= ringCount || !m.observers.Add(observer) {
		return
	}
	t.enqueue(m.record, observer)
}

// handleDeadReport handles a peer's report that a member is Dead. The report counts as
// a confirmed suspicion and not as Dead: after a partition between two regions, each
// lists the other's members as Dead, and these must have time to refute it before their
// own region stops routing to them.
func (t *Table) handleDeadReport(now clock.Millis, m *member, from ident.NodeID, r Record) {
	if m.record.State == Alive || !r.sameRevision(m.record) {
		t.suspect(now, m, r, from, "held for dead by a peer")
	}
	m.reportedDead = true
}

// expire changes suspected members to Dead after their timeout and removes old Dead
// and Left records.
func (t *Table) expire(now clock.Millis) {
	var expired []ident.NodeID
	for _, m := range t.ordered {
		switch {
		case m.record.State == Suspect && now-m.suspectedAt >= t.suspicionTimeout(m):
			r := m.record
			r.State = Dead
			t.setRecord(now, m, r, "suspicion not refuted")
			t.enqueue(r, "")
		case !m.record.live() && now-m.downSince >= t.config.DeadMillis:
			expired = append(expired, m.record.Node)
		}
	}
	for _, n := range expired {
		t.remove(n)
	}
}

// suspicionTimeout returns the time from Suspect to Dead. It falls from the maximum to
// the minimum with the logarithm of the number of independent observers, and is the
// minimum at once if a peer reported the member as Dead.
func (t *Table) suspicionTimeout(m *member) clock.Millis {
	possible := min(ringCount, len(t.members)) - 1
	further := min(len(m.observers)-1, possible)
	if m.reportedDead || possible <= 0 {
		return t.config.SuspectMinMillis
	}
	share := math.Log2(float64(further+1)) / math.Log2(float64(possible+1))
	return t.config.SuspectMaxMillis - clock.Millis(share)*(t.config.SuspectMaxMillis-t.config.SuspectMinMillis)
}
