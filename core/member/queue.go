package member

import (
	"cmp"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/sets"
)

const (
	// updateOverhead is the encoded size of an update without its texts.
	updateOverhead = 40
	// noticeMillis is the least interval between notices, so that a target that
	// changes all the time does not flood its neighbours.
	noticeMillis clock.Millis = 200
)

// queued is an update that is still to be forwarded to some neighbours.
type queued struct {
	update Update
	// told holds the nodes that were sent the update or that sent it.
	told sets.Set[ident.NodeID]
}

// enqueue schedules an update for forwarding to each neighbour once, in place of
// an earlier one of the same node. The overlay is connected by 8 edges a node, and
// a sync repairs what is lost, so that more copies would only cost bytes.
func (t *Table) enqueue(r Record, observer ident.NodeID) {
	if t.quiet && r.Node != t.self.Node {
		delete(t.queue, r.Node)
		return
	}
	q := &queued{update: Update{Record: r, Observer: observer}, told: sets.Of[ident.NodeID]()}
	if t.receivedFrom != "" && r.Node != t.self.Node {
		q.told.Add(t.receivedFrom)
	}
	t.queue[r.Node] = q
}

// piggyback takes the updates for one message within the byte limit: those that
// were forwarded least first.
func (t *Table) piggyback(to ident.NodeID) []Update {
	if len(t.queue) == 0 {
		return nil
	}
	neighbours := t.neighbours()
	candidates := make([]*queued, 0, len(t.queue))
	for n, q := range t.queue {
		if q.covers(neighbours) {
			delete(t.queue, n)
		} else if n != to && !q.told.Has(to) {
			candidates = append(candidates, q)
		}
	}
	slices.SortFunc(candidates, func(a, b *queued) int {
		return cmp.Or(cmp.Compare(len(a.told), len(b.told)), cmp.Compare(a.update.Record.Node, b.update.Record.Node))
	})
	var out []Update
	room := t.config.PiggybackBytes
	for _, q := range candidates {
		if room -= size(q.update); room < 0 {
			break
		}
		out = append(out, q.update)
		q.told.Add(to)
	}
	return out
}

// covers reports whether every neighbour was told. Without a neighbour the update
// waits for one.
func (q *queued) covers(neighbours []*member) bool {
	for _, m := range neighbours {
		if n := m.record.Node; n != q.update.Record.Node && !q.told.Has(n) {
			return false
		}
	}
	return len(neighbours) > 0
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
