package model

import (
	"cmp"
	"slices"

	"hickoryrail/core/sets"
)

// differing returns the elements in which two sorted configurations differ. It keeps
// the cost of a delta proportional to its changes rather than to the number of routes.
func differing(a, b Configuration) (onlyA, onlyB Configuration) {
	onlyA.Inventory.FailureDomains, onlyB.Inventory.FailureDomains = differingElements(
		a.Inventory.FailureDomains, b.Inventory.FailureDomains, domainName, equalElements)
	onlyA.Inventory.Services, onlyB.Inventory.Services = differingElements(
		a.Inventory.Services, b.Inventory.Services, serviceName, equalElements)
	onlyA.Rules.Routes, onlyB.Rules.Routes = differingElements(
		a.Rules.Routes, b.Rules.Routes, routeName, equalRoutes)
	onlyA.Rules.Teams, onlyB.Rules.Teams = differingElements(a.Rules.Teams, b.Rules.Teams, teamName, equalTeams)
	dropCommonKeys(onlyA.Rules.Teams, onlyB.Rules.Teams)
	if a.Rules.Callers != b.Rules.Callers {
		onlyA.Rules.Callers, onlyB.Rules.Callers = a.Rules.Callers, b.Rules.Callers
	}
	return onlyA, onlyB
}

// differingElements returns the elements of each list that have no equal element in
// the other list. Both lists are in order of name.
func differingElements[E any](a, b []E, name func(*E) string, equal func(x, y *E) bool) (onlyA, onlyB []E) {
	for len(a) > 0 && len(b) > 0 {
		order := cmp.Compare(name(&a[0]), name(&b[0]))
		if order == 0 && equal(&a[0], &b[0]) {
			a, b = a[1:], b[1:]
			continue
		}
		if order <= 0 {
			onlyA, a = append(onlyA, a[0]), a[1:]
		}
		if order >= 0 {
			onlyB, b = append(onlyB, b[0]), b[1:]
		}
	}
	return append(onlyA, a...), append(onlyB, b...)
}

// partition returns the elements of c whose names, in the form of elementOf, are in
// named, and the others.
func (c Configuration) partition(named sets.Set[string]) (in, out Configuration) {
	in.Inventory.FailureDomains, out.Inventory.FailureDomains = partitionElements(
		c.Inventory.FailureDomains, named, domainKind, domainName)
	in.Inventory.Services, out.Inventory.Services = partitionElements(
		c.Inventory.Services, named, serviceKind, serviceName)
	in.Rules.Routes, out.Rules.Routes = partitionElements(c.Rules.Routes, named, routeKind, routeName)
	in.Rules.Teams, out.Rules.Teams = partitionElements(c.Rules.Teams, named, teamKind, teamName)
	if named.Has(callersKind + "/" + callersName) {
		in.Rules.Callers = c.Rules.Callers
	} else {
		out.Rules.Callers = c.Rules.Callers
	}
	return in, out
}

// partitionElements partitions the elements of one kind.
func partitionElements[E any](list []E, named sets.Set[string], kind string, name func(*E) string) (in, out []E) {
	out = make([]E, 0, len(list))
	for i := range list {
		if named.Has(kind + "/" + name(&list[i])) {
			in = append(in, list[i])
		} else {
			out = append(out, list[i])
		}
	}
	return in, out
}

// join returns the elements of both configurations. At most one of them has caller
// limits.
func (c Configuration) join(o Configuration) Configuration {
	out := Configuration{
		Inventory: Inventory{
			FailureDomains: slices.Concat(c.Inventory.FailureDomains, o.Inventory.FailureDomains),
			Services:       slices.Concat(c.Inventory.Services, o.Inventory.Services),
		},
		Rules: Rules{
			Routes: slices.Concat(c.Rules.Routes, o.Rules.Routes), Callers: c.Rules.Callers,
			Teams: slices.Concat(c.Rules.Teams, o.Rules.Teams),
		},
	}
	if o.Rules.Callers != (CallerLimits{}) {
		out.Rules.Callers = o.Rules.Callers
	}
	return out.sorted()
}

// domainName returns a failure domain's name.
func domainName(d *FailureDomain) string { return string(d.Name) }

// serviceName returns a service's name.
func serviceName(s *Service) string { return string(s.Name) }

// routeName returns a route's name.
func routeName(r *Route) string { return string(r.Name) }

// equalElements reports whether two comparable elements are equal.
func equalElements[E comparable](a, b *E) bool { return *a == *b }

// equalRoutes reports whether two routes are equal.
func equalRoutes(a, b *Route) bool {
	return a.Name == b.Name && a.Host == b.Host && a.PathPrefix == b.PathPrefix &&
		a.Service == b.Service && slices.Equal(a.Parts, b.Parts) &&
		a.Class == b.Class && a.Idempotent == b.Idempotent &&
		a.TimeoutMillis == b.TimeoutMillis && a.GoalMillis == b.GoalMillis &&
		a.MaxAttempts == b.MaxAttempts && a.HedgeAfterMillis == b.HedgeAfterMillis &&
		a.Anonymous == b.Anonymous && a.LargeAnswers == b.LargeAnswers
}
