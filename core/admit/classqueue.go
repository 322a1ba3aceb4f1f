package admit

import (
	"cmp"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

// classCount is the number of request classes.
const classCount = int(model.Browse) + 1

type (
	// queuedCall is a waiting call and the time at which it arrived.
	queuedCall struct {
		Call
		// arrived is the time at which the call was queued; a class that reached its
		// ageing bound starts its oldest call first.
		arrived clock.Millis
	}

	// classQueue is the queue of a gate with the order ByClass.
	classQueue struct {
		gate *Gate
		// lists holds the waiting calls of each class in order of deadline.
		lists [classCount][]queuedCall
		// lastServed is the time at which each class last started a call, or at which
		// its list last became non-empty, whichever is later.
		lastServed [classCount]clock.Millis
		// startsSinceAction counts the starts of other classes since the last start
		// of a call of class Action.
		startsSinceAction int
		// averageRun is the moving average of each class's run time; 0 until a call
		// has finished.
		averageRun [classCount]clock.Millis
	}
)

// push queues c unless it is expected to wait beyond its deadline. A full queue
// refuses the last call of a lower-priority class in favour of c, or c itself if there
// is none; it refuses neither if no other call of c's class waits.
func (q *classQueue) push(now clock.Millis, c Call, actions []Action) []Action {
	if now+q.expectedWait(now, c) > c.Deadline {
		return append(actions, refuse(c.ID, q.gate.waitReason(ReasonWait)))
	}
	if q.size() >= q.gate.QueueLength && len(q.lists[c.Class]) > 0 {
		displaced, ok := q.displace(c.Class)
		if !ok {
			return append(actions, refuse(c.ID, ReasonFull))
		}
		actions = append(actions, refuse(displaced, ReasonDisplaced))
	}
	list := q.lists[c.Class]
	if len(list) == 0 {
		q.lastServed[c.Class] = now
	}
	at, _ := slices.BinarySearchFunc(list, c.Deadline, func(w queuedCall, d clock.Millis) int {
		// Equal deadlines keep the order of arrival.
		return cmp.Or(cmp.Compare(w.Deadline, d), -1)
	})
	q.lists[c.Class] = slices.Insert(list, at, queuedCall{Call: c, arrived: now})
	return actions
}

// pop removes the call to start next and returns it with the reason of the choice.
func (q *classQueue) pop(now clock.Millis) (Call, string) {
	class, at, reason := q.choose(now)
	c := q.lists[class][at].Call
	q.lists[class] = slices.Delete(q.lists[class], at, at+1)
	return c, reason
}

// expire refuses the waiting calls whose deadline has passed.
func (q *classQueue) expire(now clock.Millis, actions []Action) []Action {
	for class, list := range q.lists {
		// A list is in order of deadline, so the expired calls are at its head.
		n := 0
		for n < len(list) && now >= list[n].Deadline {
			actions = append(actions, refuse(list[n].ID, ReasonExpired))
			n++
		}
		q.lists[class] = slices.Delete(list, 0, n)
	}
	return actions
}

// remove removes a waiting call and reports whether it was queued.
func (q *classQueue) remove(id ident.RequestID) bool {
	for class, list := range q.lists {
		for i := range list {
			if list[i].ID == id {
				q.lists[class] = slices.Delete(list, i, i+1)
				return true
			}
		}
	}
	return false
}

// clear removes and refuses every call.
func (q *classQueue) clear(actions []Action, reason string) []Action {
	for class, list := range q.lists {
		for i := range list {
			actions = append(actions, refuse(list[i].ID, reason))
		}
		q.lists[class] = nil
	}
	return actions
}

// started records the start of c for ageing and for the share of actions. Nothing is charged.
func (q *classQueue) started(now clock.Millis, c Call) clock.Millis {
	q.lastServed[c.Class] = now
	q.startsSinceAction++
	if c.Class == model.Action {
		q.startsSinceAction = 0
	}
	return 0
}

// finished adds the run time of c to the average of its class.
func (q *classQueue) finished(c Call, took clock.Millis) {
	updateAverage(&q.averageRun[c.Class], took)
}

// nextExpiry returns the earliest deadline of a waiting call, or clock.Forever.
func (q *classQueue) nextExpiry() clock.Millis {
	next := clock.Forever
	for _, list := range q.lists {
		if len(list) > 0 {
			next = min(next, list[0].Deadline)
		}
	}
	return next
}

// size returns the number of waiting calls.
func (q *classQueue) size() int {
	n := 0
	for _, list := range q.lists {
		n += len(list)
	}
	return n
}

// has reports whether the call with that id is queued.
func (q *classQueue) has(id ident.RequestID) bool {
	for _, list := range q.lists {
		for i := range list {
			if list[i].ID == id {
				return true
			}
		}
	}
	return false
}

// choose returns the class and the list index of the call to start: an action if its
// share is due, else the oldest call of the class that reached its ageing bound first,
// unless that is the waiting class of highest priority, else the call with the earliest
// deadline in the waiting class of highest priority. At least one call must wait.
func (q *classQueue) choose(now clock.Millis) (class, at int, reason string) {
	every := q.gate.ActionEvery
	if every > 0 && q.startsSinceAction >= every-1 && len(q.lists[model.Action]) > 0 {
		return int(model.Action), 0, ReasonShare
	}
	first, aged := -1, -1
	for class, list := range q.lists {
		if len(list) == 0 {
			continue
		}
		if first < 0 {
			first = class
		}
		if now-q.lastServed[class] >= q.gate.AgeingMillis && (aged < 0 || q.lastServed[class] < q.lastServed[aged]) {
			aged = class
		}
	}
	if aged < 0 || aged == first {
		return first, 0, ReasonQueued
	}
	oldest := 0
	for i, w := range q.lists[aged] {
		if w.arrived < q.lists[aged][oldest].arrived {
			oldest = i
		}
	}
	return aged, oldest, ReasonAged
}

// displace removes the call with the latest deadline from the class of lowest priority
// below class, and returns its id. The only waiting call of a class is never displaced,
// so that the class reaches its ageing bound.
func (q *classQueue) displace(class model.Class) (ident.RequestID, bool) {
	for later := classCount - 1; later > int(class); later-- {
		if list := q.lists[later]; len(list) > 1 {
			displaced := list[len(list)-1].ID
			q.lists[later] = list[:len(list)-1]
			return displaced, true
		}
	}
	return "", false
}

// expectedWait returns how long c would wait: the expected run times of the calls ahead
// of it and one average run time for the running calls, divided by the slots, but at
// least until the limit of requests per second allows it to start.
func (q *classQueue) expectedWait(_ clock.Millis, c Call) clock.Millis {
	limit := q.gate.limit() - q.gate.announced
	if limit <= 0 {
		return 0 // announced slots expire by themselves; the deadline bounds the wait
	}
	// The ends of the running calls are spread over one average run time.
	var work clock.Millis
	for _, r := range q.gate.running {
		work += q.expectedRun(r.Class) / clock.Millis(len(q.gate.running))
	}
	sameClass := 0
	for sameClass < len(q.lists[c.Class]) && q.lists[c.Class][sameClass].Deadline <= c.Deadline {
		sameClass++
	}
	work += clock.Millis(sameClass) * q.expectedRun(c.Class)
	ahead := sameClass
	for class := range model.Class(classCount) {
		n := q.countAhead(class, c.Class, sameClass)
		ahead += n
		work += clock.Millis(n) * q.expectedRun(class)
	}
	return max(work/clock.Millis(limit), q.gate.rate.wait(ahead))
}

// countAhead returns how many waiting calls of class start before a new call of newClass
// that has sameClass calls of its own class ahead of it. It is 0 if the classes are the
// same.
func (q *classQueue) countAhead(class, newClass model.Class, sameClass int) int {
	queued, every := len(q.lists[class]), q.gate.ActionEvery
	switch {
	case class == newClass:
		return 0
	case every > 1 && newClass == model.Action && class < newClass:
		return min(queued, (sameClass+1)*(every-1))
	case every > 1 && newClass < model.Action && class == model.Action:
		return min(queued, sameClass/(every-1)+1)
	case class < newClass:
		return queued
	}
	return 0
}

// expectedRun returns the average run time of a class, or RunMillis before its first
// call has finished.
func (q *classQueue) expectedRun(class model.Class) clock.Millis {
	if q.averageRun[class] > 0 {
		return q.averageRun[class]
	}
	return q.gate.RunMillis
}

// updateAverage adds a run time to an exponential moving average, which is 0 before the
// first one.
func updateAverage(run *clock.Millis, took clock.Millis) {
	if *run == 0 {
		*run = took
	}
	*run += runWeight * (took - *run)
}
