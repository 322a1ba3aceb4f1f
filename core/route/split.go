package route

import (
	"slices"

	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

type (
	// Split distributes the requests of split routes by weight, with the smooth
	// weighted round robin: after n requests, each part has got its share of n to
	// within one request. It is not safe for concurrent use.
	Split struct {
		// routes maps a route to the state of its parts.
		routes map[ident.RouteName]*split
	}

	// split is the state of one route.
	split struct {
		parts []model.Part
		// credit is what each part is owed in units of weight; the sum is 0.
		credit []int
	}
)

// Next returns the service of the route's next request.
func (s *Split) Next(r *model.Route) ident.ServiceName {
	if len(r.Parts) == 0 {
		return r.Service
	}
	if s.routes == nil {
		s.routes = make(map[ident.RouteName]*split)
	}
	state := s.routes[r.Name]
	if state == nil || !slices.Equal(state.parts, r.Parts) {
		state = &split{parts: r.Parts, credit: make([]int, len(r.Parts))}
		s.routes[r.Name] = state
	}
	return state.next()
}

// Keep forgets the routes for which has is false.
func (s *Split) Keep(has func(ident.RouteName) bool) {
	for name := range s.routes {
		if !has(name) {
			delete(s.routes, name)
		}
	}
}

// next credits every part with its weight and charges the one with the most.
func (s *split) next() ident.ServiceName {
	total, best := 0, -1
	for i, p := range s.parts {
		s.credit[i] += p.Weight
		total += p.Weight
		if p.Weight > 0 && (best < 0 || s.credit[i] > s.credit[best]) {
			best = i
		}
	}
	if best < 0 {
		return s.parts[0].Service // a valid route has a weight above 0
	}
	s.credit[best] -= total
	return s.parts[best].Service
}
