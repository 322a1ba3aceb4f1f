package route

import "hickoryrail/core/ident"

const (
	// maxFailFast bounds the fail-fast attempts of one call.
	maxFailFast = 2
	// admissionWeight is the weight of the newest attempt in admissionRate.
	admissionWeight = 0.05
	// minAdmissionRate is the admission rate below which most calls make no fail-fast
	// attempts: nearly all targets are busy, and a refused attempt only costs a round
	// trip.
	minAdmissionRate = 0.25
	// probeInterval is the number of calls of which one still makes a fail-fast attempt
	// while the admission rate is too low, so that free slots are noticed again.
	probeInterval = 16
)

type (
	// FailFastPolicy decides whether an attempt fails fast or may wait in the gate's
	// queue. A gate refuses a fail-fast attempt at once unless a slot is free now or
	// soon. In a large fleet near its capacity each node makes few calls to each target,
	// so its load figures are out of date, and calls queue at one target while another
	// has a free slot. A refused fail-fast attempt costs a round trip to a node but no
	// work of a target. It is not safe for concurrent use.
	FailFastPolicy struct {
		services map[ident.ServiceName]*failFastState
	}

	// failFastState is the state of one service.
	failFastState struct {
		// admissionRate is the moving average of fail-fast attempts that were
		// admitted (1) or refused (0).
		admissionRate float64
		// skipped counts the calls without a fail-fast attempt since the last probe.
		skipped int
	}
)

// ShouldFailFast reports whether the next attempt of a call should fail fast. refused
// counts the call's refused fail-fast attempts, and others the targets that it has not
// tried.
func (p *FailFastPolicy) ShouldFailFast(service ident.ServiceName, refused, others int) bool {
	if refused >= maxFailFast || others == 0 {
		return false
	}
	state := p.state(service)
	if state.admissionRate >= minAdmissionRate || refused > 0 {
		return true
	}
	state.skipped++
	if state.skipped < probeInterval {
		return false
	}
	state.skipped = 0
	return true
}

// Record updates the admission rate of a service with the outcome of a fail-fast
// attempt.
func (p *FailFastPolicy) Record(service ident.ServiceName, admitted bool) {
	state := p.state(service)
	outcome := 0.0
	if admitted {
		outcome = 1
	}
	state.admissionRate += admissionWeight * (outcome - state.admissionRate)
}

// Keep removes the state of the services for which exists returns false.
func (p *FailFastPolicy) Keep(exists func(ident.ServiceName) bool) {
	for name := range p.services {
		if !exists(name) {
			delete(p.services, name)
		}
	}
}

// state returns the state of a service. A new service starts with an admission rate
// of 1, so that its attempts fail fast.
func (p *FailFastPolicy) state(service ident.ServiceName) *failFastState {
	if p.services == nil {
		p.services = make(map[ident.ServiceName]*failFastState)
	}
	state := p.services[service]
	if state == nil {
		state = &failFastState{admissionRate: 1}
		p.services[service] = state
	}
	return state
}
