package model

import (
	"fmt"
	"strconv"
	"strings"

	"hickoryrail/core/ident"
	"hickoryrail/core/sets"
)

const (
	// MaxTimeoutMillis bounds a route's timeout.
	MaxTimeoutMillis = 120_000
	// MaxRouteAttempts bounds a route's attempts.
	MaxRouteAttempts = 5
	// maxSlots bounds a service's slots and connections.
	maxSlots = 100_000
	// maxNameBytes bounds a name.
	maxNameBytes = 64
	// maxHostBytes bounds a host name (RFC 1035, 2.3.4).
	maxHostBytes = 253
	// maxWeight bounds the weight of a part.
	maxWeight = 1_000_000
)

type (
	// Fault is one thing wrong with a configuration.
	Fault struct {
		// Field names the value, such as Service/orders/Slots.
		Field string
		// Value is the refused value in text form.
		Value string
		// Allowed says what would be accepted.
		Allowed string
	}

	// Faults is a non-empty list of faults.
	Faults []Fault

	// checker collects faults.
	checker struct {
		faults Faults
	}
)

// Error returns all faults, one a line.
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

// Validate returns nil or Faults with everything that is wrong.
func (c Configuration) Validate() error {
	var k checker
	k.domains(c.Inventory.FailureDomains)
	services := k.services(c.Inventory.Services)
	k.routes(c.Rules.Routes, services)
	k.limits(c.Rules.Callers)
	if len(k.faults) > 0 {
		return k.faults
	}
	return nil
}

// require records a fault unless ok.
func (k *checker) require(ok bool, field, value, allowed string) {
	if !ok {
		k.faults = append(k.faults, Fault{Field: field, Value: value, Allowed: allowed})
	}
}

// name checks a name's form and that it is new in seen.
func (k *checker) name(seen sets.Set[string], field, name string) {
	k.require(validName(name), field, name, "1 to 64 letters, digits, '-', '_' or '.'")
	k.require(seen.Add(name), field, name, "a name that is used once")
}

// domains checks the failure domains.
func (k *checker) domains(domains []FailureDomain) {
	seen := sets.Of[string]()
	for _, d := range domains {
		field := "FailureDomain/" + string(d.Name)
		k.name(seen, field+"/Name", string(d.Name))
		k.require(validName(string(d.Region)), field+"/Region", string(d.Region), "a region's name")
	}
}

// services checks the services and returns their names.
func (k *checker) services(services []Service) sets.Set[ident.ServiceName] {
	seen := sets.Of[string]()
	names := sets.Of[ident.ServiceName]()
	for _, s := range services {
		field := "Service/" + string(s.Name)
		k.name(seen, field+"/Name", string(s.Name))
		names.Add(s.Name)
		if s.TargetSlots {
			k.require(s.Slots == 0, field+"/Slots", strconv.Itoa(int(s.Slots)), "0, because the targets announce their slots")
		} else {
			k.require(s.Slots >= 1 && s.Slots <= maxSlots, field+"/Slots", strconv.Itoa(int(s.Slots)), "1 to 100000")
		}
		k.require(s.HealthPath == "" || strings.HasPrefix(s.HealthPath, "/"), field+"/HealthPath", s.HealthPath, "a path that starts with '/'")
		k.require(int(s.Connections) >= int(s.Slots) && s.Connections <= maxSlots,
			field+"/Connections", strconv.Itoa(int(s.Connections)), "at least Slots, at most 100000")
	}
	return names
}

// routes checks the routes against the services.
func (k *checker) routes(routes []Route, services sets.Set[ident.ServiceName]) {
	names, prefixes := sets.Of[string](), sets.Of[string]()
	for _, r := range routes {
		field := "Route/" + string(r.Name)
		k.name(names, field+"/Name", string(r.Name))
		k.require(strings.HasPrefix(r.PathPrefix, "/"), field+"/PathPrefix", r.PathPrefix, "a path that starts with '/'")
		k.require(prefixes.Add(r.Host+" "+r.PathPrefix), field+"/PathPrefix", r.PathPrefix, "a prefix that no other route has")
		k.require(r.Host == "" || validHost(r.Host), field+"/Host", r.Host, "a host name in lower case without a port")
		k.destinations(r, field, services)
		k.require(int(r.Class) < len(classNames), field+"/Class", r.Class.String(), strings.Join(classNames[:], ", "))
		k.require(r.TimeoutMillis > 0 && r.TimeoutMillis <= MaxTimeoutMillis,
			field+"/TimeoutMillis", r.TimeoutMillis.String(), "above 0, at most 120000")
		k.require(r.MaxAttempts >= 1 && r.MaxAttempts <= MaxRouteAttempts,
			field+"/MaxAttempts", strconv.Itoa(r.MaxAttempts), "1 to 5")
		k.require(r.HedgeAfterMillis >= -1 && r.HedgeAfterMillis <= MaxTimeoutMillis,
			field+"/HedgeAfterMillis", r.HedgeAfterMillis.String(), "-1 to 120000")
		k.require(r.GoalMillis >= 0 && r.GoalMillis <= MaxTimeoutMillis, field+"/GoalMillis", r.GoalMillis.String(), "0 to 120000")
	}
}

// destinations checks the service or the parts of a route.
func (k *checker) destinations(r Route, field string, services sets.Set[ident.ServiceName]) {
	if len(r.Parts) == 0 {
		k.require(services.Has(r.Service), field+"/Service", string(r.Service), "a service of the inventory")
		return
	}
	k.require(r.Service == "", field+"/Service", string(r.Service), "no service beside parts")
	total, seen := 0, sets.Of[ident.ServiceName]()
	for _, p := range r.Parts {
		k.require(services.Has(p.Service) && seen.Add(p.Service), field+"/Parts", string(p.Service), "a service of the inventory, once")
		k.require(p.Weight >= 0 && p.Weight <= maxWeight, field+"/Parts", strconv.Itoa(p.Weight), "a weight from 0 to 1000000")
		total += max(p.Weight, 0)
	}
	k.require(total > 0, field+"/Parts", "0", "a weight above 0")
}

// limits checks the bounds for callers.
func (k *checker) limits(l CallerLimits) {
	ok := l.HeaderBytes >= 0 && l.BodyBytes >= 0 && l.HeaderMillis >= 0 && l.IdleMillis >= 0
	k.require(ok, "Callers/"+callersName, "negative", "values from 0")
}

// validHost reports whether host is a host name in lower case.
func validHost(host string) bool {
	for _, label := range strings.Split(host, ".") {
		if !validName(label) || label != strings.ToLower(label) {
			return false
		}
	}
	return len(host) <= maxHostBytes
}

// validName reports whether name has an allowed form.
func validName(name string) bool {
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
