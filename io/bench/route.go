package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
	"hickoryrail/core/retry"
	"hickoryrail/core/route"
	"hickoryrail/core/view"
)

const (
	// routeSeed fixes arrivals, demands and choices.
	routeSeed = 2027
	// RouteMillis is the virtual time of one run for published figures.
	RouteMillis = 30 * clock.Second
	// meanDemand is the mean time that a call occupies a slot of a target with
	// slowdown 1.
	meanDemand clock.Millis = 20
	// callTimeout is the time that a caller waits for an answer.
	callTimeout clock.Millis = 500
	// sameDomainDelay is the one-way network delay within a failure domain.
	sameDomainDelay clock.Millis = 0.2
	// utilisation is the mean share of all slots that the calls occupy.
	utilisation = 0.7
	// slowFactor is the slowdown of a slow target, and of a cold one at its start.
	slowFactor = 5
	// coldMillis is the time after which a cold target has reached full speed.
	coldMillis = 8 * clock.Second
)

// Faults of the first target of a service, as named in the table. With each of them,
// every third target is a slower one.
const (
	faultNone      = "mixed speeds"
	faultFalseLoad = "slow target claims to be idle"
	faultColdStart = "cold target joins"
	faultHang      = "target hangs for a third"
	faultReset     = "target resets for a third"
)

type (
	// deployment is the size of one service and of the fleet around it.
	deployment struct {
		name      string
		targets   int
		ingresses int
		slots     int
		domains   int
		// crossDomainDelay is the one-way network delay between failure domains.
		crossDomainDelay clock.Millis
	}

	// chooser chooses targets at one ingress.
	chooser interface {
		pick(now clock.Millis, exclude []ident.TargetID) (view.Target, bool)
		done(now clock.Millis, id ident.TargetID, o route.Outcome)
		setView(now clock.Millis, v *view.View)
	}

	// pickerChooser chooses with a route.Picker.
	pickerChooser struct{ picker route.Picker }

	// randomChooser chooses each target with the same probability.
	randomChooser struct {
		rand    *rand.Rand
		targets []view.Target
	}

	// roundRobinChooser chooses the targets in turn.
	roundRobinChooser struct {
		next    int
		targets []view.Target
	}

	// simTarget is a simulated target with its gate.
	simTarget struct {
		index  int
		id     ident.TargetID
		domain int
		// slowdown multiplies the demand of each call.
		slowdown clock.Millis
		running  int
		queue    []*simCall
	}

	// simCall is one simulated call. It finishes at most once.
	simCall struct {
		ingress int
		started clock.Millis
		// demand is the time that the call occupies a slot of a target with slowdown 1.
		demand  clock.Millis
		state   retry.CallState
		exclude []ident.TargetID
		target  *simTarget
		sentAt  clock.Millis
		// attempt is incremented at the start and at the end of each attempt, so that
		// events of an earlier attempt are recognized as stale.
		attempt int
		// queued reports whether the current attempt waits at its gate.
		queued   bool
		finished bool
	}

	// routeSimulation is one run with one kind of chooser.
	routeSimulation struct {
		scheduler
		size  deployment
		fault string
		// duration is the time in which calls arrive. A temporary fault lasts for the
		// second third of it.
		duration clock.Millis
		targets  []*simTarget
		choosers []chooser
		policies []*retry.Policy
		delays   *hdrhistogram.Histogram
		// answered, notRun and mayHaveRun count the finished calls by outcome; calls counts
		// all that were started.
		answered, notRun, mayHaveRun, calls int
	}
)

// serviceName is the only service of the simulations.
const serviceName ident.ServiceName = "orders"

// deployments are the largest and the smallest service of each deployment in the design
// document, and one service of the expected size.
var deployments = []deployment{
	{"Sitaki catalogue", 6, 16, 6, 3, 1.5},
	{"Sitaki billing", 3, 16, 6, 3, 1.5},
	{"Kalahari roster", 5, 17, 9, 4, 1},
	{"Kalahari hourbank", 4, 17, 9, 4, 1},
	{"expected size", 33, 790, 6, 7, 1.5},
}

// RouteChoice compares the picker with random choice and round robin, with the same
// arrivals and demands, in virtual time.
func RouteChoice(duration clock.Millis) *Table {
	t := NewTable(fmt.Sprintf("target choice, %s virtual, %.0f in 100 slots needed, seed %d", duration, utilisation*100, routeSeed),
		"deployment", "fault", "choice", "calls", "in time %", "p50 ms", "p99 ms", "not run %", "may have run %")
	for _, d := range deployments {
		for _, fault := range []string{faultNone, faultFalseLoad, faultColdStart, faultHang, faultReset} {
			for _, choice := range []string{"picker", "random", "round robin"} {
				r := newRouteSimulation(d, fault, choice, duration)
				r.runAll()
				share := func(n int) float64 { return 100 * float64(n) / float64(r.calls) }
				t.Add(d.name, fault, choice, r.calls, share(r.answered),
					float64(r.delays.ValueAtQuantile(50))/1000, float64(r.delays.ValueAtQuantile(99))/1000,
					share(r.notRun), share(r.mayHaveRun))
			}
		}
	}
	return t
}

// newRouteSimulation returns a simulation with all arrivals scheduled.
func newRouteSimulation(d deployment, fault, choice string, duration clock.Millis) *routeSimulation {
	r := &routeSimulation{size: d, fault: fault, duration: duration, delays: hdrhistogram.New(1, 10_000_000, 3)}
	rate := 0.0
	for i := range d.targets {
		slowdown := clock.Millis(1)
		if i%3 == 2 {
			slowdown = 2 // every third server is a small one
		}
		if i == 0 && fault == faultFalseLoad {
			slowdown = slowFactor
		}
		r.targets = append(r.targets, &simTarget{index: i, id: targetName(i), domain: i % d.domains, slowdown: slowdown})
		rate += float64(d.slots) / float64(meanDemand*slowdown)
	}
	first := 0
	if fault == faultColdStart {
		first = 1
		r.schedule(duration/3, func() { r.setView(0) })
	}
	for i := range d.ingresses {
		r.choosers = append(r.choosers, newChooser(choice, i, d))
		r.policies = append(r.policies, &retry.Policy{
			Budget: &retry.Budget{}, Rand: rand.New(rand.NewPCG(routeSeed, uint64(i))),
		})
	}
	r.setView(first)
	random := rand.New(rand.NewPCG(routeSeed, 0))
	for at := clock.Millis(0); at < duration; at += clock.Millis(random.ExpFloat64() / (rate * utilisation)) {
		c := &simCall{ingress: random.IntN(d.ingresses), started: at, demand: meanDemand * clock.Millis(random.ExpFloat64())}
		r.schedule(at, func() { r.start(c) })
	}
	return r
}

// domainName returns the name of failure domain i.
func domainName(i int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprint("fd-", i))
}

// setView passes a view with the targets from index first on to all choosers.
func (r *routeSimulation) setView(first int) {
	v := simView(r.size.targets, r.size.domains, r.size.slots, first)
	for _, c := range r.choosers {
		c.setView(r.now, v)
	}
}

// simView returns a view of one service with the targets from index first on.
func simView(targets, domains, slots, first int) *view.View {
	var records []member.Record
	for i := first; i < targets; i++ {
		records = append(records, member.Record{
			Node: ident.NodeID(fmt.Sprint("node-", i)), State: member.Alive, TargetState: member.Ready, GateIncarnation: 1,
			Service: serviceName, Target: targetName(i), FailureDomain: domainName(i % domains), Region: "one",
		})
	}
	return view.Build(model.Release{Version: 1, Configuration: model.Configuration{Inventory: model.Inventory{
		Services: []model.Service{{Name: serviceName, Slots: ident.Slots(slots), Connections: 130}},
	}}}, records)
}

// targetName returns the id of target i.
func targetName(i int) ident.TargetID {
	return ident.TargetID(fmt.Sprintf("target-%03d", i))
}

// start starts a call, which finishes at its deadline at the latest.
func (r *routeSimulation) start(c *simCall) {
	r.calls++
	c.state = retry.CallState{Route: model.Route{MaxAttempts: 3, Class: model.Action}, Deadline: r.now + callTimeout}
	r.policies[c.ingress].Budget.RecordCall(r.now)
	r.schedule(c.state.Deadline, func() { r.expire(c) })
	r.sendAttempt(c)
}

// sendAttempt chooses a target and sends one attempt to it. If no target is left that
// the call has not tried, it may choose any target again.
func (r *routeSimulation) sendAttempt(c *simCall) {
	if c.finished {
		return
	}
	t, ok := r.choosers[c.ingress].pick(r.now, c.exclude)
	if !ok {
		t, ok = r.choosers[c.ingress].pick(r.now, nil)
	}
	if !ok {
		r.finish(c, result.NotRun)
		return
	}
	c.target = r.targets[slices.IndexFunc(r.targets, func(m *simTarget) bool { return m.id == t.ID })]
	c.sentAt = r.now
	c.state.Start(r.now)
	c.attempt++
	attempt := c.attempt
	r.schedule(r.now+r.networkDelay(c), func() { r.arrive(c, attempt) })
}

// networkDelay returns the one-way delay between a call's ingress and its target.
func (r *routeSimulation) networkDelay(c *simCall) clock.Millis {
	if c.ingress%r.size.domains == c.target.domain {
		return sameDomainDelay
	}
	return r.size.crossDomainDelay
}

// faultActive reports whether the fault of the first target is active.
func (r *routeSimulation) faultActive(t *simTarget, fault string) bool {
	return r.fault == fault && t.index == 0 && r.now >= r.duration/3 && r.now < 2*r.duration/3
}

// arrive handles the arrival of an attempt at its gate.
func (r *routeSimulation) arrive(c *simCall, attempt int) {
	t := c.target
	switch {
	case c.finished || attempt != c.attempt:
	case r.faultActive(t, faultHang):
	case r.faultActive(t, faultReset):
		r.reply(c, attempt, result.MayHaveRun, true)
	case t.running < r.size.slots:
		r.serve(t, c)
	case len(t.queue) < r.size.slots:
		c.queued = true
		t.queue = append(t.queue, c)
	default:
		r.reply(c, attempt, result.NotRun, false)
	}
}

// serve runs a call in a slot and then starts queued calls in the free slots.
func (r *routeSimulation) serve(t *simTarget, c *simCall) {
	t.running++
	c.queued = false
	attempt, slowdown := c.attempt, t.slowdown
	if r.fault == faultColdStart && t.index == 0 {
		cold := 1 - min((r.now-r.duration/3)/coldMillis, 1)
		slowdown += cold * (slowFactor - 1)
	}
	r.schedule(r.now+c.demand*slowdown, func() {
		t.running--
		for len(t.queue) > 0 && t.running < r.size.slots {
			next := t.queue[0]
			t.queue = t.queue[1:]
			if !next.finished {
				r.serve(t, next)
			}
		}
		r.reply(c, attempt, result.Ran, false)
	})
}

// reply sends an attempt's outcome and the gate's load report to the ingress.
func (r *routeSimulation) reply(c *simCall, attempt int, v result.Verdict, failed bool) {
	t := c.target
	load := admit.Load{Free: r.size.slots - t.running, Queued: len(t.queue)}
	if r.fault == faultFalseLoad && t.index == 0 {
		load = admit.Load{Free: r.size.slots}
	}
	r.schedule(r.now+r.networkDelay(c), func() {
		if c.finished || attempt != c.attempt {
			return
		}
		r.choosers[c.ingress].done(r.now, t.id, route.Outcome{
			Delay: r.now - c.sentAt, Verdict: v, Failed: failed, Load: load, HasLoad: true,
		})
		c.attempt++ // the attempt has ended
		c.state.End(v)
		d := r.policies[c.ingress].Decide(r.now, c.state, v)
		if d.Kind != retry.Retry {
			r.finish(c, d.Verdict)
			return
		}
		c.exclude = append(c.exclude, t.id)
		r.schedule(d.At, func() { r.sendAttempt(c) })
	})
}

// expire finishes a call at its deadline. A call that still waits at its gate is
// withdrawn and counts as not run.
func (r *routeSimulation) expire(c *simCall) {
	if c.finished {
		return
	}
	r.choosers[c.ingress].done(r.now, c.target.id, route.Outcome{
		Delay: r.now - c.sentAt, Verdict: result.MayHaveRun, Failed: true,
	})
	v := result.MayHaveRun
	if c.queued {
		v = result.NotRun
	}
	r.finish(c, v)
}

// finish marks a call as finished and counts its outcome.
func (r *routeSimulation) finish(c *simCall, v result.Verdict) {
	c.finished = true
	switch v {
	case result.Ran:
		r.answered++
		_ = r.delays.RecordValue(max(int64(1000*(r.now-c.started)), 1))
	case result.NotRun:
		r.notRun++
	default:
		r.mayHaveRun++
	}
}
