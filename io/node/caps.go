package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/clock"
	"hickoryrail/core/grant"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
	"hickoryrail/io/logs"
	"hickoryrail/io/stats"
	"hickoryrail/io/wire"
)

const (
	// capsTick is the period of the timers of usage caps. It bounds by how much the wait
	// for a coordinator exceeds its limit.
	capsTick = 25 * time.Millisecond
	// capsLogLines bounds the lines about usage caps per second. A change of the members
	// gives many teams another coordinator.
	capsLogLines = 20
	// canceledRetryMillis is the retry time of a request whose caller is gone.
	canceledRetryMillis = 100 * clock.Millis(1)
)

// Reasons of logged decisions about usage caps.
const (
	reasonCoordinatorChanged = "usage cap of the team has another coordinator"
	reasonCoordinatorSilent  = "coordinator of usage caps does not answer; the safe part decides"
	reasonCoordinatorAnswers = "coordinator of usage caps answers again"
	reasonContactLost        = "no contact with some nodes: their safe parts of usage caps are reserved"
	reasonContactFound       = "contact with all live nodes again: usage caps are handed out in full"
)

type (
	// caps enforces usage caps at one node. It implements proxy.Caps and serializes the
	// events of the agent.
	caps struct {
		clock clock.Clock
		// send queues a message to another node. It must not acquire the lock of the
		// fleet.
		send    func(to ident.NodeID, address string, m wire.Control)
		log     logs.Sink
		metrics capsMetrics

		// mu guards the fields below. It may be acquired while the lock of the fleet is
		// held, never the other way round.
		mu    sync.Mutex
		agent *grant.Agent
		// addresses holds the addresses of the live members.
		addresses map[ident.NodeID]string
		// incarnation is that of the node's own record.
		incarnation ident.Incarnation
		// waiters holds the channel of each waiting request, with a buffer of one.
		waiters map[uint64]chan grant.Decision
		// logSecond and logLines are the current second and its lines.
		logSecond int64
		logLines  int
	}

	// capsMetrics are the counters of usage caps.
	capsMetrics struct {
		admittedByGrant, admittedBySafePart, refused atomic.Uint64
		// granted is the number of tokens that this node has handed out.
		granted atomic.Uint64
		// unreached is the number of live members that probably have no contact with it.
		unreached atomic.Uint64
	}
)

// newCaps returns the caps of a node.
func newCaps(c grant.Config, self ident.NodeID, now clock.Clock, random *rand.Rand) *caps {
	run := random.Uint64()
	return &caps{
		clock: now, agent: grant.NewAgent(now.Now(), c, self, run, random),
		addresses: make(map[ident.NodeID]string), waiters: make(map[uint64]chan grant.Decision),
	}
}

// register registers the metrics.
func (m *capsMetrics) register(r prometheus.Registerer) error {
	count := func(n *atomic.Uint64) func() float64 { return func() float64 { return float64(n.Load()) } }
	return stats.Register(r,
		stats.CounterFunc("caps_granted_requests_total", "Requests within a usage cap, admitted by a grant of the team's coordinator.", count(&m.admittedByGrant)),
		stats.CounterFunc("caps_safe_requests_total", "Requests admitted by the safe part of a usage cap, without a coordinator.", count(&m.admittedBySafePart)),
		stats.CounterFunc("caps_refused_requests_total", "Requests refused because they are beyond the usage cap of their team.", count(&m.refused)),
		stats.CounterFunc("caps_tokens_total", "Tokens that this node handed out as the coordinator of teams.", count(&m.granted)),
		stats.GaugeFunc("caps_unreached_members", "Live members that probably have no contact with this node, for whose safe parts it reserves a part of each cap.", count(&m.unreached)),
	)
}

// Take counts a request of a team. It waits for the coordinator if the node has no token.
func (c *caps) Take(ctx context.Context, t *model.Team) (clock.Millis, bool) {
	if !t.Capped() {
		return 0, true
	}
	var result chan grant.Decision
	c.mu.Lock()
	d := c.agent.Take(c.clock.Now(), t.Name, grant.LimitsOf(t))
	if d.Outcome == grant.Waiting {
		result = make(chan grant.Decision, 1)
		c.waiters[d.Ticket] = result
	}
	c.flush()
	c.mu.Unlock()
	if result == nil {
		return c.count(d)
	}
	select {
	case d = <-result:
		return c.count(d)
	case <-ctx.Done():
		c.cancel(t.Name, d.Ticket, result)
		return canceledRetryMillis, false
	}
}

// cancel withdraws a waiting request, and returns the token that it may have received.
func (c *caps) cancel(team ident.TeamName, ticket uint64, result chan grant.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiters, ticket)
	c.agent.Cancel(team, ticket)
	select {
	case d := <-result:
		if d.Outcome != grant.Refused {
			c.agent.Return(c.clock.Now(), team)
		}
	default:
	}
}

// Return takes back the count of a request that has not reached a target.
func (c *caps) Return(team ident.TeamName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agent.Return(c.clock.Now(), team)
}

// count counts a decision and returns it as the result of Take.
func (c *caps) count(d grant.Decision) (clock.Millis, bool) {
	switch d.Outcome {
	case grant.Admitted:
		c.metrics.admittedByGrant.Add(1)
		return 0, true
	case grant.AdmittedSafe:
		c.metrics.admittedBySafePart.Add(1)
		return 0, true
	default:
		c.metrics.refused.Add(1)
		return d.RetryMillis, false
	}
}

// flush sends the messages of the agent, passes on its results and logs its events. The
// caller holds mu.
func (c *caps) flush() {
	if !c.agent.Pending() {
		return
	}
	for _, a := range c.agent.Actions() {
		c.send(a.To, a.Address, wire.Control{Grant: &a.Message})
	}
	for _, r := range c.agent.Results() {
		if result := c.waiters[r.Ticket]; result != nil {
			delete(c.waiters, r.Ticket)
			result <- r.Decision
		}
	}
	for _, e := range c.agent.Events() {
		c.recordEvent(e)
	}
	c.metrics.granted.Store(c.agent.Granted())
}

// recordEvent logs an event. The caller holds mu.
func (c *caps) recordEvent(e grant.Event) {
	reason := reasonCoordinatorChanged
	switch e.Kind {
	case grant.CoordinatorSilent:
		reason = reasonCoordinatorSilent
	case grant.CoordinatorAnswers:
		reason = reasonCoordinatorAnswers
	}
	c.record(logs.Decision{Node: e.Node, Team: e.Team, Reason: reason})
}

// record logs a decision about usage caps, within the limit on lines per second. The caller
// holds mu.
func (c *caps) record(d logs.Decision) {
	d.At, d.Kind = c.clock.Now(), logs.Cap
	if second := int64(d.At / clock.Second); second != c.logSecond {
		c.logSecond, c.logLines = second, 0
	}
	if c.logLines++; c.logLines <= capsLogLines {
		c.log.Record(d)
	}
}

// receive handles a message of another node.
func (c *caps) receive(from ident.NodeID, address string, m *grant.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agent.Receive(c.clock.Now(), grant.Member{Node: from, Address: address}, m)
	c.flush()
}

// address returns the address of a live member.
func (c *caps) address(id ident.NodeID) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	address, ok := c.addresses[id]
	return address, ok
}

// setMembers passes on a change of the members. self is the record of this node, and unheard
// the number of nodes without a record that may be live.
func (c *caps) setMembers(self member.Record, records []member.Record, unheard int) {
	live, known := make([]grant.Member, 0, len(records)), unheard
	addresses := make(map[ident.NodeID]string, len(records))
	for _, r := range records {
		if r.State == member.Left && r.Node != self.Node {
			continue
		}
		known++
		if r.State == member.Dead {
			continue
		}
		live = append(live, grant.Member{Node: r.Node, Address: r.PeerAddress})
		addresses[r.Node] = r.PeerAddress
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.incarnation != 0 && c.incarnation != self.Incarnation {
		c.agent.Reset(now) // others took this node for dead
	}
	c.incarnation, c.addresses = self.Incarnation, addresses
	c.agent.SetMembers(now, live, known)
	c.flush()
}

// setUnreached passes on how many live members probably have no contact with this node.
func (c *caps) setUnreached(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agent.SetUnreached(n)
	earlier := c.metrics.unreached.Swap(uint64(n))
	switch {
	case earlier == 0 && n > 0:
		c.record(logs.Decision{Reason: reasonContactLost})
	case earlier > 0 && n == 0:
		c.record(logs.Decision{Reason: reasonContactFound})
	}
}

// setRelease passes on the caps of a release.
func (c *caps) setRelease(r *model.Release) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agent.SetTeams(r.Version, r.Configuration.Rules.Teams)
}

// receiveGrant passes a message about usage caps on; it is dropped without caps.
func (f *fleet) receiveGrant(from ident.NodeID, m *grant.Message) {
	if f.caps == nil {
		return
	}
	address, ok := f.caps.address(from)
	if !ok {
		f.mu.Lock()
		if f.table != nil {
			r, _ := f.table.Record(from)
			address = r.PeerAddress
		}
		f.mu.Unlock()
	}
	if address != "" {
		f.caps.receive(from, address, m)
	}
}

// refreshCaps passes changed members, and the contact to them, to the usage caps. The caller
// holds mu.
func (f *fleet) refreshCaps(now clock.Millis) {
	if f.caps == nil {
		return
	}
	f.caps.setUnreached(f.table.Unreached(now))
	unheard := f.table.Unheard(now)
	if !f.capsStale && f.table.Sequence() == f.capsSequence && unheard == f.capsUnheard {
		return
	}
	f.capsStale, f.capsSequence, f.capsUnheard = false, f.table.Sequence(), unheard
	f.caps.setMembers(f.table.Self(), f.table.Records(), unheard)
}

// wireCaps creates the usage caps of a hosted node if the platform states their bounds.
func (n *Node) wireCaps(c grant.Config, random *rand.Rand) error {
	if !c.Enabled() {
		return nil
	}
	n.caps = newCaps(c, n.settings.Node, clock.NewBoot(), splitRandom(random))
	n.caps.send, n.caps.log = n.fleet.send, n.decisions
	n.fleet.caps, n.fleet.capsStale, n.ingress.Caps = n.caps, true, n.caps
	return n.caps.metrics.register(n.registry)
}

// runCaps drives the timers of the usage caps, if there are any, until ctx ends.
func (n *Node) runCaps(ctx context.Context) error {
	if n.caps == nil {
		<-ctx.Done()
		return nil
	}
	return n.caps.run(ctx)
}

// run drives the timers until ctx ends.
func (c *caps) run(ctx context.Context) error {
	return every(ctx, capsTick, c.tick)
}

// tick runs the timers of the agent.
func (c *caps) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agent.Tick(c.clock.Now())
	c.flush()
}
