package admit

import (
	"cmp"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// ReasonGoal is a refusal of a call that would miss its goal, when the queue
	// already holds its maximum of such calls.
	ReasonGoal = "expected wait exceeds the response-time goal"
	// ReasonLate is a start of a call that is expected to miss its goal, in a slot
	// for which no other call waits.
	ReasonLate = "slot is free for a late call"

	// lateShare bounds the calls that wait although they will miss their goals, as
	// a share of the slots. They keep the slots busy when no other call waits.
	lateShare = 0.5
)

type (
	// goalQueue is the queue of a gate with the order ByGoal, for sustained overload.
	// If only the deadline bounds the wait, every call waits for most of its time
	// under such a load, and all answers are late. Here a call waits only if it can
	// be answered by its goal, apart from a few late ones; the others are refused
	// early enough for their callers to retry.
	goalQueue struct {
		gate *Gate
		// lists holds the waiting calls of each rank in order of goal.
		lists [LastRank + 1][]Call
		// late holds the calls that will miss their goals, in order of deadline. They
		// start only when no other call waits.
		late []Call
		// averageRun is the moving average of each rank's run time at the usual pace; 0 until
		// a call has finished.
		averageRun [LastRank + 1]clock.Millis
		// pressedUntil is until when each rank of new requests goes before all calls of
		// less urgent running requests.
		pressedUntil [LastRank + 1]clock.Millis
		// teams divides the starts of each rank among the teams.
		teams [LastRank + 1]teamOrder
		// passed counts the starts since a call of a running request was passed over.
		passed int
	}
)

// push queues c if it can be answered by its goal, or else among the late calls if
// there is room. It refuses c if the queue is full or if c cannot end by its deadline.
func (q *goalQueue) push(now clock.Millis, c Call, actions []Action) []Action {
	end := now + q.expectedEnd(now, c, q.usualRun(c.Rank))
	if !c.Rank.IsInner() && c.Goal > now && end > c.Goal {
		q.pressedUntil[c.Rank] = now + pressedMillis
	}
	switch {
	case end > c.Deadline:
		return append(actions, refuse(c.ID, q.gate.waitReason(ReasonWait)))
	case q.size() >= q.gate.QueueLength:
		return q.pushFull(c, actions)
	case !c.Rank.IsInner() && c.Goal > 0 && end > c.Goal:
		return q.pushLate(c, actions)
	}
	q.insert(c)
	return actions
}

// insert queues c in its rank.
func (q *goalQueue) insert(c Call) {
	list := q.lists[c.Rank]
	at, _ := slices.BinarySearchFunc(list, c.effectiveGoal(), func(w Call, goal clock.Millis) int {
		return cmp.Or(cmp.Compare(w.effectiveGoal(), goal), -1)
	})
	q.lists[c.Rank] = slices.Insert(list, at, c)
}

// pushFull handles a call that finds the queue full: it displaces a call of the team with the
// most waiting calls of its rank, or is refused.
func (q *goalQueue) pushFull(c Call, actions []Action) []Action {
	at := displaced(q.lists[c.Rank], c.Team)
	if at < 0 {
		return append(actions, refuse(c.ID, ReasonFull))
	}
	actions = append(actions, refuse(q.lists[c.Rank][at].ID, ReasonTeamShare))
	q.lists[c.Rank] = slices.Delete(q.lists[c.Rank], at, at+1)
	q.insert(c)
	return actions
}

// pushLate queues a call that will miss its goal, or refuses it if lateShare is used up.
// While calls wait for the target's limit of requests, a late one would keep no slot busy
// and wait until its deadline, although other targets may have room.
func (q *goalQueue) pushLate(c Call, actions []Action) []Action {
	if q.gate.rate.available() == 0 {
		return append(actions, refuse(c.ID, ReasonLimit))
	}
	if len(q.late) >= max(int(lateShare*float64(q.gate.limit())), 1) {
		return append(actions, refuse(c.ID, ReasonGoal))
	}
	at, _ := slices.BinarySearchFunc(q.late, c.Deadline, func(w Call, d clock.Millis) int {
		return cmp.Or(cmp.Compare(w.Deadline, d), -1)
	})
	q.late = slices.Insert(q.late, at, c)
	return actions
}

// pop removes the call to start next and returns it with the reason of the choice.
func (q *goalQueue) pop(now clock.Millis) (Call, string) {
	first, inner := -1, -1
	for rank, list := range q.lists {
		if len(list) == 0 {
			continue
		}
		if first < 0 {
			first = rank
		}
		if inner < 0 && Rank(rank).IsInner() {
			inner = rank
		}
	}
	switch {
	case inner >= 0 && (inner == first || !q.isPressed(now, Rank(inner))):
		return q.take(inner), ReasonQueued
	case inner >= 0 && q.passed+1 >= innerEvery:
		return q.take(inner), ReasonInner
	case inner >= 0:
		q.passed++
		return q.take(first), ReasonQueued
	case first >= 0:
		return q.take(first), ReasonQueued
	}
	c := q.late[0]
	q.late = slices.Delete(q.late, 0, 1)
	return c, ReasonLate
}

// isPressed reports whether new requests that are more urgent than the calls of a rank
// have missed their goals within pressedMillis.
func (q *goalQueue) isPressed(now clock.Millis, inner Rank) bool {
	for _, until := range q.pressedUntil[:inner] {
		if now < until {
			return true
		}
	}
	return false
}

// goesBefore reports whether waiting calls of rank r start before a call of rank c.
func (q *goalQueue) goesBefore(now clock.Millis, r, c Rank) bool {
	switch {
	case r.IsInner() && !c.IsInner() && r > c:
		return !q.isPressed(now, r)
	case c.IsInner() && !r.IsInner() && r < c:
		return q.isPressed(now, c)
	}
	return r < c
}

// take removes the waiting call of a rank that is the next one.
func (q *goalQueue) take(rank int) Call {
	list := q.lists[rank]
	at := q.teams[rank].next(list)
	c := list[at]
	q.lists[rank] = slices.Delete(list, at, at+1)
	if c.Rank.IsInner() {
		q.passed = 0
	}
	return c
}

// expire moves calls that can no longer meet their goals to the late calls, and refuses
// calls that can no longer end by their deadlines.
func (q *goalQueue) expire(now clock.Millis, actions []Action) []Action {
	for rank := range q.lists {
		list := q.lists[rank][:0]
		for _, c := range q.lists[rank] {
			end := now + q.expectedRun(c.Rank)
			switch {
			case end > c.Deadline:
				actions = append(actions, refuse(c.ID, ReasonWait))
			case !c.Rank.IsInner() && c.Goal > 0 && end > c.Goal:
				actions = q.pushLate(c, actions)
			default:
				list = append(list, c)
			}
		}
		q.lists[rank] = list
	}
	q.late = slices.DeleteFunc(q.late, func(c Call) bool {
		expired := now+q.expectedRun(c.Rank) > c.Deadline
		if expired {
			actions = append(actions, refuse(c.ID, ReasonWait))
		}
		return expired
	})
	return actions
}

// remove removes a waiting call and reports whether it was queued.
func (q *goalQueue) remove(id ident.RequestID) bool {
	sizeBefore := q.size()
	matches := func(c Call) bool { return c.ID == id }
	for rank := range q.lists {
		q.lists[rank] = slices.DeleteFunc(q.lists[rank], matches)
	}
	q.late = slices.DeleteFunc(q.late, matches)
	return q.size() < sizeBefore
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

// started charges the team of c with the expected run time, which it returns.
func (q *goalQueue) started(_ clock.Millis, c Call) clock.Millis {
	run := q.expectedRun(c.Rank)
	q.teams[c.Rank].started(c.Team, run)
	return run
}

// finished adds the run time of c at the usual pace to the average of its rank.
func (q *goalQueue) finished(c Call, took clock.Millis) {
	average := &q.averageRun[min(c.Rank, LastRank)]
	updateAverage(average, q.gate.pace.normalize(took, c.paceAtStart, *average))
	q.teams[min(c.Rank, LastRank)].finished(c.Team, c.charged, took)
}

// nextExpiry returns the last instant at which every waiting call can still end by its
// deadline, or clock.Forever.
func (q *goalQueue) nextExpiry() clock.Millis {
	next := clock.Forever
	for _, list := range q.lists {
		for _, c := range list {
			next = min(next, c.Deadline-q.expectedRun(c.Rank))
		}
	}
	for _, c := range q.late {
		next = min(next, c.Deadline-q.expectedRun(c.Rank))
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

// has reports whether the call with that id is queued.
func (q *goalQueue) has(id ident.RequestID) bool {
	matches := func(c Call) bool { return c.ID == id }
	for _, list := range q.lists {
		if slices.ContainsFunc(list, matches) {
			return true
		}
	}
	return slices.ContainsFunc(q.late, matches)
}

// expectedWait returns how long c would wait.
func (q *goalQueue) expectedWait(now clock.Millis, c Call) clock.Millis {
	return q.expectedEnd(now, c, 0)
}

// expectedEnd returns the time until c would end if it ran for run at the usual pace. It
// would wait for the expected run times of the calls ahead of it and one average run time
// for the running calls, divided by the slots, but at least until the limit of requests per
// second allows it to start.
func (q *goalQueue) expectedEnd(now clock.Millis, c Call, run clock.Millis) clock.Millis {
	limit := q.gate.limit() - q.gate.announced
	if limit <= 0 {
		return q.gate.pace.scale(run) // announced slots expire by themselves; the deadline bounds the wait
	}
	var work clock.Millis
	for _, r := range q.gate.running {
		work += q.usualRun(min(r.Rank, LastRank)) / clock.Millis(len(q.gate.running))
	}
	ahead := 0
	for rank := range LastRank + 1 {
		if !q.goesBefore(now, rank, c.Rank) {
			continue
		}
		ahead += len(q.lists[rank])
		work += clock.Millis(len(q.lists[rank])) * q.usualRun(rank)
	}
	sameRank := q.teams[c.Rank].ahead(q.lists[c.Rank], &c)
	forSlot := (work + clock.Millis(sameRank)*q.usualRun(c.Rank)) / clock.Millis(limit)
	pace := &q.gate.pace
	return max(pace.scale(forSlot+run), q.gate.rate.wait(ahead+sameRank)+pace.scale(run))
}

// expectedRun returns the expected run time of a call of a rank that starts now.
func (q *goalQueue) expectedRun(rank Rank) clock.Millis {
	return q.gate.pace.scale(q.usualRun(rank))
}

// usualRun returns the average run time of a rank at the usual pace, or RunMillis before
// its first call has finished.
func (q *goalQueue) usualRun(rank Rank) clock.Millis {
	if q.averageRun[rank] > 0 {
		return q.averageRun[rank]
	}
	return q.gate.RunMillis
}

// effectiveGoal returns Goal, or Deadline for a call without a goal. It orders the calls
// of a rank.
func (c *Call) effectiveGoal() clock.Millis {
	if c.Goal > 0 {
		return c.Goal
	}
	return c.Deadline
}
