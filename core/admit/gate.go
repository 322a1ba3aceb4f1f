package admit

import (
	"cmp"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

const (
	// Start means that the call must run now.
	Start Kind = iota
	// Refuse means that the call has not run and never will.
	Refuse
	// Drained means that a drain is complete: no call runs or waits.
	Drained
)

const (
	// ReasonFree is a start without waiting.
	ReasonFree = "free slot"
	// ReasonQueued is a start from the queue.
	ReasonQueued = "next in queue"
	// ReasonAged is a start ahead of a class that goes first.
	ReasonAged = "class reached its ageing bound"
	// ReasonShare is the start of an action whose share is owed.
	ReasonShare = "share of actions is owed"
	// ReasonDraining is a refusal during a drain.
	ReasonDraining = "target is draining"
	// ReasonFull is a refusal by a full queue.
	ReasonFull = "queue is full"
	// ReasonDisplaced is a refusal in favour of a call of a class that goes first.
	ReasonDisplaced = "displaced by a class that goes first"
	// ReasonWait is a refusal of a call that would wait beyond its deadline.
	ReasonWait = "expected wait exceeds the deadline"
	// ReasonExpired is a refusal of a call whose deadline has passed.
	ReasonExpired = "deadline passed before the start"
	// ReasonCancelled is a refusal of a waiting call that its caller gave up.
	ReasonCancelled = "cancelled while waiting"
)

const (
	// classes is the number of classes.
	classes = int(model.Browse) + 1
	// actionRoom is the number of actions that need no new memory.
	actionRoom = 16
	// runWeight is the weight of the newest run time in its moving average.
	runWeight = 0.1
)

type (
	// Kind says what an action asks for.
	Kind uint8

	// Action is what the owner of a gate must do.
	Action struct {
		Kind Kind
		// ID is the call to start or refuse; empty for Drained.
		ID ident.RequestID
		// Reason is a constant phrase.
		Reason string
	}

	// Call is a request that asks for a slot.
	Call struct {
		ID    ident.RequestID
		Class model.Class
		// Deadline is the instant after which an answer is worthless.
		Deadline clock.Millis
	}

	// waiting is a call in the queue.
	waiting struct {
		Call
		// arrived orders calls that reached the ageing bound.
		arrived clock.Millis
	}

	// Gate admits requests to one target. It holds no lock, so its owner
	// serializes the calls. Set the exported fields before the first call. The
	// actions that a method returns are valid until the next call.
	//
	// Invariants: running calls plus announced ones never exceed the smaller of
	// Slots and Connections through a start; every call that arrives ends in
	// exactly one Start or Refuse; a refused call was never started; while a
	// drain lasts, nothing starts.
	Gate struct {
		// Slots is the number of requests that the target runs at the same time.
		Slots ident.Slots
		// Connections is the number of connections that the target accepts; each
		// running call uses one.
		Connections ident.Connections
		// QueueLength bounds the waiting calls; at least 1. A class without a
		// waiting call may add one beyond it, so that no class is kept out.
		QueueLength int
		// AgeingMillis bounds the time for which a class with waiting calls is
		// passed over by classes that go first.
		AgeingMillis clock.Millis
		// ActionEvery keeps a share for actions: while one waits, at least each
		// ActionEvery-th start is an action. 0 keeps none.
		ActionEvery int
		// RunMillis is the expected run time of a class without a finished call.
		RunMillis clock.Millis
		// OccupiedMillis bounds how long an announced slot counts as occupied.
		OccupiedMillis clock.Millis

		// running maps each running call to its class.
		running map[ident.RequestID]model.Class
		// queues holds the waiting calls of each class, the next one first.
		queues [classes][]waiting
		// served is when each class last started a call or began to wait.
		served [classes]clock.Millis
		// others counts the starts of other classes since the last action.
		others int
		// run is the moving average of each class's run time; 0 before the first.
		run [classes]clock.Millis
		// actions is the memory of the returned slices.
		actions []Action
		// occupied counts slots held by calls that an earlier gate started.
		occupied      int
		occupiedUntil clock.Millis
		draining      bool
		// drainedSent is whether Drained was returned for this drain.
		drainedSent bool
	}
)

// Arrive asks for a slot. The call is started, refused or queued; a queued call
// gets its action from a later call of any method. An id that already runs or
// waits is ignored, since starting it would run the request twice.
func (g *Gate) Arrive(now clock.Millis, c Call) []Action {
	actions := g.advance(now, g.buffer())
	switch {
	case g.holds(c.ID):
		return actions
	case g.draining:
		return append(actions, refuse(c.ID, ReasonDraining))
	case now >= c.Deadline:
		return append(actions, refuse(c.ID, ReasonExpired))
	case g.free() > 0:
		g.start(now, c)
		return append(actions, Action{Kind: Start, ID: c.ID, Reason: ReasonFree})
	case now+g.wait(c) > c.Deadline:
		return append(actions, refuse(c.ID, ReasonWait))
	}
	return g.enqueue(now, c, actions)
}

// Finish ends a running call; took is its run time. An unknown id is ignored.
func (g *Gate) Finish(now clock.Millis, id ident.RequestID, took clock.Millis) []Action {
	class, ok := g.running[id]
	if !ok {
		return nil
	}
	delete(g.running, id)
	if g.run[class] == 0 {
		g.run[class] = took
	}
	g.run[class] += runWeight * (took - g.run[class])
	return g.advance(now, g.buffer())
}

// Cancel withdraws a waiting call, which is refused. A running call keeps its
// slot until Finish.
func (g *Gate) Cancel(now clock.Millis, id ident.RequestID) []Action {
	for class, q := range g.queues {
		for i, w := range q {
			if w.ID == id {
				g.queues[class] = slices.Delete(q, i, i+1)
				return g.advance(now, append(g.buffer(), refuse(id, ReasonCancelled)))
			}
		}
	}
	return nil
}

// Tick drops expired calls and releases announced slots that have expired. It
// is due at Next.
func (g *Gate) Tick(now clock.Millis) []Action {
	return g.advance(now, g.buffer())
}

// Next returns the instant of the next due Tick, or clock.Forever.
func (g *Gate) Next() clock.Millis {
	next := clock.Forever
	if g.occupied > 0 {
		next = g.occupiedUntil
	}
	for _, q := range g.queues {
		if len(q) > 0 {
			next = min(next, q[0].Deadline)
		}
	}
	return next
}

// Drain refuses waiting and new calls. Drained follows when the last running
// call has ended, at once if none runs. A repeated drain changes nothing.
func (g *Gate) Drain(now clock.Millis) []Action {
	g.draining = true
	actions := g.buffer()
	for class, q := range g.queues {
		for _, w := range q {
			actions = append(actions, refuse(w.ID, ReasonDraining))
		}
		g.queues[class] = nil
	}
	return g.advance(now, actions)
}

// Reopen ends a drain, for a target that announces itself again.
func (g *Gate) Reopen(now clock.Millis) []Action {
	g.draining, g.drainedSent = false, false
	return g.advance(now, g.buffer())
}

// Announce sets the requests that the target runs by its own count, of which
// those that this gate did not start occupy slots.
func (g *Gate) Announce(now clock.Millis, inFlight int) []Action {
	foreign := max(inFlight-len(g.running), min(inFlight, g.occupied), 0)
	g.occupied, g.occupiedUntil = foreign, now+g.OccupiedMillis
	return g.advance(now, g.buffer())
}

// Renew lowers the announced slots to the target's present count. It never
// raises them: what the count holds beyond them was started by this gate.
func (g *Gate) Renew(now clock.Millis, inFlight int) []Action {
	g.occupied = min(g.occupied, max(inFlight, 0))
	return g.advance(now, g.buffer())
}

// Resize sets the limits of another release or target. Running calls beyond
// the new limits continue.
func (g *Gate) Resize(now clock.Millis, slots ident.Slots, connections ident.Connections) []Action {
	g.Slots, g.Connections = slots, connections
	return g.advance(now, g.buffer())
}

// Load returns the free slots and the queue's length.
func (g *Gate) Load() Load {
	free := g.free()
	if g.draining {
		free = 0
	}
	return Load{Free: max(free, 0), Queued: g.queued()}
}

// Occupied returns the slots in use: running and announced calls.
func (g *Gate) Occupied() int {
	return len(g.running) + g.occupied
}

// Running returns the number of running calls that this gate started.
func (g *Gate) Running() int {
	return len(g.running)
}

// buffer returns the memory for the actions of one call.
func (g *Gate) buffer() []Action {
	if g.actions == nil {
		g.actions = make([]Action, 0, actionRoom)
	}
	return g.actions[:0]
}

// advance drops what has expired, starts what has a slot and reports a
// completed drain.
func (g *Gate) advance(now clock.Millis, actions []Action) []Action {
	if g.occupied > 0 && now >= g.occupiedUntil {
		g.occupied = 0
	}
	if g.queued() > 0 {
		actions = g.expire(now, actions)
	}
	for g.free() > 0 && g.queued() > 0 {
		class, at, reason := g.next(now)
		c := g.queues[class][at].Call
		g.queues[class] = slices.Delete(g.queues[class], at, at+1)
		g.start(now, c)
		actions = append(actions, Action{Kind: Start, ID: c.ID, Reason: reason})
	}
	if g.draining && !g.drainedSent && len(g.running) == 0 {
		g.drainedSent = true
		actions = append(actions, Action{Kind: Drained})
	}
	return actions
}

// expire refuses the waiting calls whose deadline has passed.
func (g *Gate) expire(now clock.Millis, actions []Action) []Action {
	for class, q := range g.queues {
		// A queue is in order of deadline, so the expired calls lead it.
		n := 0
		for n < len(q) && now >= q[n].Deadline {
			actions = append(actions, refuse(q[n].ID, ReasonExpired))
			n++
		}
		g.queues[class] = slices.Delete(q, 0, n)
	}
	return actions
}

// next returns the class and the place of the call to start: an action if its
// share is owed, else the longest waiting call of a class that reached the ageing
// bound, else the earliest deadline of the first class. At least one call waits.
func (g *Gate) next(now clock.Millis) (class, at int, reason string) {
	if g.ActionEvery > 0 && g.others >= g.ActionEvery-1 && len(g.queues[model.Action]) > 0 {
		return int(model.Action), 0, ReasonShare
	}
	first, aged := -1, -1
	for class, q := range g.queues {
		if len(q) == 0 {
			continue
		}
		if first < 0 {
			first = class
		}
		if now-g.served[class] >= g.AgeingMillis && (aged < 0 || g.served[class] < g.served[aged]) {
			aged = class
		}
	}
	if aged < 0 || aged == first {
		return first, 0, ReasonQueued
	}
	oldest := 0
	for i, w := range g.queues[aged] {
		if w.arrived < g.queues[aged][oldest].arrived {
			oldest = i
		}
	}
	return aged, oldest, ReasonAged
}

// enqueue adds c to its queue; a full queue refuses c or a call that goes later.
func (g *Gate) enqueue(now clock.Millis, c Call, actions []Action) []Action {
	if g.queued() >= g.QueueLength && len(g.queues[c.Class]) > 0 {
		victim, ok := g.displace(c.Class)
		if !ok {
			return append(actions, refuse(c.ID, ReasonFull))
		}
		actions = append(actions, refuse(victim, ReasonDisplaced))
	}
	q := g.queues[c.Class]
	if len(q) == 0 {
		g.served[c.Class] = now
	}
	at, _ := slices.BinarySearchFunc(q, c.Deadline, func(w waiting, d clock.Millis) int {
		// Equal deadlines keep the order of arrival.
		return cmp.Or(cmp.Compare(w.Deadline, d), -1)
	})
	g.queues[c.Class] = slices.Insert(q, at, waiting{Call: c, arrived: now})
	return actions
}

// displace removes the last call of the last class that goes after class. A
// class keeps its only waiting call, so that it reaches its ageing bound.
func (g *Gate) displace(class model.Class) (ident.RequestID, bool) {
	for later := classes - 1; later > int(class); later-- {
		if q := g.queues[later]; len(q) > 1 {
			victim := q[len(q)-1].ID
			g.queues[later] = q[:len(q)-1]
			return victim, true
		}
	}
	return "", false
}

// start gives c a slot.
func (g *Gate) start(now clock.Millis, c Call) {
	if g.running == nil {
		g.running = make(map[ident.RequestID]model.Class)
	}
	g.running[c.ID] = c.Class
	g.served[c.Class] = now
	g.others++
	if c.Class == model.Action {
		g.others = 0
	}
}

// wait returns how long c would wait: the calls ahead of it and the running
// ones, spread over the slots.
func (g *Gate) wait(c Call) clock.Millis {
	limit := g.limit() - g.occupied
	if limit <= 0 {
		return 0 // announced slots free themselves; the deadline bounds the wait
	}
	// The running calls end one run time apart on average.
	var work clock.Millis
	for _, class := range g.running {
		work += g.expected(class) / clock.Millis(len(g.running))
	}
	own := 0
	for own < len(g.queues[c.Class]) && g.queues[c.Class][own].Deadline <= c.Deadline {
		own++
	}
	work += clock.Millis(own) * g.expected(c.Class)
	for class := range model.Class(classes) {
		work += clock.Millis(g.ahead(class, c.Class, own)) * g.expected(class)
	}
	return work / clock.Millis(limit)
}

// ahead returns how many waiting calls of class start before a new call of another
// class that has own calls of its class before it.
func (g *Gate) ahead(class, of model.Class, own int) int {
	queued := len(g.queues[class])
	switch {
	case class == of:
		return 0
	case g.ActionEvery > 1 && of == model.Action && class < of:
		return min(queued, (own+1)*(g.ActionEvery-1))
	case g.ActionEvery > 1 && of < model.Action && class == model.Action:
		return min(queued, own/(g.ActionEvery-1)+1)
	case class < of:
		return queued
	}
	return 0
}

// expected returns the expected run time of a class.
func (g *Gate) expected(class model.Class) clock.Millis {
	if g.run[class] > 0 {
		return g.run[class]
	}
	return g.RunMillis
}

// limit returns the number of calls that may run at the same time.
func (g *Gate) limit() int {
	return min(int(g.Slots), int(g.Connections))
}

// free returns the free slots; negative after the limits have shrunk.
func (g *Gate) free() int {
	return g.limit() - g.Occupied()
}

// queued returns the number of waiting calls.
func (g *Gate) queued() int {
	n := 0
	for _, q := range g.queues {
		n += len(q)
	}
	return n
}

// holds reports whether a call with that id runs or waits.
func (g *Gate) holds(id ident.RequestID) bool {
	if _, ok := g.running[id]; ok {
		return true
	}
	for _, q := range g.queues {
		for _, w := range q {
			if w.ID == id {
				return true
			}
		}
	}
	return false
}

// refuse returns the action that refuses a call.
func refuse(id ident.RequestID, reason string) Action {
	return Action{Kind: Refuse, ID: id, Reason: reason}
}
