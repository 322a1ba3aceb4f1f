package admit

import (
	"cmp"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// InnerRank is the rank of a call that a running request makes. It goes before
	// all new requests, since the request that makes it holds a slot.
	InnerRank Rank = 0
	// LastRank is the largest rank.
	LastRank Rank = 7

	// ReasonGoal is a refusal of a call that would miss its goal while others wait.
	ReasonGoal = "expected wait exceeds the response-time goal"
	// ReasonLate is a start of a call that misses its goal, in a slot that no
	// other call wants.
	ReasonLate = "slot is free for a late call"

	// lateShare bounds the calls that wait although they will miss their goals, as
	// a share of the slots. They keep the slots busy when the others run out.
	lateShare = 0.5
)

type (
	// Rank orders calls by urgency; the lower one goes first.
	Rank uint8

	// goalQueue is the queue of a ByGoal gate. It answers an overload that lasts:
	// with a queue that is bounded by the deadline, every call waits until nearly
	// all of its time is gone, and all are late. Here a call waits only if it can
	// still be answered by its goal; the rest is refused while its caller has the
	// time to come back.
	goalQueue struct {
		gate *Gate
		// lists holds the waiting calls of each rank in order of goal.
		lists [LastRank + 1][]Call
		// late holds calls that will miss their goals, in order of deadline. They
		// start only if nothing else waits.
		late []Call
		// run is the moving average of each rank's run time; 0 before the first.
		run [LastRank + 1]clock.Millis
	}
)

// push queues c if it can be answered by its goal, or among the few late calls.
func (q *goalQueue) push(now clock.Millis, c Call, actions []Action) []Action {
	end := now + q.wait(c) + q.expected(c.Rank)
	switch {
	case end > c.Deadline:
		return append(actions, refuse(c.ID, ReasonWait))
	case q.size() >= q.gate.QueueLength:
		return append(actions, refuse(c.ID, ReasonFull))
	case c.Rank != InnerRank && c.Goal > 0 && end > c.Goal:
		return q.pushLate(c, actions)
	}
	list := q.lists[c.Rank]
	at, _ := slices.BinarySearchFunc(list, c.goal(), func(w Call, goal clock.Millis) int {
		return cmp.Or(cmp.Compare(w.goal(), goal), -1)
	})
	q.lists[c.Rank] = slices.Insert(list, at, c)
	return actions
}

// pushLate queues a call that will miss its goal if there is room for one.
func (q *goalQueue) pushLate(c Call, actions []Action) []Action {
	if len(q.late) >= max(int(lateShare*float64(q.gate.limit())), 1) {
		return append(actions, refuse(c.ID, ReasonGoal))
	}
	at, _ := slices.BinarySearchFunc(q.late, c.Deadline, func(w Call, d clock.Millis) int {
		return cmp.Or(cmp.Compare(w.Deadline, d), -1)
	})
	q.late = slices.Insert(q.late, at, c)
	return actions
}

// pop removes the call to start next.
func (q *goalQueue) pop(clock.Millis) (Call, string) {
	for rank, list := range q.lists {
		if len(list) > 0 {
			c := list[0]
			q.lists[rank] = slices.Delete(list, 0, 1)
			return c, ReasonQueued
		}
	}
	c := q.late[0]
	q.late = slices.Delete(q.late, 0, 1)
	return c, ReasonLate
}

// expire moves the calls that can no longer meet their goals to the late ones, and
// refuses those that can no longer be answered in time.
func (q *goalQueue) expire(now clock.Millis, actions []Action) []Action {
	for rank := range q.lists {
		list := q.lists[rank][:0]
		for _, c := range q.lists[rank] {
			end := now + q.expected(c.Rank)
			switch {
			case end > c.Deadline:
				actions = append(actions, refuse(c.ID, ReasonWait))
			case c.Rank != InnerRank && c.Goal > 0 && end > c.Goal:
				actions = q.pushLate(c, actions)
			default:
				list = append(list, c)
			}
		}
		q.lists[rank] = list
	}
	q.late = slices.DeleteFunc(q.late, func(c Call) bool {
		hopeless := now+q.expected(c.Rank) > c.Deadline
		if hopeless {
			actions = append(actions, refuse(c.ID, ReasonWait))
		}
		return hopeless
	})
	return actions
}

// remove removes a call and reports whether it waited.
func (q *goalQueue) remove(id ident.RequestID) bool {
	before := q.size()
	is := func(c Call) bool { return c.ID == id }
	for rank := range q.lists {
		q.lists[rank] = slices.DeleteFunc(q.lists[rank], is)
	}
	q.late = slices.DeleteFunc(q.late, is)
	return q.size() < before
}

// clear removes and refuses every call.
func (q *goalQueue) clear(actions []Action, reason string) []Action {
	for rank, list := range q.lists {
		for _, c := range list {
			actions = append(actions, refuse(c.ID, reason))
		}
		q.lists[rank] = nil
	}
	for _, c := range q.late {
		actions = append(actions, refuse(c.ID, reason))
	}
	q.late = nil
	return actions
}

// started does nothing: ranks have no shares.
func (*goalQueue) started(clock.Millis, Call) {}

// finished takes the run time of a call.
func (q *goalQueue) finished(c Call, took clock.Millis) {
	average(&q.run[min(c.Rank, LastRank)], took)
}

// next returns the instant at which a waiting call can no longer be answered in
// time, or clock.Forever.
func (q *goalQueue) next() clock.Millis {
	next := clock.Forever
	for _, list := range q.lists {
		for _, c := range list {
			next = min(next, c.Deadline-q.expected(c.Rank))
		}
	}
	for _, c := range q.late {
		next = min(next, c.Deadline-q.expected(c.Rank))
	}
	return next
}

// size returns the number of waiting calls.
func (q *goalQueue) size() int {
	n := len(q.late)
	for _, list := range q.lists {
		n += len(list)
	}
	return n
}

// has reports whether a call waits.
func (q *goalQueue) has(id ident.RequestID) bool {
	is := func(c Call) bool { return c.ID == id }
	for _, list := range q.lists {
		if slices.ContainsFunc(list, is) {
			return true
		}
	}
	return slices.ContainsFunc(q.late, is)
}

// wait returns how long c would wait behind the calls that go before it. The slots
// become free one run time apart, spread over the slots.
func (q *goalQueue) wait(c Call) clock.Millis {
	limit := q.gate.limit() - q.gate.occupied
	if limit <= 0 {
		return 0 // announced slots free themselves; the deadline bounds the wait
	}
	var work clock.Millis
	for _, r := range q.gate.running {
		work += q.expected(min(r.Rank, LastRank)) / clock.Millis(len(q.gate.running))
	}
	for rank := range c.Rank {
		work += clock.Millis(len(q.lists[rank])) * q.expected(rank)
	}
	own := 0
	for own < len(q.lists[c.Rank]) && q.lists[c.Rank][own].goal() <= c.goal() {
		own++
	}
	return (work + clock.Millis(own)*q.expected(c.Rank)) / clock.Millis(limit)
}

// expected returns the expected run time of a rank.
func (q *goalQueue) expected(rank Rank) clock.Millis {
	if q.run[rank] > 0 {
		return q.run[rank]
	}
	return q.gate.RunMillis
}

// goal returns the instant that orders a call within its rank.
func (c *Call) goal() clock.Millis {
	if c.Goal > 0 {
		return c.Goal
	}
	return c.Deadline
}
