package grant

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// departureMillis is the time for which a member that left or died is remembered. It
	// is much longer than the window, after which earlier tokens do not matter.
	departureMillis = clock.Minute
	// assumedNodes is the number of nodes that a node without any other member assumes
	// until aloneMillis after its start, when it has not heard of the others yet.
	assumedNodes = 64
	aloneMillis  = 3 * clock.Second
)

type (
	// Member is a live node of the fleet.
	Member struct {
		Node    ident.NodeID
		Address string
	}

	// rankedMember is a member with the hash of its id.
	rankedMember struct {
		Member
		hash uint64
	}

	// departure is a member that is no longer live.
	departure struct {
		hash uint64
		at   clock.Millis
	}

	// members holds what a node knows of the fleet.
	members struct {
		self ident.NodeID
		// selfHash is the hash of self.
		selfHash uint64
		// live holds the live members, self included.
		live []rankedMember
		// known is the number of members that may be live, at least len(live): the live and
		// the dead ones, and those of which this node knows only that they exist.
		known int
		// unreached is the number of live members that probably have no contact with this
		// node.
		unreached int
		// departed holds the members that departed in the last departureMillis.
		departed []departure
		// startedAt is when this node began to take part; it starts anew after a pause
		// and when it returns from the smaller part of a divided fleet.
		startedAt clock.Millis
		// generation counts the changes of live.
		generation uint64
	}
)

// set replaces the members and reports whether live has changed.
func (m *members) set(now clock.Millis, live []Member, known int) bool {
	earlier := make(map[ident.NodeID]rankedMember, len(m.live))
	for _, e := range m.live {
		earlier[e.Node] = e
	}
	wasApart := m.minority() || m.alone(now)
	changed := len(live) != len(m.live)
	next := make([]rankedMember, 0, len(live))
	for _, l := range live {
		e, ok := earlier[l.Node]
		if !ok {
			e.hash = hashOf(l.Node)
		}
		changed = changed || e.Member != l
		delete(earlier, l.Node)
		next = append(next, rankedMember{Member: l, hash: e.hash})
	}
	m.live, m.known = next, max(known, len(next), 1)
	m.forgetDepartures(now)
	for _, e := range earlier {
		m.departed = append(m.departed, departure{hash: e.hash, at: now})
	}
	if wasApart && !m.minority() {
		m.startedAt = now
	}
	if changed {
		m.generation++
	}
	return changed
}

// forgetDepartures drops the departures that are older than departureMillis.
func (m *members) forgetDepartures(now clock.Millis) {
	kept := m.departed[:0]
	for _, d := range m.departed {
		if now-d.at < departureMillis {
			kept = append(kept, d)
		}
	}
	m.departed = kept
}

// coordinator returns the coordinator of a team. It returns false if no member is known.
func (m *members) coordinator(team uint64) (Member, bool) {
	best, highest := -1, uint64(0)
	for i := range m.live {
		if r := rank(team, m.live[i].hash); best < 0 || r > highest {
			best, highest = i, r
		}
	}
	if best < 0 {
		return Member{}, false
	}
	return m.live[best].Member, true
}

// since returns when this node became the coordinator of a team that it coordinates.
func (m *members) since(team uint64) clock.Millis {
	own, at := rank(team, m.selfHash), m.startedAt
	for _, d := range m.departed {
		if d.at > at && rank(team, d.hash) > own {
			at = d.at
		}
	}
	return at
}

// nodes returns the number of nodes among which a cap is divided.
func (m *members) nodes(now clock.Millis) int {
	if m.alone(now) {
		return max(m.known, assumedNodes)
	}
	return max(m.known, 1)
}

// alone reports whether this node knows no other although it may have started too recently
// for that.
func (m *members) alone(now clock.Millis) bool {
	return len(m.live) <= 1 && now-m.startedAt < aloneMillis
}

// minority reports whether the live members are not more than half of the known ones. The
// rest may then have a coordinator that hands out most of the cap.
func (m *members) minority() bool {
	return 2*len(m.live) <= m.known
}

// share returns the part of a cap that a coordinator hands out if silent members have
// ceased to ask it although they are known to be live. Members without contact count as
// silent whether they have asked or not: they may use their safe parts. In a divided
// fleet, the shares of all coordinators and the safe parts of all nodes add up to at most
// 1 + missingTolerance.
func (m *members) share(now clock.Millis, silent int) float64 {
	n := m.nodes(now)
	reached := min(len(m.live), n) - max(silent, m.unreached)
	missing := n - reached
	if 2*reached <= n && n > 1 {
		return safeShare * float64(max(reached, 0)) / float64(n)
	}
	return min(1, 1+missingTolerance-safeShare*float64(missing)/float64(n))
}
