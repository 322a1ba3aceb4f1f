package route

import (
	"math"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/result"
)

const (
	// BalanceAuto balances by expected time the services whose targets state their pace.
	BalanceAuto BalanceMode = iota
	// BalanceOn balances all services by expected time.
	BalanceOn
	// BalanceOff balances no service by expected time.
	BalanceOff
)

// Reasons of the events at which the way of choosing the targets of a service changes.
const (
	reasonPace   = "targets state their pace: chosen by expected time"
	reasonNoPace = "targets state no pace any more: choice of two"
)

const (
	// paceMillis is the time for which a machine keeps its pace. A stated pace loses its
	// weight over this time.
	paceMillis = 600 * clock.Millis(1)
	// paceKnownMillis is the time without a stated pace after which a service is no
	// longer balanced by expected time.
	paceKnownMillis = clock.Minute
	// maxPace bounds the ratio between a stated pace and its average, so that a false
	// figure costs a target or its callers little.
	maxPace = 3
	// meanPaceWeight and runWeight are the weights of the newest figure in the averages of
	// the pace and of the run time of a target.
	meanPaceWeight = 0.05
	runWeight      = 0.1
	// runIdleMillis is the time without calls after which the run time of a target has
	// weight 0.5. Machines differ in speed for good, so it is long.
	runIdleMillis = 30 * clock.Second
	// occupancyMillis is the time between two reports at which the newer one has weight
	// 0.5 in the occupancy of a service. Demand changes within seconds.
	occupancyMillis = 500 * clock.Millis(1)
	// maxStatedSlots bounds the slots that a target states.
	maxStatedSlots = 1024
	// refusedShare is the share of its slots by which a gate that refused a call is
	// assumed to be overbooked at least.
	refusedShare = 0.25
	// overflowSpread scales the standard deviation of the number of calls at a target in
	// the approximation of the expected overflow, so that it is exact for a normal
	// distribution around the number of slots: (2*0.4)^2.
	overflowSpread = 0.64
	// nearSample and anySample are the numbers of random candidates of this node's failure
	// domain and of all that are compared.
	nearSample = 4
	anySample  = 4
	// waitFactor is the weight of the expected wait for a slot beside the run time. It is
	// above 1 because a call at a busy target also delays the calls behind it, and because
	// its gate may refuse it.
	waitFactor = 12
	// balanceDomainFactor multiplies the expected time at a target of another failure
	// domain, and more if answers are large: their traffic is billed. With 1.3, more
	// answers came from other domains than by the choice of two.
	balanceDomainFactor = 1.5
	// dearBytes is the mean size of answers at which the excess over 1 of
	// balanceDomainFactor doubles, and maxBytesShare bounds the increase.
	dearBytes     = 32 << 10
	maxBytesShare = 4
	// farStaleFactor multiplies Limits.StaleMillis for targets of other failure domains:
	// what is known of the service stands in for reports of each.
	farStaleFactor = 3
)

// balanceNames contains the name of each mode.
var balanceNames = [...]string{"auto", "on", "off"}

type (
	// BalanceMode determines which services are balanced by expected time.
	BalanceMode uint8

	// StatedLoad is what a target stated about itself in an answer.
	StatedLoad struct {
		// Slots is the number of requests that it runs at the same time; 0 if unknown.
		Slots int
		// Pace is how long work takes on its machine at the moment, relative to usual; 0
		// if unknown.
		Pace float64
	}

	// balanceState is the part of the state of a target by which its expected time is
	// estimated.
	balanceState struct {
		// distanceFactor multiplies the expected time if answers are small.
		distanceFactor float64
		// slots is the number of slots that the target stated, or else the most free ones
		// that its gate reported; 0 if unknown.
		slots int
		// pace is the pace that the target stated at paceAt; 0 if unknown. meanPace is its
		// moving average.
		pace, meanPace float64
		paceAt         clock.Millis
		// run is the moving average of the run times at the average pace, of the instant
		// runAt; 0 before the first answer.
		run   clock.Millis
		runAt clock.Millis
		// occupied is the number of calls that ran or waited at the gate at reportAt;
		// valid if reported.
		occupied float64
		reportAt clock.Millis
		reported bool
		// sent counts the picks since the last report; those that have ended since
		// without one do not count.
		sent int
	}

	// groupBalance is the part of the state of a service by which expected times are
	// estimated.
	groupBalance struct {
		// pacedAt is the instant at which a target last stated a pace; valid if paced.
		pacedAt clock.Millis
		paced   bool
		// active is set while the service is balanced because of the paces.
		active bool
		// run is the moving average of the run times at the average pace; 0 before the
		// first answer.
		run clock.Millis
		// occupancy is the moving average of the calls at a target per slot, of the
		// instant occupancyAt.
		occupancy   float64
		occupancyAt clock.Millis
		// slots is the last number of slots that a target stated; 0 if unknown.
		slots int
		// answerBytes is the moving average of the sizes of answers.
		answerBytes float64
	}
)

// ParseBalance returns the mode with the given name: auto, on or off.
func ParseBalance(name string) (BalanceMode, bool) {
	for i, n := range balanceNames {
		if n == name {
			return BalanceMode(i), true
		}
	}
	return BalanceAuto, false
}

// balances reports whether a service is balanced by expected time.
func (p *Picker) balances(now clock.Millis, g *group) bool {
	b := &g.balance
	switch {
	case p.Limits.Balance == BalanceOn:
		return true
	case p.Limits.Balance == BalanceOff || !b.paced:
		return false
	}
	active := now-b.pacedAt < paceKnownMillis
	if active != b.active {
		b.active = active
		reason := reasonNoPace
		if active {
			reason = reasonPace
		}
		p.storeEvent(Event{At: now, Service: g.name, Reason: reason})
	}
	return active
}

// StatesPace reports whether targets of a service have stated their pace within
// paceKnownMillis.
func (p *Picker) StatesPace(now clock.Millis, service ident.ServiceName) bool {
	g := p.services[service]
	return g != nil && g.balance.paced && now-g.balance.pacedAt < paceKnownMillis
}

// observeBalance records an outcome of the present incarnation of a target's gate.
func (p *Picker) observeBalance(now clock.Millis, e *endpoint, o Outcome) {
	b, g := &e.balance, &e.group.balance
	if o.Stated.Slots > 0 {
		b.slots = min(o.Stated.Slots, maxStatedSlots)
		g.slots = b.slots
	}
	if o.Stated.Pace > 0 {
		b.statePace(now, o.Stated.Pace)
		g.paced, g.pacedAt = true, now
	}
	if o.HasLoad {
		if o.Stated.Slots == 0 {
			b.slots = max(b.slots, min(o.Load.Free, maxStatedSlots))
		}
		slots := e.slots()
		b.occupied = max(slots-float64(o.Load.Free), 0) + float64(max(o.Load.Queued, 0))
		if o.Verdict == result.NotRun {
			b.occupied = max(b.occupied, slots*(1+refusedShare))
		}
		b.reportAt, b.reported, b.sent = now, true, 0
		gap := max(now-g.occupancyAt, 0)
		g.occupancy += float64(gap/(gap+occupancyMillis)) * (min(b.occupied/slots, 1+refusedShare) - g.occupancy)
		g.occupancyAt = now
	}
	if o.Verdict == result.Ran && !o.Failed {
		g.answerBytes += (float64(o.Bytes) - g.answerBytes) / 32
		b.observeRun(now, e, o)
	}
}

// statePace records a stated pace.
func (b *balanceState) statePace(now clock.Millis, pace float64) {
	if b.pace == 0 {
		b.meanPace = 1 // as usual
	}
	b.meanPace += meanPaceWeight * (pace - b.meanPace)
	b.pace, b.paceAt = pace, now
}

// observeRun adds the run time of an answered call at the average pace to the averages.
// The time in the gate's queue is not known; it is estimated from the queue's length.
func (b *balanceState) observeRun(now clock.Millis, e *endpoint, o Outcome) {
	waited := 1 + float64(max(o.Load.Queued, 0))/e.slots()
	run := max(o.Delay, 0) / clock.Millis(waited*b.relativePace(now, o.Delay))
	g := &e.group.balance
	if g.run == 0 {
		g.run = run
	}
	g.run += (run - g.run) / 32
	if b.run == 0 {
		b.run = g.run
	}
	b.run += runWeight * (run - b.run)
	b.runAt = now
}

// relativePace returns the pace that is expected on average over the time run from now,
// or that was so until now, relative to the average pace.
func (b *balanceState) relativePace(now, run clock.Millis) float64 {
	if b.pace == 0 {
		return 1
	}
	weight := max(1-float64((now-b.paceAt+run/2)/paceMillis), 0)
	return 1 + weight*(min(max(b.pace/b.meanPace, 1.0/maxPace), maxPace)-1)
}

// balanceFactor returns the factor of the expected time for the distance to a target.
func (p *Picker) balanceFactor(e *endpoint) float64 {
	if e.target.Region != p.Region {
		return e.distanceFactor
	}
	return min(e.distanceFactor, balanceDomainFactor)
}

// slots returns the number of slots of a target: those of the configuration, or else those
// that it stated, or else those that another target of the service stated.
func (e *endpoint) slots() float64 {
	switch {
	case e.group.slots > 1:
		return float64(e.group.slots)
	case e.balance.slots > 0:
		return float64(e.balance.slots)
	}
	return float64(max(e.group.balance.slots, 1))
}

// expectedTime returns the time in which a target is expected to answer one more call,
// multiplied by the penalty for failures.
func (p *Picker) expectedTime(now clock.Millis, g *group, e *endpoint) float64 {
	b := &e.balance
	base := g.balance.run
	if base == 0 {
		base = defaultDelay
	}
	run := float64(base)
	if b.run > 0 {
		run += ageWeight(now-b.runAt, runIdleMillis) * float64(b.run-base)
	}
	run *= b.relativePace(now, clock.Millis(run))
	if e.inFlight > 0 {
		// A call in flight takes at least its age. With half of it, as in score, more calls
		// went to targets that hang.
		run = max(run, float64(now-e.noOutcomeSince))
	}
	slots := e.slots()
	// The calls at the target at the time of the report end within a run time, and the
	// other nodes send it as many as they send to the others.
	usual := g.balance.occupancy * slots
	occupied, kept := usual, 0.0
	if b.reported {
		kept = math.Exp(-float64(max(now-b.reportAt, 0)) / max(run, 1))
		occupied += kept * (b.occupied - usual)
	}
	variance := 1 + usual*(1-kept*kept)
	over := occupied + float64(min(b.sent, e.inFlight)) + 1 - slots
	wait := (over + math.Sqrt(over*over+overflowSpread*variance)) / 2 / slots
	freshness := ageWeight(now-e.sampledAt, p.Limits.IdleMillis)
	return run * (1 + waitFactor*wait) * (1 + failurePenalty*freshness*e.failureRate)
}

// pickBalanced returns the candidate with the lowest expected time of a few random ones,
// and the reason. At least two are eligible; their order is changed.
func (p *Picker) pickBalanced(now clock.Millis, g *group, eligible []*endpoint) (*endpoint, string) {
	near := 0
	for i, e := range eligible {
		if e.target.FailureDomain == p.FailureDomain {
			eligible[near], eligible[i] = e, eligible[near]
			near++
		}
	}
	p.shuffleFirst(eligible[:near], nearSample)
	// The remaining random candidates come from all that are not compared yet.
	compared := min(near, nearSample)
	p.shuffleFirst(eligible[compared:], anySample)
	compared = min(compared+anySample, len(eligible))

	dear := 1 + min(float64(g.balance.answerBytes)/dearBytes, maxBytesShare)
	var best, fastest *endpoint
	reason := ReasonExpected
	var bestCost, lowest float64
	for _, e := range eligible[:compared] {
		if p.stale(now, e) && (e.balance.distanceFactor == 1 || now-e.pickedAt >= farStaleFactor*p.Limits.StaleMillis) {
			return e, ReasonStale
		}
		if share := p.trafficShare(now, e); share < 1 && p.Rand.Float64() >= share {
			if best == nil || reason == ReasonExpected {
				reason = ReasonSlowStart
			}
			continue
		}
		t := p.expectedTime(now, g, e)
		cost := t * (1 + (e.balance.distanceFactor-1)*dear)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
		if fastest == nil || t < lowest {
			fastest, lowest = e, t
		}
	}
	switch {
	case best == nil:
		return eligible[0], ReasonExpected
	case best != fastest:
		return best, ReasonDomain
	}
	return best, reason
}

// shuffleFirst moves n random elements of list to its front.
func (p *Picker) shuffleFirst(list []*endpoint, n int) {
	for i := range min(n, len(list)-1) {
		j := i + p.Rand.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
}
