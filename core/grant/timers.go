package grant

import (
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// tick ends waits that are over, repeats Requests and drops old state.
func (n *node) tick(now clock.Millis) {
	if !n.mayWait && now-n.checkedAt < roundMillis {
		return
	}
	n.checkedAt, n.mayWait = now, false
	for id, l := range n.links {
		if l.expire(now) {
			n.events = append(n.events, Event{Kind: CoordinatorSilent, Node: id})
		}
		urgent, wanted := false, false
		for _, u := range l.teams {
			n.endWaits(now, u)
			urgent = urgent || len(u.waiters) > 0
			n.mayWait = n.mayWait || len(u.waiters) > 0
			wanted = wanted || u.quiet(now)
		}
		if urgent || wanted {
			n.ask(now, l, urgent)
		}
	}
	if now-n.sweptAt >= sweepMillis {
		n.sweep(now, teamIdleMillis)
	}
}

// endWaits decides by the safe part on the requests that have waited for too long.
func (n *node) endWaits(now clock.Millis, u *usage) {
	for len(u.waiters) > 0 && (u.link.failed || u.waiters[0].until <= now) {
		n.results = append(n.results, Result{Ticket: u.waiters[0].ticket, Decision: n.takeSafe(now, u)})
		u.waiters = slices.Delete(u.waiters, 0, 1)
	}
}

// cancel withdraws a waiting request.
func (n *node) cancel(name ident.TeamName, ticket uint64) {
	u := n.usages[name]
	if u == nil {
		return
	}
	u.waiters = slices.DeleteFunc(u.waiters, func(w waiter) bool { return w.ticket == ticket })
}

// sweep drops the teams that have had no request for idle, and links without teams.
func (n *node) sweep(now, idle clock.Millis) {
	n.sweptAt = now
	for name, u := range n.usages {
		if len(u.waiters) > 0 || now-u.takenAt < idle {
			continue
		}
		if u.link != nil {
			u.link.remove(u)
		}
		delete(n.usages, name)
	}
	for id, l := range n.links {
		if len(l.teams) == 0 {
			delete(n.links, id)
		}
	}
}

// membersChanged moves the waiting requests and the teams with tokens to their new
// coordinators.
func (n *node) membersChanged(now clock.Millis) {
	for _, u := range n.usages {
		if len(u.waiters) == 0 {
			continue // the next request finds the coordinator
		}
		n.place(u)
		if u.link == nil {
			for _, w := range u.waiters {
				n.results = append(n.results, Result{Ticket: w.ticket, Decision: n.takeSafe(now, u)})
			}
			u.waiters = u.waiters[:0]
			continue
		}
		n.ask(now, u.link, true)
	}
}
