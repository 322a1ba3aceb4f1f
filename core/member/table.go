package member

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/sets"
)

type (
	// Table is the membership of the overlay as one node sees it. It is a state
	// machine for one goroutine: events and times go in, messages come out. Tick
	// is expected about every 100 ms.
	Table struct {
		config Config
		random *rand.Rand
		// OnChange, if set, is told of each change of a member's state or target
		// state with its reason. The earlier record of a new member is empty.
		OnChange func(earlier, later Record, reason string)

		// self is the node's own record; it is not in members.
		self    Record
		members map[ident.NodeID]*member
		// ordered holds the values of members in order of node.
		ordered []*member
		// digest is the exclusive or of the hashes of all live records.
		digest   uint64
		sequence uint64
		// recordedHeld is the highest version that peers had recorded for the
		// node itself.
		recordedHeld ident.Version

		rings rings
		// queue holds the updates that are still to be forwarded, one per node.
		queue map[ident.NodeID]*queued
		// quiet is set while updates are merged that need no forwarding.
		quiet bool
		// receivedFrom is the sender of the message that is being merged, or
		// empty. It has the message's updates already.
		receivedFrom ident.NodeID
		// probes holds the probes without an answer, one per neighbour.
		probes map[ident.NodeID]*probe
		// relays holds the probes sent for others, by their sequence.
		relays    map[uint64]relay
		lastProbe uint64
		nextProbe [ringCount]clock.Millis
		lastTick  clock.Millis
		nextRetry clock.Millis
		nextSeed  clock.Millis
		// joinUntil is the end of the time in which several seeds are tried at once.
		joinUntil  clock.Millis
		nextSync   clock.Millis
		nextNotice clock.Millis
		// noticeDue is set while neighbours have not been told of a change of the
		// own record.
		noticeDue bool
		// repliesLeft is the number of syncs that may be answered until repliesAt.
		repliesLeft int
		repliesAt   clock.Millis
	}

	// member is a record with what the node itself knows about it.
	member struct {
		node ident.NodeID
		// record is empty until the member is set for the first time.
		record Record
		// hashes are the member's positions on the rings.
		hashes [ringCount]uint64
		// contribution is the part of the table's digest; 0 unless it is live.
		contribution uint64
		// suspectedAt and observers belong to the current suspicion.
		suspectedAt clock.Millis
		observers   sets.Set[ident.NodeID]
		// claimedDead is set if a peer holds the suspect for dead.
		claimedDead bool
		// diedAt is when the record became Dead or Left.
		diedAt clock.Millis
		// knows is what the member knows of the node itself.
		knows Known
		// differsSince is when the member's digest began to differ, or 0.
		differsSince clock.Millis
	}
)

// New returns a table with the node's own record, whose incarnation is the wall
// clock in milliseconds.
func New(self Record, config Config, random *rand.Rand) *Table {
	t := &Table{
		config: config, random: random, self: self,
		members: make(map[ident.NodeID]*member),
		queue:   make(map[ident.NodeID]*queued),
		probes:  make(map[ident.NodeID]*probe),
		relays:  make(map[uint64]relay),
	}
	t.self.State = Alive
	// An answer to an earlier life must not match a probe of this one.
	t.lastProbe = uint64(random.Uint32())
	t.digest = contribution(t.self)
	t.rings.place(t.self.Node)
	t.enqueue(t.self, "")
	return t
}

// Self returns the node's own record.
func (t *Table) Self() Record {
	return t.self
}

// Records returns all records with the node's own, in order of node.
func (t *Table) Records() []Record {
	out := make([]Record, 0, len(t.ordered)+1)
	for _, m := range t.ordered {
		out = append(out, m.record)
	}
	at, _ := slices.BinarySearchFunc(out, t.self.Node, func(r Record, n ident.NodeID) int { return cmp.Compare(r.Node, n) })
	return slices.Insert(out, at, t.self)
}

// Record returns the record of a node.
func (t *Table) Record(n ident.NodeID) (Record, bool) {
	if n == t.self.Node {
		return t.self, true
	}
	m, ok := t.members[n]
	if !ok {
		return Record{}, false
	}
	return m.record, true
}

// Sequence changes exactly when a routable fact of some record changes.
func (t *Table) Sequence() uint64 {
	return t.sequence
}

// Size returns the number of live nodes with the node itself.
func (t *Table) Size() int {
	n := 1
	for _, m := range t.ordered {
		if m.record.live() {
			n++
		}
	}
	return n
}

// RecordedHeld returns the highest version that peers' records kept for this
// slot, possibly from before a restart.
func (t *Table) RecordedHeld() ident.Version {
	return t.recordedHeld
}

// SetTarget changes the state of the node's target and returns messages that tell
// the neighbours at once.
func (t *Table) SetTarget(now clock.Millis, service ident.ServiceName, target ident.TargetID, state TargetState) []Action {
	if t.self.Service == service && t.self.Target == target && t.self.TargetState == state {
		return nil
	}
	t.changeSelf(func(r *Record) {
		r.Service, r.Target, r.TargetState = service, target, state
		r.Change++
	}, "target changed")
	return t.notify(now)
}

// SetGate changes the life of the node's admission gate.
func (t *Table) SetGate(now clock.Millis, gate ident.Incarnation) []Action {
	if t.self.GateIncarnation == gate {
		return nil
	}
	t.changeSelf(func(r *Record) {
		r.GateIncarnation = gate
		r.Change++
	}, "gate restarted")
	return t.notify(now)
}

// SetHeld records the release version that the node has put in force. It is never
// lowered.
func (t *Table) SetHeld(held ident.Version) {
	t.self.Held = max(t.self.Held, held)
}

// Leave marks the node as stopped by its own decision and returns messages that
// tell the neighbours. The table sends nothing afterwards.
func (t *Table) Leave(now clock.Millis) []Action {
	if t.self.State == Left {
		return nil
	}
	t.changeSelf(func(r *Record) {
		r.State = Left
		r.Change++
	}, "left")
	t.nextNotice = 0
	return t.notify(now)
}

// changeSelf changes the own record and queues it.
func (t *Table) changeSelf(change func(*Record), reason string) {
	earlier := t.self
	change(&t.self)
	t.digest ^= contribution(earlier) ^ contribution(t.self)
	t.noteChange(earlier, t.self, reason)
	t.enqueue(t.self, "")
	t.noticeDue = true
}

// noteChange counts a routable change and reports a change of state.
func (t *Table) noteChange(earlier, later Record, reason string) {
	if earlier.routableFacts() != later.routableFacts() {
		t.sequence++
	}
	if t.OnChange != nil && (earlier.Node == "" || earlier.State != later.State || earlier.TargetState != later.TargetState) {
		t.OnChange(earlier, later, reason)
	}
}

// set stores a record of another node.
func (t *Table) set(now clock.Millis, m *member, r Record, reason string) {
	earlier := m.record
	r.Held = max(r.Held, earlier.Held)
	m.record = r
	t.digest ^= m.contribution
	m.contribution = contribution(r)
	t.digest ^= m.contribution
	if earlier.live() != r.live() || earlier.Node == "" {
		t.rings.dirty = true
	}
	if !r.live() {
		m.diedAt = now
	}
	if !r.live() || r.Incarnation != earlier.Incarnation {
		// The earlier life cannot answer.
		delete(t.probes, r.Node)
	}
	if r.State != Suspect {
		m.observers, m.claimedDead = nil, false
	}
	t.noteChange(earlier, r, reason)
}

// insert adds a member; it returns nil if the table is full.
func (t *Table) insert(n ident.NodeID) *member {
	if len(t.members) >= t.config.MaxMembers {
		return nil
	}
	m := &member{node: n, hashes: hashesOf(n)}
	t.members[n] = m
	at, _ := slices.BinarySearchFunc(t.ordered, n, compareMember)
	t.ordered = slices.Insert(t.ordered, at, m)
	return m
}

// forget removes a member.
func (t *Table) forget(n ident.NodeID) {
	at, ok := slices.BinarySearchFunc(t.ordered, n, compareMember)
	if !ok {
		return
	}
	t.digest ^= t.ordered[at].contribution
	t.ordered = slices.Delete(t.ordered, at, at+1)
	delete(t.members, n)
	delete(t.queue, n)
}

// compareMember orders a member and a node.
func compareMember(m *member, n ident.NodeID) int {
	return cmp.Compare(m.node, n)
}

// contribution returns a live record's part of the table's digest. Suspect counts
// as Alive, because it is settled soon in one way or the other; dead records do
// not count, because nodes forget them at different times.
func contribution(r Record) uint64 {
	if !r.live() {
		return 0
	}
	var buffer [128]byte
	b := append(buffer[:0], r.Node...)
	b = binary.BigEndian.AppendUint64(b, uint64(r.Incarnation))
	b = binary.BigEndian.AppendUint64(b, r.Change)
	return xxhash.Sum64(b)
}
