package route

import "hickoryrail/core/ident"

const (
	// maxLooks bounds the attempts of one call that only look for a free slot.
	maxLooks = 2
	// lookWeight is the weight of the newest look in the share that found a slot.
	lookWeight = 0.05
	// leastFound is the share of looks that must find a slot for calls to go on
	// looking. Below it nearly all targets are busy, and looking costs the way.
	leastFound = 0.25
	// lookAnyway is the number of calls of which one looks all the same.
	lookAnyway = 16
)

type (
	// Search decides whether an attempt only looks for a free slot, or may also wait at
	// the gate. It answers the load of a large fleet near its capacity: each node makes
	// few calls to each target, so what it knows of their load is old, and calls wait at
	// one target while another has a free slot. A gate that has none refuses a looking
	// attempt at once, which costs a way to a node and no work of a target. It is not
	// safe for concurrent use.
	Search struct {
		services map[ident.ServiceName]*search
	}

	// search is the state of one service.
	search struct {
		// found is the moving average of looks that found a slot (1) or did not (0).
		found float64
		// skipped counts the calls that did not look.
		skipped int
	}
)

// Looks reports whether the next attempt of a call only looks for a free slot. looked
// counts the call's attempts that did, and others the targets that it has not tried.
func (s *Search) Looks(service ident.ServiceName, looked, others int) bool {
	if looked >= maxLooks || others == 0 {
		return false
	}
	state := s.of(service)
	if state.found >= leastFound || looked > 0 {
		return true
	}
	state.skipped++
	if state.skipped < lookAnyway {
		return false
	}
	state.skipped = 0
	return true
}

// Looked takes the outcome of a look.
func (s *Search) Looked(service ident.ServiceName, found bool) {
	state := s.of(service)
	outcome := 0.0
	if found {
		outcome = 1
	}
	state.found += lookWeight * (outcome - state.found)
}

// Keep forgets the services for which has is false.
func (s *Search) Keep(has func(ident.ServiceName) bool) {
	for name := range s.services {
		if !has(name) {
			delete(s.services, name)
		}
	}
}

// of returns the state of a service, which begins with confidence.
func (s *Search) of(service ident.ServiceName) *search {
	if s.services == nil {
		s.services = make(map[ident.ServiceName]*search)
	}
	state := s.services[service]
	if state == nil {
		state = &search{found: 1}
		s.services[service] = state
	}
	return state
}
