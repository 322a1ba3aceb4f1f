// Package route provides the choice of a target for each attempt of a request.
package route

import (
	"math/rand/v2"
	"slices"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/result"
	"hickoryrail/core/view"
)

const (
	// maxEvents bounds the ejection events that Events has not returned yet; the
	// oldest ones are overwritten.
	maxEvents = 64
)

// Reasons of a choice.
const (
	// ReasonOnly means that only one candidate was eligible.
	ReasonOnly = "only candidate"
	// ReasonScore means that the candidate had the lower score of two.
	ReasonScore = "lower score of two candidates"
	// ReasonDomain means that the candidate won because of its failure domain.
	ReasonDomain = "nearer failure domain"
	// ReasonSlowStart means that the candidate won because the other one is in slow
	// start.
	ReasonSlowStart = "other candidate is in slow start"
	// ReasonExpected means that the candidate had the lowest expected time of a few.
	ReasonExpected = "lowest expected time of the candidates"
	// ReasonStale means that the candidate had no call for Limits.StaleMillis.
	ReasonStale = "no recent call"
	// ReasonNoTargets means that the service has no targets.
	ReasonNoTargets = "service has no targets"
	// ReasonExhausted means that all targets are excluded or ejected.
	ReasonExhausted = "no other target left"
)

const (
	// AnyVersion chooses among all targets of a service.
	AnyVersion Version = iota
	// OldVersion chooses among the targets without a software version in their record.
	OldVersion
	// NewVersion chooses among the targets with a software version in their record.
	NewVersion
)

type (
	// Version restricts a choice to the targets of one version of a service during a
	// rollout.
	Version uint8

	// Picker chooses targets by power of two choices over a bounded subset. It
	// is not safe for concurrent use.
	Picker struct {
		// Self, FailureDomain and Region are those of this node.
		Self          ident.NodeID
		FailureDomain ident.FailureDomain
		Region        ident.Region
		// Rand is required.
		Rand *rand.Rand
		// Limits are read at the first SetView.
		Limits Limits

		services map[ident.ServiceName]*group
		// targets also holds targets that left the view, until removeDeparted.
		targets map[ident.TargetID]*endpoint
		// events is a ring buffer of which written%maxEvents is the next position.
		events [maxEvents]Event
		// written counts all events; read counts those that Events has returned.
		written, read int
	}

	// Choice is the target of one attempt.
	Choice struct {
		Target view.Target
		// Reason is a constant phrase; set also if there is no target.
		Reason string
	}

	// Outcome is the outcome of an attempt.
	Outcome struct {
		// Delay is the time from sending to the answer or the failure.
		Delay   clock.Millis
		Verdict result.Verdict
		// Failed means that the target or the path to it failed. A refusal by a
		// full or draining gate is not a failure.
		Failed bool
		// Load is the gate's load report; valid if HasLoad.
		Load    admit.Load
		HasLoad bool
		// Stated is what the target stated about itself.
		Stated StatedLoad
		// Bytes is the size of the answer.
		Bytes ident.Bytes
		// Leaving means that the target stated in its answer that it leaves.
		Leaving bool
		// Gate is the incarnation of the gate that the attempt was addressed to. The
		// outcome of an earlier incarnation ends the call but is not counted for the
		// target; 0 means the present incarnation.
		Gate ident.Incarnation
	}

	// Event is the start or the end of an ejection, the exclusion of a target that leaves,
	// or, without a target, a change of the way of choosing the targets of a service.
	Event struct {
		At      clock.Millis
		Service ident.ServiceName
		Target  ident.TargetID
		Ejected bool
		// Until is the end of the ejection.
		Until clock.Millis
		// Reason is a constant phrase.
		Reason string
	}
)

// SetView replaces the targets. It keeps the state of targets that stay, and of those
// that return within Limits.EjectMaxMillis or while calls to them are in flight.
func (p *Picker) SetView(now clock.Millis, v *view.View) {
	first := p.services == nil
	if first {
		p.Limits = p.Limits.orDefaults()
		p.services = make(map[ident.ServiceName]*group)
		p.targets = make(map[ident.TargetID]*endpoint)
	}
	for _, e := range p.targets {
		e.present = false
	}
	services := v.Release().Configuration.Inventory.Services
	for _, s := range services {
		g := p.services[s.Name]
		if g == nil {
			g = &group{name: s.Name}
			p.services[s.Name] = g
		}
		g.slots = max(int(s.Slots), 1)
		p.setCandidates(now, g, v.Targets(s.Name))
	}
	for name, g := range p.services {
		if _, ok := v.Service(name); !ok {
			g.candidates, g.byVersion = nil, nil
			delete(p.services, name)
		}
	}
	p.removeDeparted(now)
}

// setCandidates sets a group's candidates to its subset of the targets.
func (p *Picker) setCandidates(now clock.Millis, g *group, targets []view.Target) {
	wasEmpty := len(g.candidates) == 0
	g.candidates, g.byVersion = g.candidates[:0], nil
	for _, t := range p.subset(targets) {
		g.candidates = append(g.candidates, p.setCandidate(now, g, t, wasEmpty))
	}
	p.setVersions(now, g, targets, wasEmpty)
	p.limitEjected(now, g)
}

// setCandidate sets the state of a target that is in the view.
func (p *Picker) setCandidate(now clock.Millis, g *group, t view.Target, wasEmpty bool) *endpoint {
	e := p.targets[t.ID]
	switch {
	case e == nil:
		e = &endpoint{slowStartAt: now, sampledAt: now, pickedAt: now}
		if wasEmpty {
			// Slow start needs earlier targets that take the traffic, and there are none.
			e.slowStartAt = now - p.Limits.SlowStartMillis
		}
		p.targets[t.ID] = e
	case e.target.GateIncarnation != t.GateIncarnation:
		e.restart(now)
	case e.leftAt <= now:
		// Its gate remembers that it left, and takes it back only after a restart.
		e.leavingUntil = 0
	}
	e.target, e.group, e.present, e.leftAt = t, g, true, clock.Forever
	e.distanceFactor = p.distanceFactor(t)
	e.balance.distanceFactor = p.balanceFactor(e)
	return e
}

// distanceFactor returns the factor of the score for the distance to a target.
func (p *Picker) distanceFactor(t view.Target) float64 {
	switch {
	case t.FailureDomain == p.FailureDomain:
		return 1
	case t.Region == p.Region:
		return p.Limits.DomainFactor
	default:
		return p.Limits.RegionFactor
	}
}

// removeDeparted deletes the state of targets that left the view, once no call is in
// flight and the longest possible ejection has passed.
func (p *Picker) removeDeparted(now clock.Millis) {
	for id, e := range p.targets {
		if !e.present {
			e.leftAt = min(e.leftAt, now)
			if e.inFlight == 0 && now-e.leftAt >= p.Limits.EjectMaxMillis {
				delete(p.targets, id)
			}
		}
	}
}

// Pick chooses a target and counts a call in flight to it, which Done ends. It
// returns false if all targets are excluded or ejected; the caller can then pick
// without exclude after a backoff. It allocates nothing.
func (p *Picker) Pick(now clock.Millis, service ident.ServiceName, exclude []ident.TargetID) (Choice, bool) {
	return p.PickVersion(now, service, exclude, AnyVersion)
}

// PickVersion is Pick among the targets of one version.
func (p *Picker) PickVersion(now clock.Millis, service ident.ServiceName, exclude []ident.TargetID, v Version) (Choice, bool) {
	g := p.services[service]
	if g == nil || len(g.of(v)) == 0 {
		return Choice{Reason: ReasonNoTargets}, false
	}
	var eligible [MaxSubset]*endpoint
	n := 0
	for _, e := range g.of(v) {
		if e.ejected && now >= e.ejectedUntil {
			p.readmit(now, e, "ejection time is over")
		}
		if !e.ejected && now >= e.leavingUntil && !slices.Contains(exclude, e.target.ID) {
			eligible[n] = e
			n++
		}
	}
	switch n {
	case 0:
		return Choice{Reason: ReasonExhausted}, false
	case 1:
		return eligible[0].startCall(now, ReasonOnly), true
	}
	if p.balances(now, g) {
		best, reason := p.pickBalanced(now, g, eligible[:n])
		return best.startCall(now, reason), true
	}
	i, j := p.randomPair(n)
	best, reason := p.better(now, g, eligible[i], eligible[j])
	if p.Limits.LocalPair {
		best, reason = p.compareLocal(now, g, eligible[:n], best, reason)
	}
	return best.startCall(now, reason), true
}

// randomPair returns two different numbers below n, which is at least 2.
func (p *Picker) randomPair(n int) (int, int) {
	i := p.Rand.IntN(n)
	j := p.Rand.IntN(n - 1)
	if j >= i {
		j++
	}
	return i, j
}

// compareLocal compares the better one of a random pair of all candidates with that of
// a random pair of this node's failure domain, so that a near candidate is always
// considered.
func (p *Picker) compareLocal(now clock.Millis, g *group, eligible []*endpoint, best *endpoint, reason string) (*endpoint, string) {
	var near [MaxSubset]*endpoint
	n := 0
	for _, e := range eligible {
		if e.target.FailureDomain == p.FailureDomain {
			near[n] = e
			n++
		}
	}
	var other *endpoint
	switch {
	case n == 0 || reason == ReasonStale:
		return best, reason
	case n == 1:
		other = near[0]
	default:
		i, j := p.randomPair(n)
		other, _ = p.better(now, g, near[i], near[j])
	}
	if other == best {
		return best, reason
	}
	return p.better(now, g, best, other)
}

// better returns the better one of two candidates and the reason.
func (p *Picker) better(now clock.Millis, g *group, a, b *endpoint) (*endpoint, string) {
	wa, wb := p.trafficShare(now, a), p.trafficShare(now, b)
	if wa < 1 || wb < 1 {
		// A share below 1 is the probability of being compared at all, so that a
		// new target gets that share of its full traffic whatever its score.
		inA, inB := p.Rand.Float64() < wa, p.Rand.Float64() < wb
		switch {
		case inA && !inB:
			return a, ReasonSlowStart
		case inB && !inA:
			return b, ReasonSlowStart
		}
	}
	if staleA, staleB := p.stale(now, a), p.stale(now, b); staleA != staleB {
		if staleA {
			return a, ReasonStale
		}
		return b, ReasonStale
	}
	sa, sb := p.score(now, g, a), p.score(now, g, b)
	if sb*b.distanceFactor < sa*a.distanceFactor {
		a, b, sa, sb = b, a, sb, sa
	}
	if sa > sb {
		return a, ReasonDomain
	}
	return a, ReasonScore
}

// Done ends a call and updates the target's state with its outcome. It does nothing
// for a target without calls in flight.
func (p *Picker) Done(now clock.Millis, target ident.TargetID, o Outcome) {
	e := p.targets[target]
	if e == nil || e.inFlight == 0 {
		return
	}
	e.inFlight--
	e.noOutcomeSince = now
	if o.Leaving {
		p.markLeaving(now, e)
	}
	if !e.present || (o.Gate != 0 && o.Gate != e.target.GateIncarnation) {
		return
	}
	if o.HasLoad {
		e.load, e.loadAt, e.hasLoad = o.Load, now, true
	}
	p.observeBalance(now, e, o)
	switch {
	case o.Failed:
		p.recordFailure(now, e, o)
	case o.Verdict == result.NotRun:
		e.recordRefusal(now)
	default:
		e.recordSuccess(now, o.Delay, p.Limits)
	}
}

// Delay95 returns the 95th percentile of the recent delays of a service's answered
// calls, or 0 while there are too few of them.
func (p *Picker) Delay95(service ident.ServiceName) clock.Millis {
	g := p.services[service]
	if g == nil {
		return 0
	}
	return g.delays.quantile95()
}

// InFlight returns the number of calls in flight to a target.
func (p *Picker) InFlight(target ident.TargetID) int {
	if e := p.targets[target]; e != nil {
		return e.inFlight
	}
	return 0
}

// Events appends the ejection events since the last call to out, oldest first.
func (p *Picker) Events(out []Event) []Event {
	p.read = max(p.read, p.written-maxEvents)
	for ; p.read < p.written; p.read++ {
		out = append(out, p.events[p.read%maxEvents])
	}
	return out
}
