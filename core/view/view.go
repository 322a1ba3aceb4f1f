// Package view joins a release with the routable targets of its services into an
// immutable view.
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
	// Target is a target that accepts requests, with the node beside it.
	Target struct {
		ID            ident.TargetID
		Node          ident.NodeID
		Address       string
		FailureDomain ident.FailureDomain
		Region        ident.Region
		// GateIncarnation is the incarnation of the admission gate to which requests
		// are addressed.
		GateIncarnation ident.Incarnation
		// Software is the target's software version if an order to roll it out exists;
		// empty otherwise.
		Software ident.SoftwareVersion
	}

	// View is one release with the targets of its services. It is immutable, so it can
	// be read without a lock.
	View struct {
		index *Index
		// targets has an entry, which may be empty, for every service of the release
		// and so for the service of every route.
		targets map[ident.ServiceName][]Target
	}
)

// Build joins a release with the members' records. To build several views of one
// release, call NewIndex once and Join for each view.
func Build(r model.Release, records []member.Record) *View {
	return NewIndex(r).Join(records)
}

// targetOf returns the target beside the node of a record.
func targetOf(m *member.Record) Target {
	return Target{
		ID: m.Target, Node: m.Node, Address: m.PeerAddress,
		FailureDomain: m.FailureDomain, Region: m.Region, GateIncarnation: m.GateIncarnation,
		Software: m.Software,
	}
}

// Version returns the version of the view's release.
func (v *View) Version() ident.Version {
	return v.index.release.Version
}

// Release returns the view's release.
func (v *View) Release() model.Release {
	return v.index.release
}

// Route returns the route of host with the longest prefix that matches path. The host
// may include a port. A prefix matches whole path segments only. A host without routes of
// its own uses the routes without a host.
func (v *View) Route(host, path string) (model.Route, bool) {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	if r := v.index.route(host, path); r != nil {
		return *r, true
	}
	return model.Route{}, false
}

// HasRoute reports whether the release has a route of that name.
func (v *View) HasRoute(name ident.RouteName) bool {
	_, ok := slices.BinarySearchFunc(v.index.release.Configuration.Rules.Routes, name,
		func(r model.Route, n ident.RouteName) int { return cmp.Compare(r.Name, n) })
	return ok
}

// HasTeams reports whether the release has teams, so that requests need an access key
// unless their route is anonymous.
func (v *View) HasTeams() bool {
	return len(v.index.release.Configuration.Rules.Teams) > 0
}

// Team returns the team of the access key with that digest, or nil. It allocates nothing.
// The caller must not change the team.
func (v *View) Team(key model.KeyDigest) *model.Team {
	i, ok := v.index.teams[key]
	if !ok {
		return nil
	}
	return &v.index.release.Configuration.Rules.Teams[i]
}

// Service returns the service with that name.
func (v *View) Service(name ident.ServiceName) (model.Service, bool) {
	for _, s := range v.index.release.Configuration.Inventory.Services {
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
