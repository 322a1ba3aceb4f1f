package retry

import (
	"math"
	"math/rand/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// minReturnMillis is the shortest delay after which a refused caller is asked to return.
	minReturnMillis = 100 * clock.Millis(1)
	// longestReturnShare bounds the delay as a share of the time that the caller has left.
	// Callers wait up to a third of it. In a burst the delays are spread over the upper half
	// of that range, since what returns earlier mostly meets the same burst.
	longestReturnShare  = 0.33
	shortestReturnShare = longestReturnShare / 2
	// returnMemoryMillis is the time after which a refusal or an admission counts 1/e.
	returnMemoryMillis = 1 * clock.Second
	// calmRefusals is the share of refused requests up to which a refusal is taken for
	// chance, so that an early return finds room.
	calmRefusals = 0.05
)

type (
	// Returns decides when a caller whose request was refused for lack of room may return.
	// The load that it answers is a burst of some seconds: with one short delay for all, the
	// refused requests come back into the same burst, are refused again and use up their
	// retries. It is not safe for concurrent use.
	Returns struct {
		// Rand is required.
		Rand *rand.Rand

		services map[ident.ServiceName]*returnState
	}

	// returnState holds the counts of one service, which decay with returnMemoryMillis.
	returnState struct {
		admitted, refused float64
		decayedAt         clock.Millis
	}
)

// Admitted counts a request to a service that was not refused.
func (r *Returns) Admitted(now clock.Millis, service ident.ServiceName) {
	r.state(now, service).admitted++
}

// Refused counts a refused request to a service and returns the delay after which its
// caller, which has left of its time, may return.
func (r *Returns) Refused(now clock.Millis, service ident.ServiceName, left clock.Millis) clock.Millis {
	s := r.state(now, service)
	s.refused++
	share := s.refused / (s.refused + s.admitted)
	if share <= calmRefusals {
		return minReturnMillis
	}
	share = shortestReturnShare + (longestReturnShare-shortestReturnShare)*r.Rand.Float64()
	return max(left*clock.Millis(share), minReturnMillis)
}

// Keep removes the state of the services for which exists returns false.
func (r *Returns) Keep(exists func(ident.ServiceName) bool) {
	for name := range r.services {
		if !exists(name) {
			delete(r.services, name)
		}
	}
}

// state returns the state of a service with its counts decayed to now.
func (r *Returns) state(now clock.Millis, service ident.ServiceName) *returnState {
	if r.services == nil {
		r.services = make(map[ident.ServiceName]*returnState)
	}
	s := r.services[service]
	if s == nil {
		s = &returnState{decayedAt: now}
		r.services[service] = s
	}
	if now > s.decayedAt {
		factor := math.Exp(-float64((now - s.decayedAt) / returnMemoryMillis))
		s.admitted *= factor
		s.refused *= factor
		s.decayedAt = now
	}
	return s
}
