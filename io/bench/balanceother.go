package bench

import (
	"math/rand/v2"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/route"
	"hickoryrail/core/view"
)

const (
	// subsetSize is the number of targets of a service that a node knows.
	subsetSize = 16
	// prequalProbes is the number of probes per call, prequalPool that of the kept
	// answers, prequalAge the age at which one is dropped, and prequalHot the quantile
	// of calls in flight above which a target is hot, as published.
	prequalProbes = 3
	prequalPool   = 16
	prequalAge    = clock.Second
	prequalHot    = 0.84
	// farPenalty is the factor by which a target of another failure domain is worse.
	farPenalty = hostedDomainFactor
)

type (
	// known is what a node knows of a target.
	known struct {
		target   *balanceTarget
		far      float64
		inFlight int
		// occupied is the number of calls at the target at reportAt, and sent that of the
		// node's own calls since.
		occupied float64
		reportAt clock.Millis
		sent     int
		delay    clock.Millis
		// rate is the moving average of the calls per millisecond of all nodes to it.
		rate float64
		idle bool
	}

	// probeAnswer is the answer to a probe of Prequal.
	probeAnswer struct {
		target   *known
		at       clock.Millis
		inFlight int
		delay    float64
	}

	// simBalancer chooses by one of the policies that are compared with the picker.
	simBalancer struct {
		simulation *balanceSimulation
		node       int
		rand       *rand.Rand
		services   map[ident.ServiceName][]*known
		byID       map[ident.TargetID]*known
		// queue holds the idle targets of each service, and pool the answers to probes.
		queue map[ident.ServiceName][]*known
		pool  map[ident.ServiceName][]probeAnswer
	}
)

// newSimBalancer returns the balancer of node i for the simulation's policy.
func newSimBalancer(r *balanceSimulation, i int, random *rand.Rand) *simBalancer {
	return &simBalancer{
		simulation: r, node: i, rand: random, byID: make(map[ident.TargetID]*known),
		queue: make(map[ident.ServiceName][]*known), pool: make(map[ident.ServiceName][]probeAnswer),
	}
}

// setView chooses the targets that the node knows: half of them in its failure domain.
func (b *simBalancer) setView(_ clock.Millis, v *view.View) {
	b.services = make(map[ident.ServiceName][]*known)
	order := rand.New(rand.NewPCG(balanceSeed+2, uint64(b.node)))
	for i := range b.simulation.fleet.routes {
		service := balanceService(i)
		var near, far []*known
		targets := slices.Clone(v.Targets(service))
		order.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		for _, t := range targets {
			k := b.byID[t.ID]
			if k == nil {
				k = &known{target: b.simulation.byID[t.ID], far: 1}
				b.byID[t.ID] = k
			}
			if k.target.domain == b.simulation.nodes[b.node].domain {
				near = append(near, k)
			} else {
				k.far = farPenalty
				far = append(far, k)
			}
		}
		half := min(len(near), max(subsetSize/2, subsetSize-len(far)))
		b.services[service] = append(near[:half:half], far[:min(len(far), subsetSize-half)]...)
	}
}

// pick chooses a target and counts a call in flight to it.
func (b *simBalancer) pick(now clock.Millis, service ident.ServiceName, exclude []ident.TargetID) (ident.TargetID, bool) {
	var eligible, near []*known
	for _, k := range b.services[service] {
		if !slices.Contains(exclude, k.target.id) {
			eligible = append(eligible, k)
			if k.far == 1 {
				near = append(near, k)
			}
		}
	}
	if len(eligible) == 0 {
		return "", false
	}
	var best *known
	switch b.simulation.policy {
	case policyEstimate:
		best = b.pair(now, eligible)
		if len(near) > 0 {
			best = b.better(now, best, b.pair(now, near))
		}
	case policyCapacity:
		best = b.byCapacity(now, eligible)
	case policyIdle:
		best = b.idle(service, eligible, near)
	default:
		best = b.prequal(now, service, eligible)
	}
	best.inFlight++
	best.sent++
	best.idle = false
	return best.target.id, true
}

// occupancy returns the estimated number of calls at a target: those of the last report,
// the node's own since then, and the usual number of others.
func (k *known) occupancy(now clock.Millis) float64 {
	return k.occupied + float64(k.sent) + k.rate*float64(min(now-k.reportAt, clock.Second))/2
}

// pair returns the better one of two random targets.
func (b *simBalancer) pair(now clock.Millis, list []*known) *known {
	return b.better(now, list[b.rand.IntN(len(list))], list[b.rand.IntN(len(list))])
}

// better returns the target with the lower score.
func (b *simBalancer) better(now clock.Millis, x, y *known) *known {
	score := func(k *known) float64 {
		return float64(max(k.delay, 10)) * (1 + k.occupancy(now)/balanceSlots) * float64(k.inFlight+1) * k.far
	}
	if score(y) < score(x) {
		return y
	}
	return x
}

// byCapacity returns a random target in proportion to its estimated remaining capacity.
func (b *simBalancer) byCapacity(now clock.Millis, eligible []*known) *known {
	weight := func(k *known) float64 { return max(balanceSlots-k.occupancy(now), 0.3) / (k.far * k.far) }
	total := 0.0
	for _, k := range eligible {
		total += weight(k)
	}
	at := b.rand.Float64() * total
	for _, k := range eligible {
		if at -= weight(k); at < 0 {
			return k
		}
	}
	return eligible[len(eligible)-1]
}

// idle returns the target that has been idle for longest, a near one first, or a random
// one if none is known to be idle.
func (b *simBalancer) idle(service ident.ServiceName, eligible, near []*known) *known {
	for _, list := range [][]*known{near, eligible} {
		for i, k := range b.queue[service] {
			if slices.Contains(list, k) {
				b.queue[service] = slices.Delete(b.queue[service], i, i+1)
				return k
			}
		}
	}
	if len(near) > 0 {
		return near[b.rand.IntN(len(near))]
	}
	return eligible[b.rand.IntN(len(eligible))]
}

// prequal chooses by the hot-cold rule of Prequal from the pool of answers to probes, and
// sends new probes.
func (b *simBalancer) prequal(now clock.Millis, service ident.ServiceName, eligible []*known) *known {
	b.probe(now, service)
	pool := slices.DeleteFunc(b.pool[service], func(a probeAnswer) bool { return now-a.at > prequalAge })
	b.pool[service] = pool
	var usable []int
	for i, a := range pool {
		if slices.Contains(eligible, a.target) {
			usable = append(usable, i)
		}
	}
	if len(usable) < 2 {
		return eligible[b.rand.IntN(len(eligible))]
	}
	counts := make([]float64, 0, len(usable))
	for _, i := range usable {
		counts = append(counts, float64(pool[i].inFlight))
	}
	hot := quantile(counts, prequalHot)
	best := -1
	for _, i := range usable {
		a := pool[i]
		if best < 0 {
			best = i
			continue
		}
		o := pool[best]
		cold, otherCold := float64(a.inFlight) < hot, float64(o.inFlight) < hot
		switch {
		case cold && !otherCold, cold && otherCold && a.delay*a.target.far < o.delay*o.target.far, !cold && !otherCold && a.inFlight < o.inFlight:
			best = i
		}
	}
	chosen := pool[best].target
	pool[best].inFlight++ // compensates for the own call until the answer is too old
	if len(pool) > prequalPool/2 {
		b.pool[service] = slices.Delete(pool, 0, 1)
	}
	return chosen
}

// probe asks random targets for their calls in flight and their delay.
func (b *simBalancer) probe(now clock.Millis, service ident.ServiceName) {
	list := b.services[service]
	for range prequalProbes {
		k := list[b.rand.IntN(len(list))]
		b.simulation.result.probes++
		hop := b.simulation.fleet.hop
		b.simulation.schedule(now+hop, func() {
			if b.simulation.fault == balanceHang && k.target.faulty {
				return
			}
			load := k.target.gate.Load()
			a := probeAnswer{target: k, inFlight: balanceSlots - load.Free + load.Queued, delay: float64(max(k.delay, 10)), at: now + 2*hop}
			b.simulation.schedule(now+2*hop, func() {
				b.pool[service] = append(b.pool[service], a)
				if len(b.pool[service]) > prequalPool {
					b.pool[service] = b.pool[service][1:]
				}
			})
		})
	}
}

// done updates what is known of a target.
func (b *simBalancer) done(now clock.Millis, id ident.TargetID, o route.Outcome) {
	k := b.byID[id]
	k.inFlight--
	if o.Failed {
		k.delay += (o.Delay - k.delay) / 5
	}
	if !o.HasLoad {
		return
	}
	k.occupied, k.reportAt, k.sent = float64(balanceSlots-o.Load.Free+o.Load.Queued), now, 0
	if o.Stated.Slots > 0 {
		if k.delay == 0 {
			k.delay = o.Delay
		}
		k.delay += (o.Delay - k.delay) / 5
		k.rate += (k.occupied/float64(max(o.Delay, 1)) - k.rate) / 10
	}
	if o.Load.Free > 0 && !k.idle {
		k.idle = true
		b.queue[k.target.service] = append(b.queue[k.target.service], k)
	}
}

// name names no target.
func (b *simBalancer) name(clock.Millis, ident.ServiceName, []ident.TargetID) ident.TargetID {
	return ""
}

// take is not used, because no target is named.
func (b *simBalancer) take(clock.Millis, ident.TargetID) bool { return false }
