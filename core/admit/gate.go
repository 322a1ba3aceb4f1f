package admit

import (
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
	// ReasonBusy is a refusal of a call that looks for a free slot.
	ReasonBusy = "no free slot soon, and the call looks for one"
	// ReasonCancelled is a refusal of a waiting call that its caller gave up.
	ReasonCancelled = "cancelled while waiting"
)

const (
	// ByClass starts waiting calls by class, and within a class by deadline.
	ByClass Order = iota
	// ByGoal starts waiting calls by rank, and refuses at once what would wait
	// beyond its goal.
	ByGoal
)

const (
	// actionRoom is the number of actions that need no new memory.
	actionRoom = 16
	// lookShare is the part of the time to its goal that a call which looks for a
	// free slot may wait for one. A short wait costs less than the way to another
	// failure domain.
	lookShare = 0.15
	// runWeight is the weight of the newest run time in its moving average.
	runWeight = 0.1
)

type (
	// Kind says what an action asks for.
	Kind uint8

	// Order names the policy of the queue.
	Order uint8

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
		// Rank orders the calls of a ByGoal gate; the lower one goes first.
		Rank Rank
		// Goal is the instant by which the caller hopes for an answer; 0 if it
		// states none.
		Goal clock.Millis
		// Deadline is the instant after which an answer is worthless.
		Deadline clock.Millis
		// Looks refuses the call unless a slot is free now or soon.
		Looks bool
	}

	// queue holds the waiting calls of a gate.
	queue interface {
		// push queues c, or refuses it or others in its favour.
		push(now clock.Millis, c Call, actions []Action) []Action
		// pop removes the call to start next; at least one call waits.
		pop(now clock.Millis) (Call, string)
		// expire refuses the calls that must not wait any longer.
		expire(now clock.Millis, actions []Action) []Action
		// wait returns how long c would wait behind the calls that go before it.
		wait(c Call) clock.Millis
		// remove removes a call and reports whether it waited.
		remove(id ident.RequestID) bool
		// clear removes and refuses every call.
		clear(actions []Action, reason string) []Action
		// started and finished tell of a call in a slot.
		started(now clock.Millis, c Call)
		finished(c Call, took clock.Millis)
		// next returns the instant at which expire has something to do.
		next() clock.Millis
		size() int
		has(id ident.RequestID) bool
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
		// Order is the policy of the queue.
		Order Order
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

		// running holds the running calls.
		running map[ident.RequestID]Call
		// waiting is created with the first call.
		waiting queue
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
	c.Rank = min(c.Rank, LastRank)
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
	case c.Looks && g.queue().wait(c) > lookShare*(c.goal()-now):
		return append(actions, refuse(c.ID, ReasonBusy))
	}
	return g.queue().push(now, c, actions)
}

// Finish ends a running call; took is its run time. An unknown id is ignored.
func (g *Gate) Finish(now clock.Millis, id ident.RequestID, took clock.Millis) []Action {
	c, ok := g.running[id]
	if !ok {
		return nil
	}
	delete(g.running, id)
	g.queue().finished(c, took)
	return g.advance(now, g.buffer())
}

// Cancel withdraws a waiting call, which is refused. A running call keeps its
// slot until Finish.
func (g *Gate) Cancel(now clock.Millis, id ident.RequestID) []Action {
	if !g.queue().remove(id) {
		return nil
	}
	return g.advance(now, append(g.buffer(), refuse(id, ReasonCancelled)))
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
	return min(next, g.queue().next())
}

// Drain refuses waiting and new calls. Drained follows when the last running
// call has ended, at once if none runs. A repeated drain changes nothing.
func (g *Gate) Drain(now clock.Millis) []Action {
	g.draining = true
	return g.advance(now, g.queue().clear(g.buffer(), ReasonDraining))
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
		actions = g.waiting.expire(now, actions)
	}
	for g.free() > 0 && g.queued() > 0 {
		c, reason := g.waiting.pop(now)
		g.start(now, c)
		actions = append(actions, Action{Kind: Start, ID: c.ID, Reason: reason})
	}
	if g.draining && !g.drainedSent && len(g.running) == 0 {
		g.drainedSent = true
		actions = append(actions, Action{Kind: Drained})
	}
	return actions
}

// start gives c a slot.
func (g *Gate) start(now clock.Millis, c Call) {
	if g.running == nil {
		g.running = make(map[ident.RequestID]Call)
	}
	g.running[c.ID] = c
	g.queue().started(now, c)
}

// queue returns the waiting calls under the gate's order.
func (g *Gate) queue() queue {
	if g.waiting == nil {
		if g.Order == ByGoal {
			g.waiting = &goalQueue{gate: g}
		} else {
			g.waiting = &classQueue{gate: g}
		}
	}
	return g.waiting
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
	return g.queue().size()
}

// holds reports whether a call with that id runs or waits.
func (g *Gate) holds(id ident.RequestID) bool {
	if _, ok := g.running[id]; ok {
		return true
	}
	return g.queue().has(id)
}

// refuse returns the action that refuses a call.
func refuse(id ident.RequestID, reason string) Action {
	return Action{Kind: Refuse, ID: id, Reason: reason}
}
