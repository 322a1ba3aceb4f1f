package admit

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/option"
)

const (
	// ByClass starts waiting calls by class, and within a class by deadline. The class
	// with the lowest value has the highest priority.
	ByClass Order = iota
	// ByGoal starts waiting calls by rank, and within a rank by goal. It refuses
	// calls at once that would miss their goals, except for a few that may use idle
	// slots.
	ByGoal
)

const (
	// initialActionCapacity is the number of actions that a method returns without
	// an allocation.
	initialActionCapacity = 16
	// failFastShare is the share of the time to its goal that a call with FailFast
	// may wait for a slot. A short wait costs less than the round trip to another
	// failure domain.
	failFastShare = 0.15
	// runWeight is the weight of the newest run time in its moving average.
	runWeight = 0.1
)

type (
	// Order is the policy by which waiting calls are ordered and refused.
	Order uint8

	// Call is a request that asks for a slot.
	Call struct {
		ID    ident.RequestID
		Class model.Class
		// Route is the name of the request's route.
		Route ident.RouteName
		// Rank orders the calls of a ByGoal gate; the lower one goes first.
		Rank Rank
		// Goal is the instant by which the call should be answered; 0 if it has no
		// response-time goal.
		Goal clock.Millis
		// Deadline is the instant after which the caller no longer waits for an answer;
		// the call is never started then.
		Deadline clock.Millis
		// FailFast refuses the call at once unless a slot is free now or soon.
		FailFast bool
		// Team is the team of the caller; empty without one. The teams whose calls wait at
		// a ByGoal gate share its slots evenly within a rank.
		Team ident.TeamName

		// charged is the expected run time for which the team was charged at the start.
		charged clock.Millis
		// paceAtStart is the value of pace.relative when the call started.
		paceAtStart float64
	}

	// queue holds the waiting calls of a gate in the gate's Order.
	queue interface {
		// push queues c, refuses c, or refuses another call in favour of c.
		push(now clock.Millis, c Call, actions []Action) []Action
		// pop removes the call to start next and returns it with the reason of the
		// choice; at least one call must wait.
		pop(now clock.Millis) (Call, string)
		// expire refuses the calls that must not wait any longer.
		expire(now clock.Millis, actions []Action) []Action
		// expectedWait returns how long c would wait for a slot.
		expectedWait(now clock.Millis, c Call) clock.Millis
		// remove removes a waiting call and reports whether it was queued.
		remove(id ident.RequestID) bool
		// clear removes and refuses every call.
		clear(actions []Action, reason string) []Action
		// started records that c got a slot and returns the run time that it is charged
		// with; finished records that it ran for took and freed the slot.
		started(now clock.Millis, c Call) clock.Millis
		finished(c Call, took clock.Millis)
		// nextExpiry returns the instant at which expire is due, or clock.Forever.
		nextExpiry() clock.Millis
		size() int
		has(id ident.RequestID) bool
	}

	// Gate admits requests to one target. It is not safe for concurrent use: its
	// owner serializes the method calls and sets the exported fields before the first
	// one. The returned actions are valid until the next method call.
	//
	// Invariants: no start exceeds the target's limit of requests per second, or makes
	// running plus announced calls exceed the smaller of Slots and Connections; every call that arrives gets exactly one Start or
	// Refuse; no call starts during a drain.
	Gate struct {
		// Order is the order of the waiting calls.
		Order Order
		// Slots is the number of requests that the target runs at the same time.
		Slots ident.Slots
		// Connections is the number of connections that the target accepts; each
		// running call uses one.
		Connections ident.Connections
		// QueueLength bounds the waiting calls; at least 1. Under ByClass, a class
		// without a waiting call may add one beyond it, so that no class is starved
		// by a full queue.
		QueueLength int
		// AgeingMillis bounds the time for which a class with waiting calls is
		// passed over in favour of higher-priority classes.
		AgeingMillis clock.Millis
		// ActionEvery reserves a share of the starts for actions: while one waits, at
		// least every ActionEvery-th start is an action. 0 reserves none.
		ActionEvery int
		// RunMillis is the expected run time of a class or rank until one of its calls
		// has finished.
		RunMillis clock.Millis
		// OccupiedMillis bounds the time for which an announced slot counts as
		// occupied.
		OccupiedMillis clock.Millis
		// Egress refuses calls whose answers the link cannot send in time; nil bounds
		// nothing.
		Egress *Egress

		// running holds the running calls.
		running map[ident.RequestID]Call
		// rate bounds the starts by the limit that the target stated.
		rate rate
		// pace scales the expected run times by what the target states.
		pace pace
		// waiting is nil until queue creates it.
		waiting queue
		// actions is the reused buffer of the returned slices.
		actions []Action
		// announced counts the slots that the target reports as occupied by calls
		// which this gate did not start, such as those of an earlier incarnation. They
		// expire at announcedUntil.
		announced      int
		announcedUntil clock.Millis
		draining       bool
		// drainedSent reports whether Drained was returned for this drain.
		drainedSent bool
	}
)

// Arrive starts, refuses or queues c. The action for a queued call is returned by a
// later call of any method. An id that already runs or waits is ignored, since
// starting it would run the request twice.
func (g *Gate) Arrive(now clock.Millis, c Call) []Action {
	actions := g.advance(now, g.actionBuffer())
	c.Rank = min(c.Rank, LastRank)
	switch {
	case g.holds(c.ID):
		return actions
	case g.draining:
		return append(actions, refuse(c.ID, ReasonDraining))
	case now >= c.Deadline:
		return append(actions, refuse(c.ID, ReasonExpired))
	case g.Egress.bounds(&c) && !g.Egress.admits(now, &c, g.slotWait(now, c), g.RunMillis):
		return append(actions, refuse(c.ID, ReasonLink))
	case g.free() > 0:
		g.start(now, c)
		return append(actions, Action{Kind: Start, ID: c.ID, Reason: ReasonFree})
	case c.FailFast && g.queue().expectedWait(now, c) > failFastShare*(c.effectiveGoal()-now):
		return append(actions, refuse(c.ID, ReasonNoFreeSlot))
	}
	g.Egress.queued(&c)
	actions = g.queue().push(now, c, actions)
	g.Egress.leftRefused(actions)
	return actions
}

// slotWait returns how long an arriving call would wait for a slot.
func (g *Gate) slotWait(now clock.Millis, c Call) clock.Millis {
	if g.free() > 0 {
		return 0
	}
	return g.queue().expectedWait(now, c)
}

// Finish releases the slot of a call that ran for took. An unknown id is ignored.
func (g *Gate) Finish(now clock.Millis, id ident.RequestID, took clock.Millis) []Action {
	c, ok := g.running[id]
	if !ok {
		return nil
	}
	delete(g.running, id)
	g.queue().finished(c, took)
	g.Egress.finished(id, took)
	return g.advance(now, g.actionBuffer())
}

// Cancel refuses a waiting call. A running call keeps its slot until Finish.
func (g *Gate) Cancel(now clock.Millis, id ident.RequestID) []Action {
	if !g.queue().remove(id) {
		return nil
	}
	return g.advance(now, append(g.actionBuffer(), refuse(id, ReasonCancelled)))
}

// Tick refuses expired calls and releases expired announced slots. It is due at Next.
func (g *Gate) Tick(now clock.Millis) []Action {
	return g.advance(now, g.actionBuffer())
}

// Next returns the instant of the next due Tick, or clock.Forever.
func (g *Gate) Next() clock.Millis {
	next := clock.Forever
	if g.announced > 0 {
		next = g.announcedUntil
	}
	if g.queued() > 0 {
		next = min(next, g.rate.nextToken())
	}
	return min(next, g.queue().nextExpiry())
}

// Drain refuses waiting and new calls. Drained is returned when the last running call
// has ended, at once if none runs. A repeated Drain has no effect.
func (g *Gate) Drain(now clock.Millis) []Action {
	g.draining = true
	return g.advance(now, g.queue().clear(g.actionBuffer(), ReasonDraining))
}

// Reopen ends a drain, because the target has registered again.
func (g *Gate) Reopen(now clock.Millis) []Action {
	g.draining, g.drainedSent = false, false
	return g.advance(now, g.actionBuffer())
}

// Announce accepts the number of requests that the target itself counts as running.
// Those that this gate did not start occupy slots for at most OccupiedMillis.
func (g *Gate) Announce(now clock.Millis, inFlight int) []Action {
	external := max(inFlight-len(g.running), min(inFlight, g.announced), 0)
	g.announced, g.announcedUntil = external, now+g.OccupiedMillis
	return g.advance(now, g.actionBuffer())
}

// Renew lowers the announced slots to the target's current count. It never raises
// them: any further requests in the count were started by this gate.
func (g *Gate) Renew(now clock.Millis, inFlight int) []Action {
	g.announced = min(g.announced, max(inFlight, 0))
	return g.advance(now, g.actionBuffer())
}

// Resize sets new limits after a change of the release or target. Running calls in
// excess of them continue.
func (g *Gate) Resize(now clock.Millis, slots ident.Slots, connections ident.Connections) []Action {
	g.Slots, g.Connections = slots, connections
	return g.advance(now, g.actionBuffer())
}

// SetLimit applies the limit of requests per second that the target stated, or stated no
// longer, in an answer that arrived at now to a request that was sent at sentAt or later.
func (g *Gate) SetLimit(now, sentAt clock.Millis, limit option.Option[float64]) []Action {
	g.rate.state(now, sentAt, limit)
	return g.advance(now, g.actionBuffer())
}

// Limit returns the limit of requests per second that the gate applies.
func (g *Gate) Limit() option.Option[float64] {
	if g.rate.perSecond == 0 {
		return option.None[float64]()
	}
	return option.Some(g.rate.perSecond)
}

// ResetLimit removes the limit, because another target takes the place of the present
// one. No call starts before the next event.
func (g *Gate) ResetLimit() {
	g.rate = rate{}
}

// Load returns the number of calls that may start now, 0 during a drain, and the
// queue's length.
func (g *Gate) Load() Load {
	free := g.free()
	if g.draining {
		free = 0
	}
	return Load{Free: max(free, 0), Queued: g.queued()}
}

// Occupied returns the number of slots in use, by running and by announced calls.
func (g *Gate) Occupied() int {
	return len(g.running) + g.announced
}

// Running returns the number of running calls that this gate started.
func (g *Gate) Running() int {
	return len(g.running)
}

// actionBuffer returns the empty buffer for the actions of one method call.
func (g *Gate) actionBuffer() []Action {
	if g.actions == nil {
		g.actions = make([]Action, 0, initialActionCapacity)
	}
	return g.actions[:0]
}

// advance refuses expired calls, starts waiting calls on free slots and reports a
// completed drain.
func (g *Gate) advance(now clock.Millis, actions []Action) []Action {
	if g.announced > 0 && now >= g.announcedUntil {
		g.announced = 0
	}
	g.rate.refill(now)
	g.pace.refresh(now)
	if g.queued() > 0 {
		actions = g.waiting.expire(now, actions)
	}
	for g.free() > 0 && g.queued() > 0 {
		c, reason := g.waiting.pop(now)
		if g.Egress.bounds(&c) && !g.Egress.mayStart(now, &c, g.RunMillis) {
			actions = append(actions, refuse(c.ID, ReasonLink))
			continue // the slot is for the next call
		}
		g.start(now, c)
		actions = append(actions, Action{Kind: Start, ID: c.ID, Reason: reason})
	}
	if g.draining && !g.drainedSent && len(g.running) == 0 {
		g.drainedSent = true
		actions = append(actions, Action{Kind: Drained})
	}
	g.Egress.leftRefused(actions)
	return actions
}

// start records that c occupies a slot.
func (g *Gate) start(now clock.Millis, c Call) {
	if g.running == nil {
		g.running = make(map[ident.RequestID]Call)
	}
	c.paceAtStart = g.pace.relative
	g.rate.take()
	c.charged = g.queue().started(now, c)
	g.running[c.ID] = c
	g.Egress.started(&c)
}

// queue returns the queue of the gate's order and creates it at first use.
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

// free returns the number of calls that may start now; negative after the limits were
// lowered.
func (g *Gate) free() int {
	return min(g.limit()-g.Occupied(), g.rate.available())
}

// waitReason returns ReasonLimit if calls wait for the target's limit of requests, and
// otherwise the given reason for the refusal of a call that would wait for too long.
func (g *Gate) waitReason(reason string) string {
	if g.rate.available() == 0 {
		return ReasonLimit
	}
	return reason
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
