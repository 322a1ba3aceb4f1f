package grant

import (
	"math"
	"math/rand/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// arrivalMillis is the time constant of the measured rate at which requests of a team
	// arrive at all nodes.
	arrivalMillis = 500 * clock.Millis(1)
	// reserveShare is the share of a round's supply that stays in the stock when demand
	// is above the rate, so that the order of the Requests in a round does not decide.
	reserveShare = 0.5
	// advanceShare is the share of the capacity that nodes may hold in advance. The rest
	// is free for requests at other nodes. Nodes get advanceFill of it, so that the last of
	// them to ask in a round gets as much as the first.
	advanceShare = 0.8
	advanceFill  = 0.8
	// advanceRounding is added before the number of tokens in advance is rounded down.
	advanceRounding = 0.1
	// askMillis is the interval between two Requests for one team that a coordinator can
	// bear, and maxRoundMillis bounds the round that follows from it. Nodes have 0.16 of a
	// core; coding a Request and its Reply takes about 20 us at each end (BenchmarkGrant),
	// without the sockets.
	askMillis      = 5 * clock.Millis(1)
	maxRoundMillis = 800 * clock.Millis(1)
	// rareShare is the number of requests of a node in a round below which the node may ask
	// for each.
	rareShare = 0.5
	// fullRatio is the mean ratio above which the stock covers the demand.
	fullRatio = 0.99
	// maxSpreadMillis bounds SpreadMillis: callers do not wait longer.
	maxSpreadMillis = 2 * clock.Second
	// silentMinMillis and silentMaxMillis bound the time after which a node with demand
	// that asks no more counts as unreachable; silentRounds is that time in intervals
	// between its Requests, and silentArrivals in requests that it should have received.
	silentMinMillis = 600 * clock.Millis(1)
	silentMaxMillis = 1500 * clock.Millis(1)
	silentRounds    = 3
	silentArrivals  = 4
	// silentForgetMillis is the time after which membership has noticed an unreachable
	// node.
	silentForgetMillis = 8 * clock.Second
	// spreadGain is the share of the unused part of a window that is handed out in one
	// window. A team that asks for a little more than its rate settles at spreadGain/(1 +
	// spreadGain) of the burst.
	spreadGain = 4
	// quietShare is the part of the rate below which a window counts as nearly empty.
	quietShare = 0.2
	// lapsedMillis is the time for which tokens that lapsed can still be refunded.
	lapsedMillis = 2 * clock.Second
)

type (
	// pool is the token bucket of a team and its tokens at nodes; stock+held is at most
	// room. It fills at the rate of the cap and, while a team has been busy for a whole
	// window and has not used the burst, at a higher one: a window also has room for the burst
	// if the team spreads it. What was used in a window and is held is at most what the cap
	// allows in it.
	pool struct {
		config   Config
		limits   Limits
		capacity float64
		// rate is the rate at which tokens accrue, in tokens/s, and share the part of it that
		// nodes can get from this coordinator.
		rate, share float64
		// burstShare is that part of the burst and of the tolerance. Silent holders do not
		// reduce it: they may only have no requests, and the burst is for their return.
		burstShare float64
		// used counts the requests that nodes reported within the window.
		used window
		// stock is the number of free tokens. It is negative after requests that the safe
		// parts admitted.
		stock float64
		// held is the sum over holders of the tokens that may be unused and in their
		// lease.
		held float64
		// since is when this node became the coordinator, and at the time up to which
		// tokens have accrued.
		since, at clock.Millis
		// arrivals is an exponentially weighted count of arrived requests at time
		// arrivalsAt.
		arrivals   float64
		arrivalsAt clock.Millis
		askedAt    clock.Millis
		// recentRatio is a weighted mean of ratio, at time ratioAt.
		recentRatio float64
		ratioAt     clock.Millis
		holders     map[ident.NodeID]*holder
		// quietAt is when the window was last nearly empty.
		quietAt clock.Millis
		// silent is the number of holders that count as unreachable, at time silentAt.
		silent   int
		silentAt clock.Millis
		// generation is that of the members for which the coordinator was checked.
		generation uint64
	}

	// holder is a node with tokens of a team.
	holder struct {
		run  uint64
		held float64
		// until is the end of the lease; lapsed is the number of tokens held then.
		until  clock.Millis
		lapsed float64
		// askedAt and interval are the time of the last Request and the mean time between
		// them.
		askedAt, interval clock.Millis
		demand            float64
	}
)

// setLimits changes the cap of the team.
func (p *pool) setLimits(c Config, l Limits) {
	if l == p.limits {
		return
	}
	p.limits, p.capacity, p.rate = l, c.capacity(l), l.Rate
	p.bound()
}

// bound limits the stock to what room leaves.
func (p *pool) bound() {
	p.stock = max(min(p.stock, p.room()-p.held), -p.rate)
}

// room returns the largest sum of the free tokens and those at nodes: the part of the
// capacity that is this coordinator's, but at least one token. In a divided fleet another
// coordinator has the rest.
func (p *pool) room() float64 {
	return max(p.capacity*p.burstShare, 1)
}

// available returns the number of tokens that may be handed out: the stock, but no more than
// the window has left. It is negative after requests that the safe parts admitted.
func (p *pool) available(now clock.Millis) float64 {
	return min(p.stock, p.windowLimit()-p.used.total(now, p.config.WindowMillis)-p.held)
}

// windowLimit returns the largest sum of the requests in a window and the held tokens.
func (p *pool) windowLimit() float64 {
	rate := p.limits.Rate * p.share * float64(p.config.WindowMillis/clock.Second)
	return rate + p.burstShare*(p.limits.Burst+windowShare*p.config.tolerance(p.limits))
}

// spreadBurst returns the rate, beside that of the cap, at which the part of the window that
// the team leaves unused is handed out; 0 until it has been busy for a whole window, since the
// stock of a quiet team has the burst.
func (p *pool) spreadBurst(now clock.Millis) float64 {
	seconds := float64(p.config.WindowMillis / clock.Second)
	used := p.used.total(now, p.config.WindowMillis)
	if used < quietShare*p.limits.Rate*p.share*seconds {
		p.quietAt = now
	}
	if now-p.quietAt < p.config.WindowMillis {
		return 0
	}
	left := p.windowLimit() - used - p.held - max(p.stock, 0)
	return min(max(spreadGain*left, 0), p.limits.Burst*p.burstShare) / seconds
}

// warmth returns the time for which the whole rate has been handed out by now, if it
// rises evenly from 0 during warmMillis.
func (p *pool) warmth(now clock.Millis) clock.Millis {
	t := max(now-p.since, 0)
	if t < warmMillis {
		return t * t / (2 * warmMillis)
	}
	return t - warmMillis/2
}

// accrue adds the tokens of the time since the last call.
func (p *pool) accrue(now clock.Millis, m *members) {
	p.lapse(now)
	p.share, p.burstShare = m.share(now, p.silent), m.share(now, 0)
	p.rate = p.limits.Rate + p.spreadBurst(now)
	if now > p.at {
		rate := p.rate * p.share
		p.stock += rate * float64((p.warmth(now)-p.warmth(p.at))/clock.Second)
		p.at = now
	}
	p.bound()
}

// lapse ends the leases that are over and counts the silent holders. It looks at all
// holders, so it runs only once in a round.
func (p *pool) lapse(now clock.Millis) {
	if now-p.silentAt < roundMillis {
		return
	}
	p.silentAt, p.silent = now, 0
	for id, h := range p.holders {
		if h.until <= now {
			p.held -= h.held
			p.used.add(now, p.config.WindowMillis, h.held) // unless the node reports otherwise
			h.lapsed += h.held
			h.held = 0
		}
		quiet := now - h.askedAt
		limit := max(min(silentRounds*h.interval, silentMaxMillis), silentMinMillis)
		expected := quiet > limit && h.demand*float64(quiet/clock.Second) >= silentArrivals
		switch {
		case expected && quiet < silentForgetMillis:
			p.silent++
		case h.held == 0 && now-h.until > lapsedMillis:
			delete(p.holders, id)
		}
	}
	if len(p.holders) == 0 {
		p.held = 0 // no rounding errors add up
	}
}

// forget removes a holder, whose tokens are no longer in use.
func (p *pool) forget(id ident.NodeID) {
	if h := p.holders[id]; h != nil {
		p.held -= h.held
		delete(p.holders, id)
	}
}

// account takes over what one of the nodes reports about its tokens and its requests.
func (p *pool) account(now clock.Millis, from ident.NodeID, run uint64, a *Ask, nodes int) {
	p.arrivals = p.arrivals*decay(now-p.arrivalsAt, arrivalMillis) + float64(a.Arrived)
	p.arrivalsAt, p.askedAt = now, now
	h := p.holders[from]
	if h == nil {
		h = &holder{run: run, askedAt: now, interval: roundMillis, until: now + leaseMillis}
		p.holders[from] = h
	}
	safe := min(float64(a.Safe), p.safeDebit(now, nodes))
	used := h.held // by a process that has ended
	if h.run == run {
		used = float64(a.Used) - h.lapsed
		// What was neither used nor is still held returns to the stock. A Reply that
		// did not arrive returns in the same way.
		refund := h.held + h.lapsed - float64(a.Used) - float64(a.Held)
		p.stock += max(refund, 0)
	}
	p.held += float64(a.Held) - h.held
	p.used.add(now, p.config.WindowMillis, used+safe)
	h.run, h.held, h.lapsed = run, float64(a.Held), 0
	h.until = max(h.until, now+leaseMillis)
	h.interval += (min(now-h.askedAt, silentMaxMillis) - h.interval) / 4
	h.askedAt, h.demand = now, a.Demand
	p.stock -= safe
	p.bound()
}

// safeDebit returns the largest number of requests, admitted by the safe part of one node,
// that count against the stock. Earlier ones were admitted before this node became the
// coordinator, or while accrue left the rate for the safe part of a silent node.
func (p *pool) safeDebit(now clock.Millis, nodes int) float64 {
	seconds := float64(min(now-p.since, silentMaxMillis) / clock.Second)
	return safeShare * p.limits.Rate / float64(nodes) * max(seconds, 0)
}

// grant decides how many tokens a node gets.
func (p *pool) grant(now clock.Millis, a *Ask, random *rand.Rand) Grant {
	g := Grant{Team: a.Team, Warming: now-p.since < warmMillis}
	if a.Demand <= 0 {
		return g
	}
	free := math.Floor(max(p.available(now), 0))
	waiting, held := float64(a.Waiting), float64(a.Held)
	demand := max(p.arrivals/float64(arrivalMillis/clock.Second), a.Demand)
	round := p.round()
	ratio := p.smoothRatio(now, demand, round)
	if ratio < 1 {
		want := ratio*(a.Demand*float64(round/clock.Second)+waiting) - held
		if p.ratio(now, demand, roundMillis) >= 1 {
			want = max(want, waiting) // the stock lasts for now
			round = roundMillis
		}
		g.Tokens = uint32(min(max(roundRandom(want, random), 0), free))
	} else {
		tokens := min(waiting, free)
		g.Tokens = uint32(tokens + p.advance(a, demand, free-tokens))
	}
	if left := p.available(now) - float64(g.Tokens); float64(g.Tokens) < waiting || ratio < 1 {
		// A node with little demand may ask as soon as there is a token.
		next := max(clock.Millis((1-left)/p.rate)*clock.Second, gapMillis)
		if ratio < 1 && a.Demand*float64(round/clock.Second) >= rareShare {
			next = max(next, round)
		}
		g.HoldMillis = min(next, clock.Second)
		excess := max(demand/p.rate-1, 0)
		g.SpreadMillis = min(arrivalMillis*clock.Millis(excess), maxSpreadMillis)
	}
	return g
}

// round returns the time for which a node gets tokens while demand is above the rate.
func (p *pool) round() clock.Millis {
	return min(max(askMillis*clock.Millis(len(p.holders)), roundMillis), maxRoundMillis)
}

// ratio returns the part of the requests of a round that can be admitted.
func (p *pool) ratio(now clock.Millis, demand float64, round clock.Millis) float64 {
	seconds := float64(round / clock.Second)
	return (max(p.available(now), 0) + reserveShare*p.rate*seconds) / (demand * seconds)
}

// smoothRatio returns the weighted mean of recent ratios. With the present ones, the last
// nodes to ask in a round would get the least.
func (p *pool) smoothRatio(now clock.Millis, demand float64, round clock.Millis) float64 {
	weight := 1 - decay(now-p.ratioAt, round/2)
	p.recentRatio += (min(p.ratio(now, demand, round), 1) - p.recentRatio) * weight
	p.ratioAt = now
	if p.recentRatio > fullRatio {
		return 1
	}
	return p.recentRatio
}

// advance returns the number of tokens that a node gets for requests that have not arrived
// yet, if the stock covers the demand of all nodes.
func (p *pool) advance(a *Ask, demand, free float64) float64 {
	limit := advanceShare * p.room()
	horizon := min(advanceFill*limit/demand, float64(advanceMillis/clock.Second))
	// A node that expects less than one request in that time asks for each.
	want := math.Floor(a.Demand*horizon + advanceRounding)
	return max(min(want-float64(a.Held), limit-p.held, math.Floor(free/2)), 0)
}

// roundRandom rounds v to one of the next integers so that the mean is v.
func roundRandom(v float64, random *rand.Rand) float64 {
	floor := math.Floor(v)
	if random.Float64() < v-floor {
		floor++
	}
	return floor
}
