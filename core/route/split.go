package route

import (
	"slices"

	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

type (
	// Split distributes the requests of split routes by weight, with smooth weighted
	// round robin: after n requests, each part has received its share of n to within
	// one request. It is not safe for concurrent use.
	Split struct {
		// routes maps a route to the state of its parts.
		routes map[ident.RouteName]*splitState
	}

	// splitState is the state of one route.
	splitState struct {
		parts []model.Part
		// credit is the current weight of each part; the sum is 0 between requests.
		credit []int
	}
)

// Next returns the service of the route's next request.
func (s *Split) Next(r *model.Route) ident.ServiceName {
	if len(r.Parts) == 0 {
		return r.Service
	}
	if s.routes == nil {
		s.routes = make(map[ident.RouteName]*splitState)
	}
	state := s.routes[r.Name]
	if state == nil || !slices.Equal(state.parts, r.Parts) {
		state = &splitState{parts: r.Parts, credit: make([]int, len(r.Parts))}
		s.routes[r.Name] = state
	}
	return state.next()
}

// Keep removes the state of the routes for which exists returns false.
func (s *Split) Keep(exists func(ident.RouteName) bool) {
	for name := range s.routes {
		if !exists(name) {
			delete(s.routes, name)
		}
	}
}

// next adds each part's weight to its credit, deducts the total weight from the part
// with the most credit, and returns the service of that part.
func (s *splitState) next() ident.ServiceName {
	total, best := 0, -1
	for i, p := range s.parts {
		s.credit[i] += p.Weight
		total += p.Weight
		if p.Weight > 0 && (best < 0 || s.credit[i] > s.credit[best]) {
			best = i
		}
	}
	if best < 0 {
		return s.parts[0].Service // not reached: a valid route has a weight above 0
	}
	s.credit[best] -= total
	return s.parts[best].Service
}
