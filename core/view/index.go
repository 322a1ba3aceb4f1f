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
	// Index is a release with its routes indexed by host and path prefix. It is
	// immutable and shared by all views of the release.
	Index struct {
		release model.Release
		// hosts maps each host to its routes, and the empty host to the routes without
		// a host.
		hosts map[string]hostRoutes
		// teams maps the digest of each access key to the index of its team in the
		// release; nil without teams.
		teams map[model.KeyDigest]int32
	}

	// hostRoutes holds the routes of one host.
	hostRoutes struct {
		// byPrefix maps a path prefix to its route in the release.
		byPrefix map[string]*model.Route
		// longestPrefix is the length of the longest prefix in bytes.
		longestPrefix int
	}
)

// NewIndex returns the index of a release.
func NewIndex(r model.Release) *Index {
	x := &Index{release: r, hosts: make(map[string]hostRoutes)}
	routes := r.Configuration.Rules.Routes
	for i := range routes {
		h, ok := x.hosts[routes[i].Host]
		if !ok {
			h.byPrefix = make(map[string]*model.Route, len(routes))
		}
		h.byPrefix[routes[i].PathPrefix] = &routes[i]
		h.longestPrefix = max(h.longestPrefix, len(routes[i].PathPrefix))
		x.hosts[routes[i].Host] = h
	}
	x.indexTeams()
	return x
}

// indexTeams fills teams.
func (x *Index) indexTeams() {
	teams := x.release.Configuration.Rules.Teams
	if len(teams) == 0 {
		return
	}
	total := 0
	for i := range teams {
		total += len(teams[i].Keys)
	}
	x.teams = make(map[model.KeyDigest]int32, total)
	for i := range teams {
		for _, k := range teams[i].Keys {
			x.teams[k] = int32(i)
		}
	}
}

// Join returns the view of the release with the routable targets of the members'
// records. Targets whose service is not in the release are left out.
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

// route returns the route of host with the longest prefix that matches path, or nil. A
// host without routes uses the routes without a host.
func (x *Index) route(host, path string) *model.Route {
	h, ok := x.hosts[strings.ToLower(host)]
	if !ok {
		h = x.hosts[""]
	}
	return h.longestMatch(path)
}

// longestMatch returns the route with the longest prefix that matches path up to the end
// of a segment, or nil. It examines only the start of path up to the length of the longest
// prefix, so that a long path with many slashes costs no more.
func (h *hostRoutes) longestMatch(path string) *model.Route {
	if len(path) <= h.longestPrefix {
		if r := h.byPrefix[path]; r != nil {
			return r
		}
	}
	for end := min(len(path)-1, h.longestPrefix); end >= 0; end-- {
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
