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
	// RouteMillis is the virtual time of one run for figures that are published.
	RouteMillis = 30 * clock.Second
	// meanDemand is the mean time that a call occupies a slot of a target of
	// speed 1.
	meanDemand clock.Millis = 20
	// callTimeout is the time that a caller waits.
	callTimeout clock.Millis = 500
	// sameDomain is the time one way within a failure domain.
	sameDomain clock.Millis = 0.2
	// utilisation is the share of all slots that the calls need.
	utilisation = 0.7
	// slowFactor is the demand of a slow target against a fast one.
	slowFactor = 5
	// coldMillis is the time in which a cold target reaches full speed.
	coldMillis = 8 * clock.Second
)

// Faults of the first target of a service.
const (
	noFault   = "mixed speeds"
	liar      = "slow target claims to be idle"
	coldStart = "cold target joins"
	hang      = "target hangs for a third"
	resets    = "target resets for a third"
)

type (
	// step is something that happens at an instant.
	step struct {
		at  clock.Millis
		seq int
		run func()
	}

	// agenda holds the steps to come, earliest first.
	agenda struct {
		now   clock.Millis
		seq   int
		steps steps
	}

	// steps is a heap.
	steps []step

	// deployment is the size of one service and its surroundings.
	deployment struct {
		name      string
		targets   int
		ingresses int
		slots     int
		domains   int
		// oneWay is the time between failure domains.
		oneWay clock.Millis
	}

	// chooser chooses targets at one ingress.
	chooser interface {
		pick(now clock.Millis, exclude []ident.TargetID) (view.Target, bool)
		done(now clock.Millis, id ident.TargetID, o route.Outcome)
		setView(now clock.Millis, v *view.View)
	}

	// pickerChooser chooses with a route.Picker.
	pickerChooser struct{ picker route.Picker }

	// randomChooser chooses any target with the same chance.
	randomChooser struct {
		rand    *rand.Rand
		targets []view.Target
	}

	// turnChooser chooses in turn.
	turnChooser struct {
		next    int
		targets []view.Target
	}

	// modelTarget is a target with its gate in virtual time.
	modelTarget struct {
		index  int
		id     ident.TargetID
		domain int
		speed  clock.Millis
		busy   int
		queue  []*modelCall
	}

	// modelCall is one call; it ends at most once.
	modelCall struct {
		ingress int
		started clock.Millis
		demand  clock.Millis
		state   retry.CallState
		exclude []ident.TargetID
		target  *modelTarget
		sentAt  clock.Millis
		attempt int
		// queued says that the present attempt waits at its gate.
		queued bool
		ended  bool
	}

	// routeRun is one run of one chooser.
	routeRun struct {
		agenda
		size     deployment
		fault    string
		virtual  clock.Millis
		targets  []*modelTarget
		choosers []chooser
		policies []*retry.Policy
		delays   *hdrhistogram.Histogram
		// answered, notRun and mayHaveRun count calls by their end.
		answered, notRun, mayHaveRun, calls int
	}
)

// serviceName is the one service of the model.
const serviceName ident.ServiceName = "orders"

// deployments are the largest and the smallest service of each deployment of the
// design page, and one service of its expected size.
var deployments = []deployment{
	{"Sitaki catalogue", 6, 16, 6, 3, 1.5},
	{"Sitaki billing", 3, 16, 6, 3, 1.5},
	{"Kalahari roster", 5, 17, 9, 4, 1},
	{"Kalahari hourbank", 4, 17, 9, 4, 1},
	{"expected size", 33, 790, 6, 7, 1.5},
}

// RouteChoice measures target choice against random choice and round robin with
// the same arrivals and demands over a virtual time.
func RouteChoice(virtual clock.Millis) *Table {
	t := NewTable(fmt.Sprintf("target choice, %s virtual, %.0f in 100 slots needed, seed %d", virtual, utilisation*100, routeSeed),
		"deployment", "fault", "choice", "calls", "in time %", "p50 ms", "p99 ms", "not run %", "may have run %")
	for _, d := range deployments {
		for _, fault := range []string{noFault, liar, coldStart, hang, resets} {
			for _, choice := range []string{"picker", "random", "round robin"} {
				r := newRouteRun(d, fault, choice, virtual)
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

// newRouteRun returns a run with all arrivals scheduled.
func newRouteRun(d deployment, fault, choice string, virtual clock.Millis) *routeRun {
	r := &routeRun{size: d, fault: fault, virtual: virtual, delays: hdrhistogram.New(1, 10_000_000, 3)}
	rate := 0.0
	for i := range d.targets {
		speed := clock.Millis(1)
		if i%3 == 2 {
			speed = 2 // every third server is of the small size
		}
		if i == 0 && fault == liar {
			speed = slowFactor
		}
		r.targets = append(r.targets, &modelTarget{index: i, id: targetName(i), domain: i % d.domains, speed: speed})
		rate += float64(d.slots) / float64(meanDemand*speed)
	}
	first := 0
	if fault == coldStart {
		first = 1
		r.at(virtual/3, func() { r.setView(0) })
	}
	for i := range d.ingresses {
		r.choosers = append(r.choosers, newChooser(choice, i, d))
		r.policies = append(r.policies, &retry.Policy{
			Budget: &retry.Budget{}, Rand: rand.New(rand.NewPCG(routeSeed, uint64(i))),
		})
	}
	r.setView(first)
	random := rand.New(rand.NewPCG(routeSeed, 0))
	for at := clock.Millis(0); at < virtual; at += clock.Millis(random.ExpFloat64() / (rate * utilisation)) {
		c := &modelCall{ingress: random.IntN(d.ingresses), started: at, demand: meanDemand * clock.Millis(random.ExpFloat64())}
		r.at(at, func() { r.start(c) })
	}
	return r
}

// domainName returns the name of a failure domain of the model.
func domainName(i int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprint("fd-", i))
}

// setView tells all choosers of the targets from number first on.
func (r *routeRun) setView(first int) {
	v := modelView(r.size.targets, r.size.domains, r.size.slots, first)
	for _, c := range r.choosers {
		c.setView(r.now, v)
	}
}

// modelView returns a view of one service.
func modelView(targets, domains, slots, first int) *view.View {
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

// targetName returns the id of a target of the model.
func targetName(i int) ident.TargetID {
	return ident.TargetID(fmt.Sprintf("target-%03d", i))
}

// start begins a call, which ends at its deadline at the latest.
func (r *routeRun) start(c *modelCall) {
	r.calls++
	c.state = retry.CallState{Route: model.Route{MaxAttempts: 3, Class: model.Action}, Deadline: r.now + callTimeout}
	r.policies[c.ingress].Budget.RecordCall(r.now)
	r.at(c.state.Deadline, func() { r.expire(c) })
	r.send(c)
}

// send makes one attempt.
func (r *routeRun) send(c *modelCall) {
	if c.ended {
		return
	}
	t, ok := r.choosers[c.ingress].pick(r.now, c.exclude)
	if !ok {
		t, ok = r.choosers[c.ingress].pick(r.now, nil)
	}
	if !ok {
		r.end(c, result.NotRun)
		return
	}
	c.target = r.targets[slices.IndexFunc(r.targets, func(m *modelTarget) bool { return m.id == t.ID })]
	c.sentAt = r.now
	c.state.Start(r.now)
	c.attempt++
	attempt := c.attempt
	r.at(r.now+r.oneWay(c), func() { r.arrive(c, attempt) })
}

// oneWay returns the time between a call's ingress and its target.
func (r *routeRun) oneWay(c *modelCall) clock.Millis {
	if c.ingress%r.size.domains == c.target.domain {
		return sameDomain
	}
	return r.size.oneWay
}

// faulty reports whether the fault of the first target is active.
func (r *routeRun) faulty(t *modelTarget, fault string) bool {
	return r.fault == fault && t.index == 0 && r.now >= r.virtual/3 && r.now < 2*r.virtual/3
}

// arrive is the gate's side of an attempt.
func (r *routeRun) arrive(c *modelCall, attempt int) {
	t := c.target
	switch {
	case c.ended || attempt != c.attempt:
	case r.faulty(t, hang):
	case r.faulty(t, resets):
		r.reply(c, attempt, result.MayHaveRun, true)
	case t.busy < r.size.slots:
		r.serve(t, c)
	case len(t.queue) < r.size.slots:
		c.queued = true
		t.queue = append(t.queue, c)
	default:
		r.reply(c, attempt, result.NotRun, false)
	}
}

// serve occupies a slot for the call's demand.
func (r *routeRun) serve(t *modelTarget, c *modelCall) {
	t.busy++
	c.queued = false
	attempt, speed := c.attempt, t.speed
	if r.fault == coldStart && t.index == 0 {
		cold := 1 - min((r.now-r.virtual/3)/coldMillis, 1)
		speed += cold * (slowFactor - 1)
	}
	r.at(r.now+c.demand*speed, func() {
		t.busy--
		for len(t.queue) > 0 && t.busy < r.size.slots {
			next := t.queue[0]
			t.queue = t.queue[1:]
			if !next.ended {
				r.serve(t, next)
			}
		}
		r.reply(c, attempt, result.Ran, false)
	})
}

// reply brings an attempt's outcome and the gate's report to the ingress.
func (r *routeRun) reply(c *modelCall, attempt int, v result.Verdict, failed bool) {
	t := c.target
	load := admit.Load{Free: r.size.slots - t.busy, Queued: len(t.queue)}
	if r.fault == liar && t.index == 0 {
		load = admit.Load{Free: r.size.slots}
	}
	r.at(r.now+r.oneWay(c), func() {
		if c.ended || attempt != c.attempt {
			return
		}
		r.choosers[c.ingress].done(r.now, t.id, route.Outcome{
			Delay: r.now - c.sentAt, Verdict: v, Failed: failed, Load: load, HasLoad: true,
		})
		c.attempt++ // the attempt has ended
		c.state.End(v)
		d := r.policies[c.ingress].Decide(r.now, c.state, v)
		if d.Kind != retry.Retry {
			r.end(c, d.Verdict)
			return
		}
		c.exclude = append(c.exclude, t.id)
		r.at(d.At, func() { r.send(c) })
	})
}

// expire ends a call at its deadline. One that still waits at its gate is
// withdrawn and was not run.
func (r *routeRun) expire(c *modelCall) {
	if c.ended {
		return
	}
	r.choosers[c.ingress].done(r.now, c.target.id, route.Outcome{
		Delay: r.now - c.sentAt, Verdict: result.MayHaveRun, Failed: true,
	})
	v := result.MayHaveRun
	if c.queued {
		v = result.NotRun
	}
	r.end(c, v)
}

// end counts a call.
func (r *routeRun) end(c *modelCall, v result.Verdict) {
	c.ended = true
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
