package grant

import (
	"math/rand/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// demandMillis is the time constant of the measured rate of requests at a node, and
	// surgeMillis a shorter one that notices a sudden rise; surgeRequests is the weighted
	// count from which the latter is used.
	demandMillis  = 2 * clock.Second
	surgeMillis   = 250 * clock.Millis(1)
	surgeRequests = 3
	// leastCount is the weighted count that the demand is based on at least.
	leastCount = 0.01
	// refillMillis is the time before the tokens run out, or lapse, at which a node asks
	// for more. It covers a round trip and the wait for a round.
	refillMillis = 150 * clock.Millis(1)
	// quietMillis is the shortest time without requests after which a node gives back its
	// tokens, and quietArrivals that time in requests that it should have received.
	// quietSurgeMillis is the shortest time while demand is above the cap: the coordinator
	// then soon takes a node that does not ask for unreachable.
	quietMillis      = 1 * clock.Second
	quietSurgeMillis = 400 * clock.Millis(1)
	quietArrivals    = 4
	// teamIdleMillis is the time without requests after which a team's state is dropped.
	teamIdleMillis = 10 * clock.Second
)

type (
	// usage is the state of a team at a node.
	usage struct {
		name   ident.TeamName
		hash   uint64
		limits Limits
		// link is the connection to the coordinator; nil if no member is known. It is
		// valid for the members of generation.
		link       *link
		generation uint64
		// tokens may be used until leaseEnd.
		tokens   int
		leaseEnd clock.Millis
		// used, safe and arrived are the counts of Ask that no Reply has confirmed.
		used, safe, arrived int
		// slow and fast are exponentially weighted counts of requests at time takenAt.
		slow, fast float64
		takenAt    clock.Millis
		// waiters wait for the next Reply, in order of arrival.
		waiters []waiter
		// holdUntil is the time before which the coordinator has no token, and spread the
		// time after that over which refused requests are distributed.
		holdUntil, spread clock.Millis
		warming           bool
		// advance is set while the coordinator counts on further Requests.
		advance bool
		// credit is the unused safe part at time creditAt. It accrues from the last Reply of
		// the coordinator.
		credit   float64
		creditAt clock.Millis
		// lastSafe is set if the last request was admitted by the safe part.
		lastSafe bool
	}

	// waiter is a request that waits for a token.
	waiter struct {
		ticket uint64
		until  clock.Millis
	}
)

// arrive counts a request.
func (u *usage) arrive(now clock.Millis) {
	u.slow = u.slow*decay(now-u.takenAt, demandMillis) + 1
	u.fast = u.fast*decay(now-u.takenAt, surgeMillis) + 1
	u.takenAt = now
	u.arrived++
}

// demand returns the expected rate of requests, in requests/s; it is above 0. The last
// request is left out: a rate measured at arrivals would otherwise be too high for a team
// with few requests, whose tokens would lapse.
func (u *usage) demand(now clock.Millis) float64 {
	d := max(u.slow-1, leastCount) * decay(now-u.takenAt, demandMillis) / float64(demandMillis/clock.Second)
	if fast := u.fast * decay(now-u.takenAt, surgeMillis); fast >= surgeRequests {
		d = max(d, fast/float64(surgeMillis/clock.Second))
	}
	return d
}

// quiet reports whether the coordinator counts on Requests of the node although no more
// requests arrive.
func (u *usage) quiet(now clock.Millis) bool {
	if !u.advance {
		return false
	}
	shortest := quietMillis
	if u.spread > 0 {
		shortest = quietSurgeMillis
	}
	return now-u.takenAt >= max(shortest, quietArrivals*demandMillis/clock.Millis(u.slow))
}

// lapse drops the tokens at the end of their lease.
func (u *usage) lapse(now clock.Millis) {
	if now >= u.leaseEnd {
		u.tokens = 0
	}
}

// low reports whether it is time to ask for more tokens.
func (u *usage) low(now clock.Millis) bool {
	if now < u.holdUntil {
		return false
	}
	d := u.demand(now)
	if d*float64(advanceMillis/clock.Second) < 1 {
		return false // the node asks for each request
	}
	return float64(u.tokens) <= d*float64(refillMillis/clock.Second) || u.leaseEnd-now < refillMillis
}

// setLimits changes the cap. Tokens of the earlier cap are dropped: they may exceed the
// new one.
func (u *usage) setLimits(l Limits) {
	if l != u.limits {
		u.limits, u.tokens, u.holdUntil, u.credit = l, 0, 0, 0
	}
}

// takeSafe takes a request from the safe part and reports whether it is admitted. A credit
// below one request admits with that probability, since the safe part of a small team at one
// of many nodes would otherwise take seconds to admit one.
func (u *usage) takeSafe(now clock.Millis, c Config, nodes int, random *rand.Rand) bool {
	u.accrueSafe(now, c, nodes)
	switch {
	case u.credit >= 1:
		u.credit--
	case random.Float64() < u.credit:
		u.credit = 0
	default:
		u.credit = 0
		return false
	}
	u.safe++
	u.lastSafe = true
	return true
}

// accrueSafe adds the safe part of the time since the last call.
func (u *usage) accrueSafe(now clock.Millis, c Config, nodes int) {
	limit := safeShare * c.capacity(u.limits) / float64(nodes)
	u.credit = min(u.credit+u.safeRate(nodes)*float64(max(now-u.creditAt, 0)/clock.Second), limit)
	u.creditAt = now
}

// safeRate returns the rate of the safe part, in requests/s.
func (u *usage) safeRate(nodes int) float64 {
	return safeShare * u.limits.Rate / float64(nodes)
}

// giveBack takes back the count of a request that has not reached a target.
func (u *usage) giveBack(now clock.Millis) {
	if u.lastSafe && u.safe > 0 {
		u.safe--
		u.credit++
		return
	}
	u.used--
	if now < u.leaseEnd {
		u.tokens++
	}
}
