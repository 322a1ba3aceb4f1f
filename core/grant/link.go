package grant

import (
	"slices"

	"hickoryrail/core/clock"
)

const (
	// gapMillis is the shortest interval between two Requests to one coordinator while
	// requests wait. Those that arrive in between share a Request.
	gapMillis = 20 * clock.Millis(1)
	// replyMillis is the time after which a Request without a Reply may be repeated. It
	// is long for a round trip because nodes with 0.16 of a core may answer late.
	replyMillis = 200 * clock.Millis(1)
	// failMillis is the time without any Reply after which nodes use the safe part
	// without waiting, and probeMillis the interval between the Requests then.
	failMillis  = 300 * clock.Millis(1)
	probeMillis = 400 * clock.Millis(1)
)

type (
	// link is the exchange of a node with one coordinator.
	link struct {
		member Member
		// teams are those that the coordinator has at this node.
		teams []*usage
		// sequence is the number of the last Request; inFlight is set until its Reply
		// arrives or replyMillis have passed.
		sequence uint64
		inFlight bool
		sentAt   clock.Millis
		// silentSince is when the first of the Requests was sent that have no Reply; 0
		// without one.
		silentSince clock.Millis
		// failed is set while the node uses the safe part.
		failed bool
		// asked holds what the last Request reported.
		asked []reported
	}

	// reported is what a Request reported about a team.
	reported struct {
		usage               *usage
		used, safe, arrived int
	}
)

// add adds a team.
func (l *link) add(u *usage) {
	l.teams = append(l.teams, u)
}

// remove removes a team.
func (l *link) remove(u *usage) {
	if i := slices.Index(l.teams, u); i >= 0 {
		l.teams = slices.Delete(l.teams, i, i+1)
	}
}

// mayAsk reports whether a Request may be sent now. Requests that only ask in advance are
// sent at most once in a round.
func (l *link) mayAsk(now clock.Millis, urgent bool) bool {
	gap := roundMillis
	switch {
	case l.failed:
		gap = probeMillis
	case urgent:
		gap = gapMillis
	}
	if l.inFlight {
		gap = max(gap, replyMillis)
	}
	return l.sequence == 0 || now-l.sentAt >= gap
}

// ask returns the next Request. It reports the teams that need tokens and those that have
// something to report; to a failed coordinator also those in use, so that it is noticed when
// it answers again. Without any team, nothing is to be sent.
func (l *link) ask(now clock.Millis) Message {
	m := Message{Kind: Request}
	l.asked = l.asked[:0]
	for _, u := range l.teams {
		if len(m.Asks) == MaxEntries {
			break
		}
		u.lapse(now)
		closing := len(u.waiters) == 0 && u.quiet(now)
		probe := l.failed && now-u.takenAt < probeMillis
		if len(u.waiters) == 0 && !closing && !probe && (now < u.holdUntil || !u.reports()) {
			continue
		}
		a := Ask{
			Team: u.name, RequestsPerSecond: u.limits.Rate, BurstRequests: u.limits.Burst,
			Held: uint32(u.tokens), Waiting: uint32(len(u.waiters)),
			Arrived: uint32(min(u.arrived, maxCount)), Demand: u.demand(now),
			Used: int32(max(min(u.used, maxCount), -maxCount)), Safe: int32(min(u.safe, maxCount)),
		}
		if closing {
			u.tokens, u.advance = 0, false
			a.Held, a.Demand = 0, 0
		}
		l.asked = append(l.asked, reported{usage: u, used: u.used, safe: u.safe, arrived: u.arrived})
		m.Asks = append(m.Asks, a)
	}
	if len(m.Asks) == 0 {
		return m
	}
	l.sequence++
	m.Sequence = l.sequence
	l.inFlight, l.sentAt = true, now
	if l.silentSince == 0 {
		l.silentSince = now
	}
	return m
}

// reports reports whether there is anything to report about the team.
func (u *usage) reports() bool {
	return u.arrived > 0 || u.used != 0 || u.safe != 0
}

// confirm removes what the last Request reported from the counts.
func (l *link) confirm() {
	for _, r := range l.asked {
		r.usage.used -= r.used
		r.usage.safe -= r.safe
		r.usage.arrived -= r.arrived
	}
	l.asked = l.asked[:0]
	l.inFlight, l.silentSince, l.failed = false, 0, false
}

// expire notes that the last Request has had no Reply in time, and reports whether the
// coordinator counts as failed since now.
func (l *link) expire(now clock.Millis) bool {
	if l.inFlight && now-l.sentAt >= replyMillis {
		l.inFlight = false
	}
	if l.failed || l.silentSince == 0 || now-l.silentSince < failMillis {
		return false
	}
	l.failed = true
	return true
}
