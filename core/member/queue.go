package member

import (
	"cmp"
	"math"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// transmitFactor times log2 of the fleet size is the number of times that a
	// node forwards an update.
	transmitFactor = 3
	// updateOverhead is the encoded size of an update without its texts.
	updateOverhead = 40
	// noticeMillis is the least interval between notices, so that a target that
	// changes all the time does not flood its neighbours.
	noticeMillis clock.Millis = 200
)

// queued is an update that is still to be forwarded.
type queued struct {
	update Update
	// left is the number of transmissions that remain.
	left int
}

// enqueue schedules an update for forwarding in place of an earlier one of the
// same node.
func (t *Table) enqueue(r Record, observer ident.NodeID) {
	if t.quiet && r.Node != t.self.Node {
		delete(t.queue, r.Node)
		return
	}
	left := transmitFactor * int(math.Ceil(math.Log2(float64(len(t.members)+2))))
	t.queue[r.Node] = &queued{update: Update{Record: r, Observer: observer}, left: left}
}

// piggyback takes the updates for one message within the byte limit: those that
// were forwarded least first.
func (t *Table) piggyback(to ident.NodeID) []Update {
	if len(t.queue) == 0 {
		return nil
	}
	candidates := make([]*queued, 0, len(t.queue))
	for n, q := range t.queue {
		if n != to {
			candidates = append(candidates, q)
		}
	}
	slices.SortFunc(candidates, func(a, b *queued) int {
		return cmp.Or(cmp.Compare(b.left, a.left), cmp.Compare(a.update.Record.Node, b.update.Record.Node))
	})
	var out []Update
	room := t.config.PiggybackBytes
	for _, q := range candidates {
		if room -= size(q.update); room < 0 {
			break
		}
		out = append(out, q.update)
		if q.left--; q.left <= 0 {
			delete(t.queue, q.update.Record.Node)
		}
	}
	return out
}

// size returns the approximate encoded size of an update.
func size(u Update) int {
	r := u.Record
	return updateOverhead + len(r.Node) + len(r.PeerAddress) + len(r.FailureDomain) + len(r.Region) +
		len(r.Service) + len(r.Target) + len(u.Observer)
}

// message returns a message with the header and the updates that the receiver
// needs.
func (t *Table) message(kind Kind, to ident.NodeID, sequence uint64) Message {
	m := Message{Kind: kind, Sequence: sequence, Digest: t.digest, Held: t.self.Held}
	other := t.members[to]
	if other != nil {
		r := other.record
		m.Known = Known{Incarnation: r.Incarnation, Change: r.Change, State: r.State, Held: r.Held}
	}
	m.Updates = t.piggyback(to)
	if other == nil || other.knows.Incarnation != t.self.Incarnation || other.knows.Change != t.self.Change {
		if !slices.ContainsFunc(m.Updates, func(u Update) bool { return u.Record.Node == t.self.Node }) {
			m.Updates = append(m.Updates, Update{Record: t.self})
		}
	}
	return m
}

// send returns the action that sends a message to a member.
func (t *Table) send(kind Kind, to *member, sequence uint64) Action {
	n := to.record.Node
	return Action{To: n, Address: to.record.PeerAddress, Message: t.message(kind, n, sequence)}
}

// notify tells the neighbours of a change of the own record, unless it told them
// a moment ago; then Tick does it.
func (t *Table) notify(now clock.Millis) []Action {
	if now < t.nextNotice {
		return nil
	}
	t.noticeDue = false
	t.nextNotice = now + noticeMillis
	var out []Action
	for _, m := range t.neighbours() {
		out = append(out, t.send(Notice, m, 0))
	}
	return out
}
