package member

import (
	"cmp"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/sets"
)

const (
	// updateOverheadBytes is the approximate encoded size of an update without its
	// strings.
	updateOverheadBytes = 40
	// noticeIntervalMillis is the minimum interval between notices, so that a target
	// whose state changes all the time does not flood the neighbours with messages.
	noticeIntervalMillis clock.Millis = 200
)

// queuedUpdate is an update that has not been forwarded to all neighbours yet.
type queuedUpdate struct {
	update Update
	// knownBy holds the nodes to which the update was sent and those that sent it.
	knownBy sets.Set[ident.NodeID]
}

// enqueue schedules an update for forwarding to each neighbour once, and replaces an
// earlier update of the same node. One copy per neighbour is enough, because the
// overlay has 8 edges per node and a sync repairs lost updates.
func (t *Table) enqueue(r Record, observer ident.NodeID) {
	if t.noForwarding && r.Node != t.self.Node {
		delete(t.queue, r.Node)
		return
	}
	q := &queuedUpdate{update: Update{Record: r, Observer: observer}, knownBy: sets.Of[ident.NodeID]()}
	if t.receivedFrom != "" && r.Node != t.self.Node {
		q.knownBy.Add(t.receivedFrom)
	}
	t.queue[r.Node] = q
}

// piggyback selects the queued updates for one message within the byte limit, those
// that were forwarded least often first.
func (t *Table) piggyback(to ident.NodeID) []Update {
	if len(t.queue) == 0 {
		return nil
	}
	neighbours := t.neighbours()
	candidates := make([]*queuedUpdate, 0, len(t.queue))
	for n, q := range t.queue {
		if q.knownByAll(neighbours) {
			delete(t.queue, n)
		} else if n != to && !q.knownBy.Has(to) {
			candidates = append(candidates, q)
		}
	}
	slices.SortFunc(candidates, func(a, b *queuedUpdate) int {
		return cmp.Or(cmp.Compare(len(a.knownBy), len(b.knownBy)), cmp.Compare(a.update.Record.Node, b.update.Record.Node))
	})
	var out []Update
	remaining := t.config.PiggybackBytes
	for _, q := range candidates {
		if remaining -= encodedSize(q.update); remaining < 0 {
			break
		}
		out = append(out, q.update)
		q.knownBy.Add(to)
	}
	return out
}

// knownByAll reports whether every neighbour has the update. Without any neighbour it
// returns false, so that the update stays queued until there is one.
func (q *queuedUpdate) knownByAll(neighbours []*member) bool {
	for _, m := range neighbours {
		if n := m.record.Node; n != q.update.Record.Node && !q.knownBy.Has(n) {
			return false
		}
	}
	return len(neighbours) > 0
}

// encodedSize returns the approximate encoded size of an update.
func encodedSize(u Update) int {
	r := u.Record
	return updateOverheadBytes + len(r.Node) + len(r.PeerAddress) + len(r.FailureDomain) + len(r.Region) +
		len(r.Service) + len(r.Target) + len(u.Observer)
}

// message returns a message with its header fields, the piggybacked updates and, if
// the receiver's last summary of it is out of date, the node's own record.
func (t *Table) message(kind Kind, to ident.NodeID, sequence uint64) Message {
	m := Message{Kind: kind, Sequence: sequence, Digest: t.digest, Held: t.self.Held}
	other := t.members[to]
	if other != nil {
		r := other.record
		m.Receiver = RecordSummary{Incarnation: r.Incarnation, Revision: r.Revision, State: r.State, Held: r.Held}
	}
	m.Updates = t.piggyback(to)
	if other == nil || other.selfSummary.Incarnation != t.self.Incarnation || other.selfSummary.Revision != t.self.Revision {
		if !slices.ContainsFunc(m.Updates, func(u Update) bool { return u.Record.Node == t.self.Node }) {
			m.Updates = append(m.Updates, Update{Record: t.self})
		}
	}
	return m
}

// send returns the action for a message to a member.
func (t *Table) send(kind Kind, to *member, sequence uint64) Action {
	n := to.record.Node
	return Action{To: n, Address: to.record.PeerAddress, Message: t.message(kind, n, sequence)}
}

// notify sends the neighbours a change of the node's own record. Within the interval
// after the last notice it does nothing; Tick or Receive calls it again later.
func (t *Table) notify(now clock.Millis) []Action {
	if now < t.nextNotice {
		return nil
	}
	t.noticeDue = false
	t.nextNotice = now + noticeIntervalMillis
	var out []Action
	for _, m := range t.neighbours() {
		out = append(out, t.send(Notice, m, 0))
	}
	return out
}
