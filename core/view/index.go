package view

import (
	"cmp"
	"slices"
	"strings"

	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
)

type (
	// Index is a release with its routes arranged for lookup. It never changes, and
	// serves all views of the release.
	Index struct {
		release model.Release
		// hosts has the routes of each host; the empty host has those without one.
		hosts map[string]hostRoutes
	}

	// hostRoutes are the routes of one host.
	hostRoutes struct {
		// byPrefix leads from a path prefix to its route in the release.
		byPrefix map[string]*model.Route
		// longest is the length of the longest prefix in bytes.
		longest int
	}
)

// NewIndex arranges the routes of a release.
func NewIndex(r model.Release) *Index {
	x := &Index{release: r, hosts: make(map[string]hostRoutes)}
	routes := r.Configuration.Rules.Routes
	for i := range routes {
		h, ok := x.hosts[routes[i].Host]
		if !ok {
			h.byPrefix = make(map[string]*model.Route, len(routes))
		}
		h.byPrefix[routes[i].PathPrefix] = &routes[i]
		h.longest = max(h.longest, len(routes[i].PathPrefix))
		x.hosts[routes[i].Host] = h
	}
	return x
}

// Join returns the view of the release with the targets in the members' records.
// Targets of services that the release lacks are left out.
func (x *Index) Join(records []member.Record) *View {
	v := &View{index: x, targets: make(map[ident.ServiceName][]Target)}
	for _, s := range x.release.Configuration.Inventory.Services {
		v.targets[s.Name] = nil
	}
	for i := range records {
		m := &records[i]
		if _, known := v.targets[m.Service]; known && m.Routable() {
			v.targets[m.Service] = append(v.targets[m.Service], targetOf(m))
		}
	}
	for _, list := range v.targets {
		slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}

// route returns the route of a host with the longest prefix that covers path.
func (x *Index) route(host, path string) *model.Route {
	h, ok := x.hosts[strings.ToLower(host)]
	if !ok {
		h = x.hosts[""]
	}
	return h.covering(path)
}

// covering returns the route with the longest prefix that covers path up to a
// segment's end, or nil. Only as many bytes as the longest prefix has are looked
// at, so that a path with many slashes costs no more.
func (h *hostRoutes) covering(path string) *model.Route {
	if len(path) <= h.longest {
		if r := h.byPrefix[path]; r != nil {
			return r
		}
	}
	for end := min(len(path)-1, h.longest); end >= 0; end-- {
		if path[end] != '/' {
			continue
		}
		if r := h.byPrefix[path[:end+1]]; r != nil {
			return r
		}
		if r := h.byPrefix[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}
