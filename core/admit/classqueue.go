package admit

import (
	"cmp"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

// classes is the number of classes.
const classes = int(model.Browse) + 1

type (
	// waiting is a call in a classQueue.
	waiting struct {
		Call
		// arrived orders calls that reached the ageing bound.
		arrived clock.Millis
	}

	// classQueue is the queue of a ByClass gate.
	classQueue struct {
		gate *Gate
		// lists holds the waiting calls of each class, the next one first.
		lists [classes][]waiting
		// served is when each class last started a call or began to wait.
		served [classes]clock.Millis
		// others counts the starts of other classes since the last action.
		others int
		// run is the moving average of each class's run time; 0 before the first.
		run [classes]clock.Millis
	}
)

// push adds c to its list unless it would wait beyond its deadline; a full queue
// refuses c or a call that goes later.
func (q *classQueue) push(now clock.Millis, c Call, actions []Action) []Action {
	if now+q.wait(c) > c.Deadline {
		return append(actions, refuse(c.ID, ReasonWait))
	}
	if q.size() >= q.gate.QueueLength && len(q.lists[c.Class]) > 0 {
		victim, ok := q.displace(c.Class)
		if !ok {
			return append(actions, refuse(c.ID, ReasonFull))
		}
		actions = append(actions, refuse(victim, ReasonDisplaced))
	}
	list := q.lists[c.Class]
	if len(list) == 0 {
		q.served[c.Class] = now
	}
	at, _ := slices.BinarySearchFunc(list, c.Deadline, func(w waiting, d clock.Millis) int {
		// Equal deadlines keep the order of arrival.
		return cmp.Or(cmp.Compare(w.Deadline, d), -1)
	})
	q.lists[c.Class] = slices.Insert(list, at, waiting{Call: c, arrived: now})
	return actions
}

// pop removes the call to start next.
func (q *classQueue) pop(now clock.Millis) (Call, string) {
	class, at, reason := q.choose(now)
	c := q.lists[class][at].Call
	q.lists[class] = slices.Delete(q.lists[class], at, at+1)
	return c, reason
}

// expire refuses the waiting calls whose deadline has passed.
func (q *classQueue) expire(now clock.Millis, actions []Action) []Action {
	for class, list := range q.lists {
		// A list is in order of deadline, so the expired calls lead it.
		n := 0
		for n < len(list) && now >= list[n].Deadline {
			actions = append(actions, refuse(list[n].ID, ReasonExpired))
			n++
		}
		q.lists[class] = slices.Delete(list, 0, n)
	}
	return actions
}

// remove removes a call and reports whether it waited.
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

// started notes which class got a slot.
func (q *classQueue) started(now clock.Millis, c Call) {
	q.served[c.Class] = now
	q.others++
	if c.Class == model.Action {
		q.others = 0
	}
}

// finished takes the run time of a call.
func (q *classQueue) finished(c Call, took clock.Millis) {
	average(&q.run[c.Class], took)
}

// next returns the earliest deadline, or clock.Forever.
func (q *classQueue) next() clock.Millis {
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

// has reports whether a call waits.
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

// choose returns the class and the place of the call to start: an action if its
// share is owed, else the longest waiting call of a class that reached the ageing
// bound, else the earliest deadline of the first class. At least one call waits.
func (q *classQueue) choose(now clock.Millis) (class, at int, reason string) {
	every := q.gate.ActionEvery
	if every > 0 && q.others >= every-1 && len(q.lists[model.Action]) > 0 {
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
		if now-q.served[class] >= q.gate.AgeingMillis && (aged < 0 || q.served[class] < q.served[aged]) {
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

// displace removes the last call of the last class that goes after class. A
// class keeps its only waiting call, so that it reaches its ageing bound.
func (q *classQueue) displace(class model.Class) (ident.RequestID, bool) {
	for later := classes - 1; later > int(class); later-- {
		if list := q.lists[later]; len(list) > 1 {
			victim := list[len(list)-1].ID
			q.lists[later] = list[:len(list)-1]
			return victim, true
		}
	}
	return "", false
}

// wait returns how long c would wait: the calls ahead of it and the running
// ones, spread over the slots.
func (q *classQueue) wait(c Call) clock.Millis {
	limit := q.gate.limit() - q.gate.occupied
	if limit <= 0 {
		return 0 // announced slots free themselves; the deadline bounds the wait
	}
	// The running calls end one run time apart on average.
	var work clock.Millis
	for _, r := range q.gate.running {
		work += q.expected(r.Class) / clock.Millis(len(q.gate.running))
	}
	own := 0
	for own < len(q.lists[c.Class]) && q.lists[c.Class][own].Deadline <= c.Deadline {
		own++
	}
	work += clock.Millis(own) * q.expected(c.Class)
	for class := range model.Class(classes) {
		work += clock.Millis(q.ahead(class, c.Class, own)) * q.expected(class)
	}
	return work / clock.Millis(limit)
}

// ahead returns how many waiting calls of class start before a new call of another
// class that has own calls of its class before it.
func (q *classQueue) ahead(class, of model.Class, own int) int {
	queued, every := len(q.lists[class]), q.gate.ActionEvery
	switch {
	case class == of:
		return 0
	case every > 1 && of == model.Action && class < of:
		return min(queued, (own+1)*(every-1))
	case every > 1 && of < model.Action && class == model.Action:
		return min(queued, own/(every-1)+1)
	case class < of:
		return queued
	}
	return 0
}

// expected returns the expected run time of a class.
func (q *classQueue) expected(class model.Class) clock.Millis {
	if q.run[class] > 0 {
		return q.run[class]
	}
	return q.gate.RunMillis
}

// average adds a run time to a moving average, which is 0 before the first.
func average(run *clock.Millis, took clock.Millis) {
	if *run == 0 {
		*run = took
	}
	*run += runWeight * (took - *run)
}
