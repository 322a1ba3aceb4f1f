package grant

import (
	"math/rand/v2"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// waitMillis bounds the wait of a request for a Reply. It leaves the caller most of
	// a goal of 500 ms.
	waitMillis = 200 * clock.Millis(1)
	// maxWaiters bounds the waiting requests of a team at a node.
	maxWaiters = 256
	// maxUsages bounds the teams that a node keeps. A release has fewer.
	maxUsages = 16384
)

// Outcomes of Take.
const (
	// Refused means that the request is beyond the cap.
	Refused Outcome = iota
	// Admitted means that a granted token was taken.
	Admitted
	// AdmittedSafe means that the safe part admitted the request.
	AdmittedSafe
	// Waiting means that the Result of the ticket follows.
	Waiting
)

type (
	// Outcome is the outcome of a request for one token.
	Outcome uint8

	// Decision is the answer to a request for one token.
	Decision struct {
		Outcome Outcome
		// RetryMillis is the time after which a request may be admitted, if Refused.
		RetryMillis clock.Millis
		// Ticket identifies the request if Waiting.
		Ticket uint64
	}

	// Result is the decision about a request that waited.
	Result struct {
		Ticket   uint64
		Decision Decision
	}

	// node takes tokens for the requests at one node.
	node struct {
		config  Config
		members *members
		random  *rand.Rand
		run     uint64
		version ident.Version
		usages  map[ident.TeamName]*usage
		links   map[ident.NodeID]*link
		tickets uint64
		// mayWait is set if requests may be waiting. Without any, the timers run once in a
		// round; checkedAt is when they last ran.
		mayWait   bool
		checkedAt clock.Millis
		// sweptAt is the time of the last search for state that can be dropped.
		sweptAt clock.Millis
		actions []Action
		results []Result
		events  []Event
	}
)

// take decides on a request of a team.
func (n *node) take(now clock.Millis, name ident.TeamName, limits Limits) Decision {
	u := n.usage(now, name, limits)
	u.arrive(now)
	u.lapse(now)
	n.place(u)
	if u.tokens > 0 {
		u.tokens--
		u.used++
		u.lastSafe = false
		if u.link != nil && u.low(now) {
			n.ask(now, u.link, false)
		}
		return Decision{Outcome: Admitted}
	}
	if u.link == nil || u.link.failed {
		u.arrived = 0 // a coordinator must not take old requests for present demand
		if u.link != nil {
			n.ask(now, u.link, true)
		}
		return n.takeSafe(now, u)
	}
	if now < u.holdUntil {
		if u.warming {
			return n.takeSafe(now, u)
		}
		return n.refuse(now, u)
	}
	if len(u.waiters) >= maxWaiters {
		return n.refuse(now, u)
	}
	n.tickets++
	n.mayWait = true
	u.waiters = append(u.waiters, waiter{ticket: n.tickets, until: now + waitMillis})
	n.ask(now, u.link, true)
	return Decision{Outcome: Waiting, Ticket: n.tickets}
}

// usage returns the state of a team.
func (n *node) usage(now clock.Millis, name ident.TeamName, limits Limits) *usage {
	u := n.usages[name]
	if u == nil {
		if len(n.usages) >= maxUsages {
			n.sweep(now, 0)
		}
		u = &usage{name: name, hash: hashOf(name), limits: limits, creditAt: now, takenAt: now}
		n.usages[name] = u
		n.place(u)
		if u.link != nil && u.link.failed {
			u.creditAt = u.link.silentSince
		}
	}
	u.setLimits(limits)
	return u
}

// place finds the coordinator of a team after a change of the members.
func (n *node) place(u *usage) {
	if u.generation == n.members.generation {
		return
	}
	u.generation = n.members.generation
	to, ok := n.members.coordinator(u.hash)
	ok = ok && validTeam(u.name)
	if ok && u.link != nil && u.link.member == to {
		return
	}
	earlier := u.link
	if earlier != nil {
		earlier.remove(u)
		u.link = nil
	}
	if !ok {
		return
	}
	l := n.links[to.Node]
	if l == nil || l.member != to {
		l = &link{member: to}
		n.links[to.Node] = l
	}
	l.add(u)
	u.link = l
	if earlier != nil {
		// The new coordinator knows nothing of what the earlier one handed out.
		u.used, u.safe, u.arrived, u.holdUntil, u.advance = 0, 0, 0, 0, false
		n.events = append(n.events, Event{Kind: CoordinatorChanged, Team: u.name, Node: to.Node})
	}
}

// ask sends a Request unless one is in flight or was sent a moment ago; tick then sends it
// later.
func (n *node) ask(now clock.Millis, l *link, urgent bool) {
	if !l.mayAsk(now, urgent) {
		return
	}
	m := l.ask(now)
	if len(m.Asks) == 0 {
		return
	}
	m.Run, m.Version = n.run, n.version
	n.actions = append(n.actions, Action{To: l.member.Node, Address: l.member.Address, Message: m})
}

// takeSafe decides on a request by the safe part.
func (n *node) takeSafe(now clock.Millis, u *usage) Decision {
	nodes := n.members.nodes(now)
	if u.takeSafe(now, n.config, nodes, n.random) {
		return Decision{Outcome: AdmittedSafe}
	}
	// Another coordinator is found in seconds, so the time of the own safe part is the
	// answer only if it is shorter.
	wait := clock.Millis(1/u.safeRate(nodes)) * clock.Second
	return Decision{Outcome: Refused, RetryMillis: min(max(wait, roundMillis), clock.Second)}
}

// refuse refuses a request. The times of several are spread over the time in which the
// stock can serve them.
func (n *node) refuse(now clock.Millis, u *usage) Decision {
	hold := max(u.holdUntil-now, 0)
	return Decision{Outcome: Refused, RetryMillis: hold + clock.Millis(n.random.Float64())*u.spread}
}

// reply handles a Reply. Only that to the last Request counts: the tokens of an earlier
// one were refunded when the coordinator received the last.
func (n *node) reply(now clock.Millis, from ident.NodeID, m *Message) {
	l := n.links[from]
	if l == nil || m.Run != n.run || m.Sequence != l.sequence || l.silentSince == 0 {
		return
	}
	if l.failed {
		n.events = append(n.events, Event{Kind: CoordinatorAnswers, Node: from})
	}
	l.confirm()
	for i := range m.Grants {
		g := &m.Grants[i]
		u := n.usages[g.Team]
		if u == nil || u.link != l {
			continue
		}
		if g.Declined {
			n.declined(now, u)
			continue
		}
		n.granted(now, u, g)
	}
	if slices.ContainsFunc(l.teams, func(u *usage) bool { return len(u.waiters) > 0 }) {
		n.ask(now, l, true)
	}
}

// granted adds the tokens of a grant and lets waiting requests take them.
func (n *node) granted(now clock.Millis, u *usage, g *Grant) {
	if end := u.link.sentAt + leaseMillis; now < end {
		u.tokens += int(g.Tokens)
		// Tokens of the earlier grant were reported as held and are in the new lease.
		u.leaseEnd = end
	} else {
		u.lapse(now)
	}
	u.holdUntil = 0
	if g.HoldMillis > 0 {
		u.holdUntil = now + g.HoldMillis
	}
	u.spread, u.warming = g.SpreadMillis, g.Warming
	if !u.warming {
		u.credit, u.creditAt = 0, now
	}
	u.advance = u.tokens > len(u.waiters) || u.demand(now) >= 1
	served := 0
	for _, w := range u.waiters {
		if u.tokens == 0 && u.holdUntil <= now {
			break // no answer for this request yet
		}
		served++
		d := Decision{Outcome: Admitted}
		switch {
		case u.tokens > 0:
			u.tokens--
			u.used++
			u.lastSafe = false
		case u.warming:
			d = n.takeSafe(now, u)
		default:
			d = n.refuse(now, u)
		}
		n.results = append(n.results, Result{Ticket: w.ticket, Decision: d})
	}
	u.waiters = append(u.waiters[:0], u.waiters[served:]...)
}

// declined handles a Reply of a node that does not coordinate the team in its own view. The
// views agree again within a moment.
func (n *node) declined(now clock.Millis, u *usage) {
	u.holdUntil, u.spread, u.warming = now+roundMillis, 0, true
	for _, w := range u.waiters {
		n.results = append(n.results, Result{Ticket: w.ticket, Decision: n.takeSafe(now, u)})
	}
	u.waiters = u.waiters[:0]
}
