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
	// Table is one node's copy of the overlay's membership. It is a state machine for
	// one goroutine: its methods accept events and the current time and return the
	// messages to send. Tick has to be called about every 100 ms.
	Table struct {
		config Config
		random *rand.Rand
		// OnChange, if set, is called with the reason for each change of a member's
		// state or target state. The earlier record of a new member is empty.
		OnChange func(earlier, later Record, reason string)

		// self is the node's own record; it is not in members.
		self    Record
		members map[ident.NodeID]*member
		// ordered holds the values of members in order of node id.
		ordered []*member
		// digest is the exclusive or of the hashes of all live records.
		digest uint64
		// sequence counts the changes of routing fields.
		sequence uint64
		// recordedHeld is the highest release version in peers' records of this
		// node.
		recordedHeld ident.Version

		rings rings
		// queue holds the updates to be forwarded, at most one per node.
		queue map[ident.NodeID]*queuedUpdate
		// noForwarding is set while updates that need no forwarding are merged.
		noForwarding bool
		// receivedFrom is the sender of the message whose updates are being merged,
		// or empty. The updates are not forwarded to it.
		receivedFrom ident.NodeID
		// probes holds the unanswered probes, at most one per member.
		probes map[ident.NodeID]*probe
		// relays holds the probes sent on behalf of other nodes, by their sequence.
		relays map[uint64]relay
		// lastProbe is the sequence of the last probe or relay.
		lastProbe uint64
		// nextProbe holds the time of the next probe on each ring.
		nextProbe [ringCount]clock.Millis
		lastTick  clock.Millis
		nextRetry clock.Millis
		nextSeed  clock.Millis
		// joinedAt is the time of the first AddSeeds; 0 before it.
		joinedAt clock.Millis
		// unheardSeeds is the number of seeds of which the node has not heard. It is
		// counted again if unheardStale is set.
		unheardSeeds int
		unheardStale bool
		// reportedDead holds the nodes that have no record here and that peers have
		// reported as Dead, with the time of the first report.
		reportedDead map[ident.NodeID]clock.Millis
		// startedAs is the incarnation with which the node has started.
		startedAs ident.Incarnation
		// joinUntil is the end of the period in which several seeds are contacted at
		// once.
		joinUntil  clock.Millis
		nextSync   clock.Millis
		nextNotice clock.Millis
		// noticeDue is set if the node's own record has changed since the last notice.
		noticeDue bool
		// repliesLeft is the number of syncs that may be answered before
		// repliesResetAt.
		repliesLeft    int
		repliesResetAt clock.Millis
	}

	// member is the record of another node, together with local state about it.
	member struct {
		node ident.NodeID
		// record is empty until the first call of setRecord.
		record Record
		// positions are the member's positions on the rings.
		positions [ringCount]uint64
		// contribution is the member's part of the table's digest; 0 unless it is
		// live.
		contribution uint64
		// suspectedAt and observers are the start of the current suspicion and the
		// nodes that reported it.
		suspectedAt clock.Millis
		observers   sets.Set[ident.NodeID]
		// reportedDead is set if a peer reported the suspected member as Dead.
		reportedDead bool
		// heardAt is when the member last sent a message.
		heardAt clock.Millis
		// downSince is the time at which the record became Dead or Left.
		downSince clock.Millis
		// selfSummary is the member's last summary of its record of this node.
		selfSummary RecordSummary
		// digestDiffersSince is the time since which the member's digest differs
		// from the table's, or 0.
		digestDiffersSince clock.Millis
	}
)

// New returns a table with the node's own record, whose incarnation is the wall
// clock in milliseconds.
func New(self Record, config Config, random *rand.Rand) *Table {
	t := &Table{
		config: config, random: random, self: self,
		members: make(map[ident.NodeID]*member),
		queue:   make(map[ident.NodeID]*queuedUpdate),
		probes:  make(map[ident.NodeID]*probe),
		relays:  make(map[uint64]relay),

		reportedDead: make(map[ident.NodeID]clock.Millis),
	}
	t.self.State = Alive
	t.startedAs = self.Incarnation
	// A random start, so that a late answer to an earlier incarnation does not match
	// a probe of this one.
	t.lastProbe = uint64(random.Uint32())
	t.digest = contribution(t.self)
	t.rings.setNode(t.self.Node)
	t.enqueue(t.self, "")
	return t
}

// Self returns the node's own record.
func (t *Table) Self() Record {
	return t.self
}

// Records returns all records, including the node's own, in order of node id.
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

// Sequence returns a counter that increases exactly when a field that affects
// routing changes in some record.
func (t *Table) Sequence() uint64 {
	return t.sequence
}

// Size returns the number of live nodes, including the node itself.
func (t *Table) Size() int {
	n := 1
	for _, m := range t.ordered {
		if m.record.live() {
			n++
		}
	}
	return n
}

// RecordedHeld returns the highest release version in peers' records of this node,
// which may date from before a restart.
func (t *Table) RecordedHeld() ident.Version {
	return t.recordedHeld
}

// SetTarget changes the state of the node's target and returns the messages that
// send the change to the neighbours.
func (t *Table) SetTarget(now clock.Millis, service ident.ServiceName, target ident.TargetID, state TargetState) []Action {
	if t.self.Service == service && t.self.Target == target && t.self.TargetState == state {
		return nil
	}
	t.changeSelf(func(r *Record) {
		r.Service, r.Target, r.TargetState = service, target, state
		r.Revision++
	}, "target changed")
	return t.notify(now)
}

// SetSoftware changes the software version in the node's record, where empty means none,
// and returns the messages that send the change to the neighbours.
func (t *Table) SetSoftware(now clock.Millis, v ident.SoftwareVersion) []Action {
	if t.self.Software == v {
		return nil
	}
	t.changeSelf(func(r *Record) {
		r.Software = v
		r.Revision++
	}, "software version changed")
	return t.notify(now)
}

// SetGateIncarnation changes the incarnation of the node's admission gate and returns
// the messages that send the change to the neighbours.
func (t *Table) SetGateIncarnation(now clock.Millis, gate ident.Incarnation) []Action {
	if t.self.GateIncarnation == gate {
		return nil
	}
	t.changeSelf(func(r *Record) {
		r.GateIncarnation = gate
		r.Revision++
	}, "gate restarted")
	return t.notify(now)
}

// SetHeld records the release version that the node has put in force. It never
// lowers the recorded version.
func (t *Table) SetHeld(held ident.Version) {
	t.self.Held = max(t.self.Held, held)
}

// Leave marks the node as Left and returns the messages that send the change to the
// neighbours. The table sends nothing afterwards.
func (t *Table) Leave(now clock.Millis) []Action {
	if t.self.State == Left {
		return nil
	}
	t.changeSelf(func(r *Record) {
		r.State = Left
		r.Revision++
	}, "left")
	t.nextNotice = 0
	return t.notify(now)
}

// changeSelf changes the node's own record and queues it for forwarding.
func (t *Table) changeSelf(change func(*Record), reason string) {
	earlier := t.self
	change(&t.self)
	t.digest ^= contribution(earlier) ^ contribution(t.self)
	t.recordChange(earlier, t.self, reason)
	t.enqueue(t.self, "")
	t.noticeDue = true
}

// recordChange counts a change of routing fields and reports a change of state.
func (t *Table) recordChange(earlier, later Record, reason string) {
	if earlier.routingFields() != later.routingFields() {
		t.sequence++
	}
	if t.OnChange != nil && (earlier.Node == "" || earlier.State != later.State || earlier.TargetState != later.TargetState) {
		t.OnChange(earlier, later, reason)
	}
}

// setRecord replaces the record of a member.
func (t *Table) setRecord(now clock.Millis, m *member, r Record, reason string) {
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
		m.downSince = now
	}
	if !r.live() || r.Incarnation != earlier.Incarnation {
		// An earlier incarnation cannot answer.
		delete(t.probes, r.Node)
	}
	if r.State != Suspect {
		m.observers, m.reportedDead = nil, false
	}
	t.recordChange(earlier, r, reason)
}

// insert adds a member without a record; it returns nil if the table is full.
func (t *Table) insert(n ident.NodeID) *member {
	if len(t.members) >= t.config.MaxMembers {
		return nil
	}
	m := &member{node: n, positions: ringPositions(n), heardAt: -clock.Forever}
	t.members[n] = m
	at, _ := slices.BinarySearchFunc(t.ordered, n, compareMember)
	t.ordered = slices.Insert(t.ordered, at, m)
	t.noteHeard(n)
	return m
}

// remove removes a member and its queued update.
func (t *Table) remove(n ident.NodeID) {
	at, ok := slices.BinarySearchFunc(t.ordered, n, compareMember)
	if !ok {
		return
	}
	t.digest ^= t.ordered[at].contribution
	t.ordered = slices.Delete(t.ordered, at, at+1)
	delete(t.members, n)
	delete(t.queue, n)
	t.unheardStale = true
}

// compareMember compares the node id of a member with n.
func compareMember(m *member, n ident.NodeID) int {
	return cmp.Compare(m.node, n)
}

// contribution returns a live record's part of the table's digest. Suspect counts as
// Alive, because a suspicion is soon refuted or confirmed. Dead and Left records do not
// count, because nodes remove them at different times.
func contribution(r Record) uint64 {
	if !r.live() {
		return 0
	}
	var buffer [128]byte
	b := append(buffer[:0], r.Node...)
	b = binary.BigEndian.AppendUint64(b, uint64(r.Incarnation))
	b = binary.BigEndian.AppendUint64(b, r.Revision)
	return xxhash.Sum64(b)
}
