package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
	"hickoryrail/core/route"
	"hickoryrail/core/view"
)

type (
	// balanceNode is a node that takes calls.
	balanceNode struct {
		domain   int
		balancer balancer
		failFast route.FailFastPolicy
		// epoch counts restarts; the state of an earlier epoch is lost.
		epoch int
	}

	// balanceCall is one call of a caller.
	balanceCall struct {
		route                   int
		service                 ident.ServiceName
		domain                  int
		started, goal, deadline clock.Millis
		work                    float64
		// retried is set once the caller has made its own retry.
		retried bool
		// node, tried, refused and sent belong to the present try of the caller.
		node          int
		tried         []ident.TargetID
		refused, sent int
		named         ident.TargetID
	}

	// balanceAttempt is one attempt of a call.
	balanceAttempt struct {
		call     *balanceCall
		target   *balanceTarget
		node     int
		epoch    int
		sentAt   clock.Millis
		failFast bool
	}

	// balanceSimulation is one run with one policy.
	balanceSimulation struct {
		scheduler
		fleet    balanceFleet
		policy   string
		fault    string
		demand   float64
		duration clock.Millis
		targets  []*balanceTarget
		byID     map[ident.TargetID]*balanceTarget
		nodes    []*balanceNode
		ids      int
		lies     *rand.Rand
		result   balanceResult
	}
)

// newBalanceSimulation returns a simulation with all arrivals scheduled.
func newBalanceSimulation(f balanceFleet, policy, fault string, demand float64, duration clock.Millis) *balanceSimulation {
	r := &balanceSimulation{
		fleet: f, policy: policy, fault: fault, demand: demand, duration: duration,
		byID: make(map[ident.TargetID]*balanceTarget), lies: rand.New(rand.NewPCG(balanceSeed, 4)),
	}
	speeds, paces := rand.New(rand.NewPCG(balanceSeed, 1)), rand.New(rand.NewPCG(balanceSeed, 2))
	for i, route := range f.routes {
		for range route.targets {
			t := &balanceTarget{
				index: len(r.targets), id: targetName(len(r.targets)), domain: len(r.targets) % f.domains, service: balanceService(i),
				speed: 0.5 + 1.1*speeds.Float64(), calls: make(map[ident.RequestID]*balanceAttempt), tickAt: clock.Forever,
			}
			t.faulty = t.index%10 == 3
			t.gate = admit.Gate{
				Order: admit.ByGoal, Slots: balanceSlots, Connections: balanceConnections, QueueLength: 16, RunMillis: 10, OccupiedMillis: clock.Minute,
			}
			for at := clock.Millis(0); at < duration+10*clock.Second; at += paceMillis {
				pace := 1.0
				if paces.Float64() < slowShare {
					pace = slowPace
				}
				t.paces = append(t.paces, pace)
			}
			r.targets = append(r.targets, t)
			r.byID[t.id] = t
		}
	}
	for i := range r.targets {
		r.nodes = append(r.nodes, &balanceNode{domain: i % f.domains})
		r.startNode(i)
	}
	switch fault {
	case balanceCold:
		r.schedule(duration/3, func() { r.eachNode(func(i int) { r.nodes[i].balancer.setView(r.now, r.view(true)) }) })
	case balanceRestart:
		r.schedule(duration/2, func() { r.eachNode(r.startNode) })
	}
	r.scheduleArrivals()
	return r
}

// eachNode calls do for each node.
func (r *balanceSimulation) eachNode(do func(i int)) {
	for i := range r.nodes {
		do(i)
	}
}

// balanceService returns the name of service i.
func balanceService(i int) ident.ServiceName {
	return ident.ServiceName(fmt.Sprint("service-", i))
}

// startNode starts or restarts a node.
func (r *balanceSimulation) startNode(i int) {
	n := r.nodes[i]
	n.epoch++
	n.failFast = route.FailFastPolicy{}
	n.balancer = newBalancer(r, i)
	n.balancer.setView(r.now, r.view(r.fault != balanceCold || r.now >= r.duration/3))
}

// view returns the view with all targets, or without the faulty ones.
func (r *balanceSimulation) view(all bool) *view.View {
	var records []member.Record
	for _, t := range r.targets {
		if t.faulty && !all {
			continue
		}
		records = append(records, member.Record{
			Node: ident.NodeID(fmt.Sprint("node-", t.index)), State: member.Alive, TargetState: member.Ready, GateIncarnation: 1,
			Service: t.service, Target: t.id, FailureDomain: domainName(t.domain), Region: "one",
		})
	}
	var services []model.Service
	for i := range r.fleet.routes {
		services = append(services, model.Service{Name: balanceService(i)})
	}
	return view.Build(model.Release{Version: 1, Configuration: model.Configuration{Inventory: model.Inventory{Services: services}}}, records)
}

// scheduleArrivals schedules the calls of all routes and failure domains.
func (r *balanceSimulation) scheduleArrivals() {
	random := rand.New(rand.NewPCG(balanceSeed, 3))
	for i, route := range r.fleet.routes {
		for domain := range r.fleet.domains {
			most := route.perSecond * r.demand / float64(r.fleet.domains) * (1 + waveShare) * burstFactor
			for at := clock.Millis(0); at < r.duration; at += clock.Millis(random.ExpFloat64()/most) * clock.Second {
				if random.Float64()*(1+waveShare)*burstFactor > r.level(at, domain) {
					continue
				}
				c := &balanceCall{
					route: i, service: balanceService(i), domain: domain, started: at, goal: at + route.goal, deadline: at + route.timeout,
					work: float64(route.work) * (0.5 + random.Float64()), node: r.nodeOf(domain, random),
				}
				second := r.nodeOf(domain, random)
				r.schedule(at, func() {
					r.result.calls++
					r.try(c, second)
				})
			}
		}
	}
}

// nodeOf returns a random node of a failure domain.
func (r *balanceSimulation) nodeOf(domain int, random *rand.Rand) int {
	count := (len(r.nodes) - domain + r.fleet.domains - 1) / r.fleet.domains
	return domain + r.fleet.domains*random.IntN(count)
}

// level returns the demand of a failure domain relative to its mean.
func (r *balanceSimulation) level(at clock.Millis, domain int) float64 {
	phase := float64(at/waveMillis) + float64(domain)/float64(r.fleet.domains)
	level := 1 + waveShare*math.Sin(2*math.Pi*phase)
	if math.Mod(float64(at), float64(burstEvery)) < float64(burstMillis) {
		level *= burstFactor
	}
	return level
}

// try makes the first attempt of a try of a caller, whose next try goes to second.
func (r *balanceSimulation) try(c *balanceCall, second int) {
	c.tried, c.refused, c.sent, c.named = nil, 0, 0, ""
	r.attempt(c, second)
}

// attempt chooses a target and sends an attempt.
func (r *balanceSimulation) attempt(c *balanceCall, second int) {
	n := r.nodes[c.node]
	var id ident.TargetID
	ok := c.named != "" && !slices.Contains(c.tried, c.named) && n.balancer.take(r.now, c.named)
	if ok {
		id, c.named = c.named, ""
	} else if id, ok = n.balancer.pick(r.now, c.service, c.tried); !ok {
		id, ok = n.balancer.pick(r.now, c.service, nil)
	}
	if !ok {
		r.refuse(c, second)
		return
	}
	t := r.byID[id]
	others := r.fleet.routes[c.route].targets - len(c.tried) - 1
	c.tried = append(c.tried, id)
	c.sent++
	r.result.attempts++
	a := &balanceAttempt{call: c, target: t, node: c.node, epoch: n.epoch, sentAt: r.now, failFast: n.failFast.ShouldFailFast(c.service, c.refused, others)}
	r.schedule(r.now+r.hop(a), func() { r.arrive(a, second) })
}

// hop returns the one-way delay of an attempt.
func (r *balanceSimulation) hop(a *balanceAttempt) clock.Millis {
	if a.node == a.target.index {
		return 0
	}
	return r.fleet.hop
}

// arrive passes an attempt to its gate.
func (r *balanceSimulation) arrive(a *balanceAttempt, second int) {
	t := a.target
	if r.fault == balanceHang && t.faulty && r.now >= r.duration/3 && r.now < 2*r.duration/3 {
		r.schedule(a.call.deadline, func() { r.reply(a, second, result.MayHaveRun, "") })
		return
	}
	r.ids++
	id := ident.RequestID(fmt.Sprint(r.ids))
	t.calls[id] = a
	rank := admit.NewRank(model.Check)
	r.apply(t, second, t.gate.Arrive(r.now, admit.Call{ID: id, Rank: rank, Goal: a.call.goal, Deadline: a.call.deadline, FailFast: a.failFast}))
}

// apply carries out the actions of a gate and schedules its next tick.
func (r *balanceSimulation) apply(t *balanceTarget, second int, actions []admit.Action) {
	for _, a := range slices.Clone(actions) {
		attempt := t.calls[a.ID]
		if a.Kind == admit.Refuse {
			delete(t.calls, a.ID)
			r.reply(attempt, second, result.NotRun, a.Reason)
			continue
		}
		started := r.now
		r.schedule(r.endOf(t, attempt.call.work), func() {
			delete(t.calls, a.ID)
			if pace := r.stated(t); pace > 0 {
				t.gate.SetPace(r.now, pace)
			}
			var actions []admit.Action
			if r.fault == balanceLimit && t.faulty {
				actions = slices.Clone(t.gate.SetLimit(r.now, started, r.limit()))
			}
			actions = append(actions, t.gate.Finish(r.now, a.ID, r.now-started)...)
			r.reply(attempt, second, result.Ran, "")
			r.apply(t, second, actions)
		})
	}
	if next := max(t.gate.Next(), r.now+1); next < t.tickAt {
		t.tickAt = next
		r.schedule(next, func() {
			if r.now == t.tickAt {
				t.tickAt = clock.Forever
				r.apply(t, second, t.gate.Tick(r.now))
			}
		})
	}
}

// reply sends the outcome of an attempt to its node, with the load of the gate.
func (r *balanceSimulation) reply(a *balanceAttempt, second int, v result.Verdict, reason string) {
	t := a.target
	o := route.Outcome{Verdict: v, Failed: v == result.MayHaveRun}
	if !o.Failed {
		o.Load, o.HasLoad = t.gate.Load(), true
	}
	if r.fault == balanceFalse && t.faulty {
		o.Load = admit.Load{Free: balanceSlots}
	}
	if pace := r.stated(t); v == result.Ran {
		o.Bytes = ident.Bytes(1024 * r.fleet.routes[a.call.route].answerKB)
		o.Stated = route.StatedLoad{Slots: balanceSlots, Pace: pace}
	}
	if v == result.NotRun {
		r.result.refusals++
		a.call.named = r.nodes[t.index].balancer.name(r.now, a.call.service, a.call.tried)
	}
	r.schedule(r.now+r.hop(a), func() {
		n := r.nodes[a.node]
		o.Delay = r.now - a.sentAt
		if a.epoch == n.epoch {
			n.balancer.done(r.now, t.id, o)
			if a.failFast && v != result.MayHaveRun {
				n.failFast.Record(a.call.service, reason != admit.ReasonNoFreeSlot)
			}
		}
		r.ended(a, second, v, reason)
	})
}

// ended ends a call or makes its next attempt.
func (r *balanceSimulation) ended(a *balanceAttempt, second int, v result.Verdict, reason string) {
	c := a.call
	switch {
	case v == result.Ran:
		r.answered(a)
	case v == result.MayHaveRun:
		r.result.lost++
	case reason == admit.ReasonNoFreeSlot:
		c.refused++
		r.attempt(c, second)
	case c.sent-c.refused < 2 && r.now < c.goal:
		r.attempt(c, second)
	default:
		r.refuse(c, second)
	}
}

// answered counts an answered call.
func (r *balanceSimulation) answered(a *balanceAttempt) {
	c := a.call
	r.result.answers++
	if r.nodes[a.node].domain != a.target.domain {
		r.result.far++
		r.result.farKB += r.fleet.routes[c.route].answerKB
	}
	switch {
	case r.now > c.deadline:
		r.result.lost++
		return
	case r.now > c.goal:
		r.result.late++
	default:
		r.result.inGoal++
	}
	r.result.delays = append(r.result.delays, float64(r.now-c.started))
}

// refuse refuses a call; its caller retries once.
func (r *balanceSimulation) refuse(c *balanceCall, second int) {
	if c.retried || r.now+callerRetryMillis >= c.deadline {
		r.result.refused++
		return
	}
	c.retried, c.node = true, second
	r.schedule(r.now+callerRetryMillis, func() { r.try(c, second) })
}

// quantile returns a quantile of values, which it sorts.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}
