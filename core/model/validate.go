package model

import (
	"fmt"
	"strings"

	"hickoryrail/core/ident"
	"hickoryrail/core/sets"
)

const (
	// MaxTimeoutMillis bounds a route's timeout and response-time goal. It is a day: longer
	// than any request is expected to take.
	MaxTimeoutMillis = 86_400_000
	// maxHedgeMillis bounds a route's hedge delay.
	maxHedgeMillis = 120_000
	// MaxRouteAttempts bounds a route's attempts.
	MaxRouteAttempts = 5
	// MaxConnections bounds a service's slots and connections.
	MaxConnections = 100_000
	// maxNameBytes bounds the length of a name.
	maxNameBytes = 64
	// maxHostBytes bounds the length of a host name (RFC 1035, 2.3.4).
	maxHostBytes = 253
	// MaxWeight bounds the weight of a part.
	MaxWeight = 1_000_000
)

// allowedClasses lists the names of the classes, for faults.
var allowedClasses = strings.Join(classNames[:], ", ")

type (
	// Fault is one invalid value of a configuration.
	Fault struct {
		// Field is the name of the field, such as Service/orders/Slots.
		Field string
		// Value is the invalid value in text form.
		Value string
		// Allowed describes the allowed values.
		Allowed string
	}

	// Faults is a non-empty list of faults.
	Faults []Fault

	// checker validates a configuration and collects its faults.
	checker struct {
		faults Faults
		// kind and name identify the element that is being checked.
		kind, name string
	}
)

// Error returns all faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %q is not allowed: %s", f.Field, f.Value, f.Allowed)
}

// Validate returns Faults with all invalid values, or nil if there are none.
func (c Configuration) Validate() error {
	var k checker
	k.checkDomains(c.Inventory.FailureDomains)
	services := k.checkServices(c.Inventory.Services)
	k.checkRoutes(c.Rules.Routes, services)
	k.checkTeams(c.Rules.Teams)
	k.checkLimits(c.Rules.Callers)
	if len(k.faults) > 0 {
		return k.faults
	}
	return nil
}

// require records a fault of the element being checked unless ok. It formats text only
// for faults, because a release may have thousands of valid values.
func require[V any](k *checker, ok bool, field string, value V, allowed string) {
	if !ok {
		k.faults = append(k.faults, Fault{Field: k.kind + "/" + k.name + "/" + field, Value: fmt.Sprint(value), Allowed: allowed})
	}
}

// startElement starts the check of an element. Its name must be valid and not yet in
// seen, and is added to it.
func (k *checker) startElement(seen sets.Set[string], kind, name string) {
	k.kind, k.name = kind, name
	require(k, ValidName(name), nameField, name, "1 to 64 letters, digits, '-', '_' or '.'")
	k.requireOnce(seen, name)
}

// requireOnce checks that the name of the element being checked is not yet in seen, and
// adds it.
func (k *checker) requireOnce(seen sets.Set[string], name string) {
	require(k, seen.Add(name), nameField, name, "a name that is used once")
}

// checkDomains checks the failure domains.
func (k *checker) checkDomains(domains []FailureDomain) {
	seen := sets.Of[string]()
	for _, d := range domains {
		k.startElement(seen, domainKind, string(d.Name))
		require(k, ValidName(string(d.Region)), "Region", d.Region, "a region's name")
	}
}

// checkServices checks the services and returns their names.
func (k *checker) checkServices(services []Service) sets.Set[ident.ServiceName] {
	seen := sets.Of[string]()
	names := sets.Of[ident.ServiceName]()
	for _, s := range services {
		k.startElement(seen, serviceKind, string(s.Name))
		names.Add(s.Name)
		if s.TargetSlots {
			require(k, s.Slots == 0, "Slots", s.Slots, "0, because the targets announce their slots")
		} else {
			require(k, s.Slots >= 1 && s.Slots <= MaxConnections, "Slots", s.Slots, "1 to 100000")
		}
		require(k, s.HealthPath == "" || strings.HasPrefix(s.HealthPath, "/"), "HealthPath", s.HealthPath, "a path that starts with '/'")
		require(k, int(s.Connections) >= int(s.Slots) && s.Connections <= MaxConnections,
			"Connections", s.Connections, "at least Slots, at most 100000")
	}
	return names
}

// checkRoutes checks the routes; services holds the names of all services.
func (k *checker) checkRoutes(routes []Route, services sets.Set[ident.ServiceName]) {
	names, prefixes := sets.Of[string](), sets.Of[[2]string]()
	for i := range routes {
		r := &routes[i]
		k.startElement(names, routeKind, string(r.Name))
		require(k, strings.HasPrefix(r.PathPrefix, "/"), "PathPrefix", r.PathPrefix, "a path that starts with '/'")
		require(k, prefixes.Add([2]string{r.Host, r.PathPrefix}), "PathPrefix", r.PathPrefix, "a prefix that no other route has")
		require(k, r.Host == "" || validHost(r.Host), "Host", r.Host, "a host name in lower case without a port")
		k.checkDestinations(r, services)
		k.checkRouteBounds(r)
	}
}

// checkRouteBounds checks that a route's class, times and attempts are within bounds.
func (k *checker) checkRouteBounds(r *Route) {
	require(k, int(r.Class) < len(classNames), "Class", r.Class, allowedClasses)
	require(k, r.TimeoutMillis > 0 && r.TimeoutMillis <= MaxTimeoutMillis, "TimeoutMillis", r.TimeoutMillis, "above 0, at most 86400000")
	require(k, r.MaxAttempts >= 1 && r.MaxAttempts <= MaxRouteAttempts, "MaxAttempts", r.MaxAttempts, "1 to 5")
	require(k, r.HedgeAfterMillis >= -1 && r.HedgeAfterMillis <= maxHedgeMillis, "HedgeAfterMillis", r.HedgeAfterMillis, "-1 to 120000")
	require(k, r.GoalMillis >= 0 && r.GoalMillis <= MaxTimeoutMillis, "GoalMillis", r.GoalMillis, "0 to 86400000")
}

// checkDestinations checks the service of a route, or its parts.
func (k *checker) checkDestinations(r *Route, services sets.Set[ident.ServiceName]) {
	if len(r.Parts) == 0 {
		require(k, services.Has(r.Service), "Service", r.Service, "a service of the inventory")
		return
	}
	require(k, r.Service == "", "Service", r.Service, "no service beside parts")
	total, seen := 0, sets.Of[ident.ServiceName]()
	for _, p := range r.Parts {
		require(k, services.Has(p.Service) && seen.Add(p.Service), "Parts", p.Service, "a service of the inventory, once")
		require(k, p.Weight >= 0 && p.Weight <= MaxWeight, "Parts", p.Weight, "a weight from 0 to 1000000")
		total += max(p.Weight, 0)
	}
	require(k, total > 0, "Parts", 0, "a weight above 0")
}

// checkLimits checks the caller limits.
func (k *checker) checkLimits(l CallerLimits) {
	ok := l.HeaderBytes >= 0 && l.BodyBytes >= 0 && l.HeaderMillis >= 0 && l.IdleMillis >= 0
	k.kind, k.name = callersKind, callersName
	require(k, ok, "Limits", "negative", "values from 0")
}

// validHost reports whether host is a valid host name in lower case.
func validHost(host string) bool {
	for label := range strings.SplitSeq(host, ".") {
		if !ValidName(label) || label != strings.ToLower(label) {
			return false
		}
	}
	return len(host) <= maxHostBytes
}

// ValidName reports whether name is a valid name of an element, or label of a host
// name.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && !strings.ContainsRune("-_.", c) {
			return false
		}
	}
	return true
}
