// Package view provides the immutable join of a release with the live targets.
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
	// Target is a target that takes requests, and the node beside it.
	Target struct {
		ID            ident.TargetID
		Node          ident.NodeID
		Address       string
		FailureDomain ident.FailureDomain
		Region        ident.Region
		// Gate names the life of the admission gate that requests are addressed to.
		Gate ident.Incarnation
	}

	// View is one release with the targets of its services. It never changes, so
	// it can be read without a lock. Every route's service has an entry in
	// targets, which may be empty.
	View struct {
		release model.Release
		// routes maps each host to its routes in order of falling prefix length;
		// the empty host has those without a host.
		routes  map[string][]model.Route
		targets map[ident.ServiceName][]Target
	}
)

// Build joins a release with the members' records. Targets of services that the
// release lacks are left out.
func Build(r model.Release, records []member.Record) *View {
	v := &View{release: r, targets: make(map[ident.ServiceName][]Target)}
	for _, s := range r.Configuration.Inventory.Services {
		v.targets[s.Name] = nil
	}
	for _, m := range records {
		if _, known := v.targets[m.Service]; known && m.Routable() {
			v.targets[m.Service] = append(v.targets[m.Service], targetOf(m))
		}
	}
	for _, list := range v.targets {
		slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	v.routes = make(map[string][]model.Route)
	for _, route := range r.Configuration.Rules.Routes {
		v.routes[route.Host] = append(v.routes[route.Host], route)
	}
	for _, list := range v.routes {
		slices.SortFunc(list, func(a, b model.Route) int {
			return cmp.Or(cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), cmp.Compare(a.PathPrefix, b.PathPrefix))
		})
	}
	return v
}

// targetOf returns the target beside the node of a record.
func targetOf(m member.Record) Target {
	return Target{
		ID: m.Target, Node: m.Node, Address: m.PeerAddress,
		FailureDomain: m.FailureDomain, Region: m.Region, Gate: m.GateIncarnation,
	}
}

// Version returns the version of the view's release.
func (v *View) Version() ident.Version {
	return v.release.Version
}

// Release returns the view's release.
func (v *View) Release() model.Release {
	return v.release
}

// Route returns the route of host, which may have a port, with the longest prefix
// of path. A prefix matches whole path segments only. A host without routes of its
// own has those without a host.
func (v *View) Route(host, path string) (model.Route, bool) {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	list, ok := v.routes[strings.ToLower(host)]
	if !ok {
		list = v.routes[""]
	}
	for _, r := range list {
		if matches(r.PathPrefix, path) {
			return r, true
		}
	}
	return model.Route{}, false
}

// HasRoute reports whether the release has a route of that name.
func (v *View) HasRoute(name ident.RouteName) bool {
	_, ok := slices.BinarySearchFunc(v.release.Configuration.Rules.Routes, name,
		func(r model.Route, n ident.RouteName) int { return cmp.Compare(r.Name, n) })
	return ok
}

// matches reports whether prefix covers path at a segment boundary.
func matches(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// Service returns the service with that name.
func (v *View) Service(name ident.ServiceName) (model.Service, bool) {
	for _, s := range v.release.Configuration.Inventory.Services {
		if s.Name == name {
			return s, true
		}
	}
	return model.Service{}, false
}

// Targets returns the service's targets in order of id. The caller must not
// change the slice.
func (v *View) Targets(name ident.ServiceName) []Target {
	return v.targets[name]
}
