package admit

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// ReasonLink is a refusal of a call whose answer the link could not send by its goal.
	ReasonLink = "link of the target's server cannot send the answer in time"

	// initialAnswerBytes is the expected size of a large answer until one of its route was
	// seen. It is well above the average of 90 KB, because with a size that is too small a
	// gate that has just started admits more than the link can send in time.
	initialAnswerBytes = 256 << 10
	// answerWeight is the weight of the newest answer in the moving averages of its route.
	answerWeight = 0.1
	// arriveShare is the share of the time to its goal by which the answer of an arriving
	// call must be sent. The rest is for answers that are larger than expected, and it makes
	// refusals early: under an overload that lasts, the link is as busy with a shorter queue.
	arriveShare = 0.8
	// sends is the number of links that an answer passes: that of this node, and that of the
	// ingress, which receives the whole answer before it sends it on.
	sends = 2
)

type (
	// Sender sends the answers of a node over its link.
	Sender interface {
		// Backlog returns the bytes of answers that wait to be sent, and the bytes per
		// millisecond that are sent; 0 if the link bounds nothing.
		Backlog() (waiting ident.Bytes, bytesPerMilli float64)
	}

	// Egress decides whether the link of a node can send the answer of one more call in
	// time. It is not safe for concurrent use.
	Egress struct {
		// Sender sends the answers; required.
		Sender Sender

		// routes holds the routes with large answers.
		routes map[ident.RouteName]*largeRoute
		// calls holds the calls of these routes that wait or run at the gate.
		calls map[ident.RequestID]*largeCall
		// refused counts the calls that were refused because of the link.
		refused uint64
	}

	// largeRoute is a route with large answers. Its averages are 0 until a call has ended.
	largeRoute struct {
		bytes float64
		run   clock.Millis
		// waiting and running count the calls at the gate.
		waiting, running int
	}

	// largeCall is a call of a route at the gate.
	largeCall struct {
		route   *largeRoute
		running bool
	}
)

// SetRoutes sets the routes with large answers. The other ones are not bounded.
func (e *Egress) SetRoutes(names []ident.RouteName) {
	routes := make(map[ident.RouteName]*largeRoute, len(names))
	for _, name := range names {
		routes[name] = e.routes[name]
		if routes[name] == nil {
			routes[name] = &largeRoute{}
		}
	}
	e.routes = routes
}

// Answered records the size of the answer of a running call.
func (e *Egress) Answered(id ident.RequestID, size ident.Bytes) {
	if c := e.calls[id]; c != nil {
		c.route.bytes = average(c.route.bytes, float64(size))
	}
}

// Expected returns the bytes of answers that wait to be sent or that calls at the gate
// will cause.
func (e *Egress) Expected() ident.Bytes {
	waiting, _ := e.Sender.Backlog()
	return waiting + ident.Bytes(e.ahead(true))
}

// Refused returns the number of calls that were refused because of the link.
func (e *Egress) Refused() uint64 {
	return e.refused
}

// bounds reports whether a call is of a route with large answers. The methods that take a
// call are for such calls only, except queued and started.
func (e *Egress) bounds(c *Call) bool {
	return e != nil && e.routes[c.Route] != nil
}

// admits reports whether the answer of an arriving call that waits for a slot can be sent
// well before its goal. run is the expected run time until one was measured.
func (e *Egress) admits(now clock.Millis, c *Call, wait, run clock.Millis) bool {
	left := c.effectiveGoal() - now
	return e.sendsBy(now+arriveShare*left, now, c, wait, run, true)
}

// mayStart reports whether the answer of a waiting call can still be sent by its goal.
func (e *Egress) mayStart(now clock.Millis, c *Call, run clock.Millis) bool {
	return e.sendsBy(c.effectiveGoal(), now, c, 0, run, false)
}

// sendsBy reports whether the answer of a call is expected to be sent by an instant, after
// those of the running calls and, if queued is set, of the waiting ones. A call that would
// be late in any case is admitted while the link would be idle without it.
func (e *Egress) sendsBy(by, now clock.Millis, c *Call, wait, run clock.Millis, queued bool) bool {
	waiting, rate := e.Sender.Backlog()
	if rate <= 0 {
		return true
	}
	r := e.routes[c.Route]
	if r.run > 0 {
		run = r.run
	}
	before := clock.Millis((float64(waiting) + e.ahead(queued)) / rate)
	own := clock.Millis(sends * r.size() / rate)
	end := now + max(wait+run, before) + own
	if end <= by || before <= run && end <= c.Deadline {
		return true
	}
	e.refused++
	return false
}

// ahead returns the expected bytes of the answers of the running calls and, if queued is
// set, of the waiting ones.
func (e *Egress) ahead(queued bool) float64 {
	bytes := 0.0
	for _, r := range e.routes {
		n := r.running
		if queued {
			n += r.waiting
		}
		bytes += float64(n) * r.size()
	}
	return bytes
}

// size returns the expected size of an answer.
func (r *largeRoute) size() float64 {
	if r.bytes > 0 {
		return r.bytes
	}
	return initialAnswerBytes
}

// queued records a call that waits for a slot.
func (e *Egress) queued(c *Call) {
	if !e.bounds(c) {
		return
	}
	if e.calls == nil {
		e.calls = make(map[ident.RequestID]*largeCall)
	}
	call := &largeCall{route: e.routes[c.Route]}
	call.route.waiting++
	e.calls[c.ID] = call
}

// started records that a call got a slot.
func (e *Egress) started(c *Call) {
	if !e.bounds(c) {
		return
	}
	if e.calls[c.ID] == nil {
		e.queued(c)
	}
	if call := e.calls[c.ID]; !call.running {
		call.running = true
		call.route.waiting--
		call.route.running++
	}
}

// finished records that a running call ended after took.
func (e *Egress) finished(id ident.RequestID, took clock.Millis) {
	if e == nil {
		return
	}
	if c := e.calls[id]; c != nil {
		c.route.run = clock.Millis(average(float64(c.route.run), float64(took)))
		e.left(id)
	}
}

// left forgets a call that is no longer at the gate.
func (e *Egress) left(id ident.RequestID) {
	c := e.calls[id]
	if c == nil {
		return
	}
	delete(e.calls, id)
	if c.running {
		c.route.running--
	} else {
		c.route.waiting--
	}
}

// leftRefused forgets the calls that actions refuse.
func (e *Egress) leftRefused(actions []Action) {
	if e == nil || len(e.calls) == 0 {
		return
	}
	for _, a := range actions {
		if a.Kind == Refuse {
			e.left(a.ID)
		}
	}
}

// average adds a value to a moving average, which is 0 before the first one.
func average(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + answerWeight*(value-mean)
}
