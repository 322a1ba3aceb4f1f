package grant

import (
	"math/rand/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// maxPools bounds the teams that a coordinator keeps. A release has fewer.
	maxPools = 16384
	// poolIdleMillis is the time without a Request after which the state of a team is
	// dropped. It is longer than departureMillis, so that a new state starts with the
	// stock that the old one would have.
	poolIdleMillis = 2 * clock.Minute
	// sweepMillis is the interval between searches for state that can be dropped.
	sweepMillis = 5 * clock.Second
)

type (
	// coordinator hands out the tokens of the teams that a node coordinates.
	coordinator struct {
		config  Config
		members *members
		random  *rand.Rand
		teams   teamIndex
		pools   map[ident.TeamName]*pool
		// sweptAt is the time of the last sweep.
		sweptAt clock.Millis
		// granted counts the tokens handed out.
		granted uint64
	}
)

// request returns the reply to a Request of a node, which may be this node itself.
func (c *coordinator) request(now clock.Millis, from ident.NodeID, m *Message) Message {
	reply := Message{Kind: Reply, Run: m.Run, Sequence: m.Sequence, Grants: make([]Grant, 0, len(m.Asks))}
	for i := range m.Asks {
		reply.Grants = append(reply.Grants, c.answer(now, from, m, &m.Asks[i]))
	}
	return reply
}

// answer returns the grant for one team.
func (c *coordinator) answer(now clock.Millis, from ident.NodeID, m *Message, a *Ask) Grant {
	if a.Demand <= 0 && c.pools[a.Team] == nil {
		return Grant{Team: a.Team} // nothing to give back to
	}
	p := c.pool(now, m.Version, a)
	if p == nil {
		return Grant{Team: a.Team, Declined: true}
	}
	p.accrue(now, c.members)
	p.account(now, from, m.Run, a, c.members.nodes(now))
	g := p.grant(now, a, c.random)
	if a.Demand > 0 {
		h := p.holders[from]
		h.held += float64(g.Tokens)
		h.until = now + leaseMillis
		p.held += float64(g.Tokens)
	} else {
		p.forget(from)
	}
	p.stock -= float64(g.Tokens)
	c.granted += uint64(g.Tokens)
	return g
}

// pool returns the state of a team, or nil if this node does not coordinate it.
func (c *coordinator) pool(now clock.Millis, version ident.Version, a *Ask) *pool {
	limits, known := c.teams.find(a.Team)
	if version > c.teams.version || !known {
		limits = Limits{Rate: a.RequestsPerSecond, Burst: a.BurstRequests}
	}
	p := c.pools[a.Team]
	if p != nil && p.generation == c.members.generation {
		p.setLimits(c.config, limits)
		return p
	}
	hash := hashOf(a.Team)
	if to, ok := c.members.coordinator(hash); !ok || to.Node != c.members.self || c.members.alone(now) {
		delete(c.pools, a.Team)
		return nil
	}
	if p == nil {
		if len(c.pools) >= maxPools {
			return nil
		}
		since := c.members.since(hash)
		p = &pool{config: c.config, since: since, at: since, quietAt: now, holders: make(map[ident.NodeID]*holder)}
		p.limits, p.capacity, p.rate = limits, c.config.capacity(limits), limits.Rate
		p.stock = min(firstSlackShare*c.config.Slack, p.capacity)
		c.pools[a.Team] = p
	}
	p.generation = c.members.generation
	p.setLimits(c.config, limits)
	return p
}

// reset drops all state, so that every team starts like that of a new coordinator.
func (c *coordinator) reset() {
	clear(c.pools)
}

// membersChanged drops the teams that this node no longer coordinates. Their stock would
// be out of date when they return.
func (c *coordinator) membersChanged() {
	for name, p := range c.pools {
		if to, ok := c.members.coordinator(hashOf(name)); !ok || to.Node != c.members.self {
			delete(c.pools, name)
			continue
		}
		p.generation = c.members.generation
	}
}

// tick drops the state of teams without requests.
func (c *coordinator) tick(now clock.Millis) {
	if now-c.sweptAt < sweepMillis {
		return
	}
	c.sweptAt = now
	for name, p := range c.pools {
		if now-p.askedAt >= poolIdleMillis {
			delete(c.pools, name)
		}
	}
}
