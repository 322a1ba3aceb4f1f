package member

import (
	"math"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/sets"
)

// quietFactor is the growth of the table from which a SyncReply counts as joining.
const quietFactor = 2

// Receive handles a message. The transport has verified from; the content of the
// message does not name its sender.
func (t *Table) Receive(now clock.Millis, from ident.NodeID, m Message) []Action {
	if from == t.self.Node || !m.Valid() {
		return nil
	}
	t.learnKnown(m.Known)
	t.receivedFrom = from
	// A node that has just joined learns the fleet and need not tell it.
	t.quiet = m.Kind == SyncReply && len(m.Updates) > quietFactor*t.Size()
	for _, u := range m.Updates {
		t.apply(now, from, u)
	}
	t.quiet, t.receivedFrom = false, ""
	sender := t.members[from]
	if sender != nil {
		sender.knows = m.Known
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

// handle answers a message by its kind.
func (t *Table) handle(now clock.Millis, from ident.NodeID, m Message) []Action {
	switch m.Kind {
	case Probe:
		return []Action{t.reply(ProbeAck, from, m.Sequence)}
	case ProbeAck:
		return t.acknowledged(from, m)
	case IndirectProbe:
		return t.relay(now, from, m)
	case Sync:
		return t.answerSync(now, from, m)
	case SyncReply:
		return t.completeSync(from, m)
	case Notice:
	}
	return nil
}

// reply returns a message to a node that may be unknown; then an open connection
// must carry it.
func (t *Table) reply(kind Kind, to ident.NodeID, sequence uint64) Action {
	if m := t.members[to]; m != nil {
		return t.send(kind, m, sequence)
	}
	return Action{To: to, Message: t.message(kind, to, sequence)}
}

// learnKnown compares what a peer knows of the node itself with the truth.
func (t *Table) learnKnown(k Known) {
	t.recordedHeld = max(t.recordedHeld, k.Held)
	t.refute(k.Incarnation, k.Change, k.State)
}

// refute raises the own incarnation above a record that the node did not make in
// this life, or that holds it for suspect, dead or left.
func (t *Table) refute(incarnation ident.Incarnation, change uint64, state State) {
	if t.self.State == Left || incarnation < t.self.Incarnation {
		return
	}
	foreign := incarnation > t.self.Incarnation || change > t.self.Change
	if !foreign && (state == Alive || change < t.self.Change) {
		return
	}
	t.changeSelf(func(r *Record) {
		r.Incarnation = incarnation + 1
		r.Change = 0
	}, "refuted")
}

// apply merges an update of a peer into the table.
func (t *Table) apply(now clock.Millis, from ident.NodeID, u Update) {
	r := u.Record
	if r.Node == t.self.Node {
		t.recordedHeld = max(t.recordedHeld, r.Held)
		t.refute(r.Incarnation, r.Change, r.State)
		return
	}
	m := t.members[r.Node]
	if m == nil {
		// A death of an unknown node changes nothing.
		if r.live() {
			t.adopt(now, r, u.Observer)
		}
		return
	}
	m.record.Held = max(m.record.Held, r.Held)
	switch {
	case r.State == Dead && m.record.live() && !m.record.Newer(r):
		t.claimDead(now, m, from, r)
	case r.State == Suspect && m.record.State == Suspect && r.sameLife(m.record):
		t.confirm(m, u.Observer)
	case !r.Newer(m.record):
	case r.State == Suspect:
		t.suspect(now, m, r, u.Observer, "suspected by a peer")
	default:
		t.set(now, m, r, "told by a peer")
		t.enqueue(m.record, "")
	}
}

// adopt adds an unknown live node.
func (t *Table) adopt(now clock.Millis, r Record, observer ident.NodeID) {
	m := t.insert(r.Node)
	if m == nil {
		return
	}
	if r.State == Suspect {
		t.suspect(now, m, r, observer, "suspected by a peer")
		return
	}
	t.set(now, m, r, "joined")
	t.enqueue(r, "")
}

// suspect makes a member Suspect and starts its timeout.
func (t *Table) suspect(now clock.Millis, m *member, r Record, observer ident.NodeID, reason string) {
	r.State = Suspect
	t.set(now, m, r, reason)
	m.suspectedAt = now
	m.observers = sets.Of(observer)
	m.claimedDead = false
	t.enqueue(m.record, observer)
}

// confirm counts a further observer of a suspicion.
func (t *Table) confirm(m *member, observer ident.NodeID) {
	if observer == "" || len(m.observers) >= ringCount || !m.observers.Add(observer) {
		return
	}
	t.enqueue(m.record, observer)
}

// claimDead handles a peer's claim that a member is dead. The claim counts as a
// confirmed suspicion and not as a death: two regions that meet again hold each
// other's members for dead, and those must have time to refute it before their
// own region stops routing to them.
func (t *Table) claimDead(now clock.Millis, m *member, from ident.NodeID, r Record) {
	if m.record.State == Alive || !r.sameLife(m.record) {
		t.suspect(now, m, r, from, "held for dead by a peer")
	}
	m.claimedDead = true
}

// expire declares suspects dead after their timeout and forgets old dead records.
func (t *Table) expire(now clock.Millis) {
	var forgotten []ident.NodeID
	for _, m := range t.ordered {
		switch {
		case m.record.State == Suspect && now-m.suspectedAt >= t.suspicion(m):
			r := m.record
			r.State = Dead
			t.set(now, m, r, "suspicion not refuted")
			t.enqueue(r, "")
		case !m.record.live() && now-m.diedAt >= t.config.DeadMillis:
			forgotten = append(forgotten, m.record.Node)
		}
	}
	for _, n := range forgotten {
		t.forget(n)
	}
}

// suspicion returns the time from Suspect to Dead. It shrinks from the maximum to
// the minimum as the logarithm of the number of independent observers.
func (t *Table) suspicion(m *member) clock.Millis {
	possible := min(ringCount, len(t.members)) - 1
	further := min(len(m.observers)-1, possible)
	if m.claimedDead || possible <= 0 {
		return t.config.SuspectMinMillis
	}
	share := math.Log2(float64(further+1)) / math.Log2(float64(possible+1))
	return t.config.SuspectMaxMillis - clock.Millis(share)*(t.config.SuspectMaxMillis-t.config.SuspectMinMillis)
}
