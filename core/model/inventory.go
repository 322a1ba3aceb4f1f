// Package model provides the configuration that hickoryrail distributes: the
// inventory, the rules, releases and the differences between them.
package model

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// Check is for price, stock, credit, availability and standing checks, which
	// must be answered quickly.
	Check Class = iota
	// Action is for orders, reservations, invoices, bookings and redemptions.
	Action
	// Browse is for requests that may be slow.
	Browse
)

type (
	// Class is the priority of requests that wait for the same target; a lower value
	// goes first.
	Class uint8

	// FailureDomain is a set of servers that can fail together.
	FailureDomain struct {
		// Name is unique in the inventory and not empty.
		Name ident.FailureDomain
		// Region is not empty.
		Region ident.Region
	}

	// Service is a set of interchangeable targets.
	Service struct {
		// Name is unique in the inventory and not empty.
		Name ident.ServiceName
		// Slots is the number of requests that each target runs at the same
		// time; at least 1.
		Slots ident.Slots
		// Connections is the number of connections that each target accepts; at
		// least Slots.
		Connections ident.Connections
		// TargetSlots means that each target announces its own number of slots; Slots
		// is then 0.
		TargetSlots bool `cbor:",omitempty"`
		// HealthPath is the path of the targets' health checks; empty if there are
		// none.
		HealthPath string `cbor:",omitempty"`
	}

	// Part is one service of a split route with its weight.
	Part struct {
		// Service is in the inventory of the same configuration.
		Service ident.ServiceName
		// Weight is at least 0; the weights of a split are not all 0.
		Weight int
	}

	// Inventory lists the failure domains and the services. The order of the lists has
	// no meaning.
	Inventory struct {
		FailureDomains []FailureDomain
		Services       []Service
	}

	// Route sends the requests under a path prefix to a service.
	Route struct {
		// Name is unique in the rules and not empty.
		Name ident.RouteName
		// Host is the host name whose requests the route serves; a route without one
		// serves the requests for hosts that no other route names.
		Host string `cbor:",omitempty"`
		// PathPrefix starts with a slash and is unique among the routes of its
		// host; the longest matching prefix applies.
		PathPrefix string
		// Service is in the inventory of the same configuration. It is empty if and
		// only if there are Parts.
		Service ident.ServiceName
		// Parts split the route's requests among services by weight.
		Parts []Part `cbor:",omitempty"`
		// Class is the priority of the requests at the admission gate.
		Class Class
		// Idempotent allows a request to be retried after it may have run.
		Idempotent bool
		// TimeoutMillis bounds a request from ingress to answer; above 0.
		TimeoutMillis clock.Millis
		// MaxAttempts is from 1 to 5.
		MaxAttempts int
		// HedgeAfterMillis is the delay before a second attempt of an idempotent
		// check: 0 derives it from the observed delays, below 0 turns it off.
		HedgeAfterMillis clock.Millis
		// GoalMillis is the response-time goal; 0 means none.
		GoalMillis clock.Millis `cbor:",omitempty"`
		// Anonymous admits requests without an access key although the rules have teams.
		Anonymous bool `cbor:",omitempty" json:",omitempty"`
		// LargeAnswers marks a route whose answers fill a link for a noticeable time.
		LargeAnswers bool `cbor:",omitempty" json:",omitempty"`
	}

	// CallerLimits bounds the size and the duration of callers' requests. A zero field
	// means the bound of the node's settings.
	CallerLimits struct {
		HeaderBytes ident.Bytes
		BodyBytes   ident.Bytes
		// HeaderMillis bounds the time in which a request's header arrives.
		HeaderMillis clock.Millis
		// IdleMillis is how long a connection may stay open without a request.
		IdleMillis clock.Millis
	}

	// Rules are the routes and limits that operators add to the inventory.
	Rules struct {
		Routes []Route
		// Callers applies to all routes.
		Callers CallerLimits `cbor:",omitzero"`
		// Teams lists the teams. While it is not empty, a request needs the access key
		// of a team unless its route is Anonymous.
		Teams []Team `cbor:",omitempty" json:",omitempty"`
	}

	// Configuration is an inventory with its rules. It is immutable once it is part of a
	// release.
	Configuration struct {
		Inventory Inventory
		Rules     Rules
	}
)

// Services returns the services that the route sends requests to.
func (r *Route) Services() []ident.ServiceName {
	if len(r.Parts) == 0 {
		return []ident.ServiceName{r.Service}
	}
	out := make([]ident.ServiceName, len(r.Parts))
	for i, p := range r.Parts {
		out[i] = p.Service
	}
	return out
}

// LargeRoutes returns the names of the routes with large answers.
func (r *Rules) LargeRoutes() []ident.RouteName {
	var names []ident.RouteName
	for i := range r.Routes {
		if r.Routes[i].LargeAnswers {
			names = append(names, r.Routes[i].Name)
		}
	}
	return names
}

// classNames holds the text form of each class.
var classNames = [...]string{"Check", "Action", "Browse"}

// String returns the class's name as used in rules and logs.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "Class(" + string('0'+rune(c%10)) + ")"
}

// ParseClass returns the class with the given name.
func ParseClass(text string) (Class, bool) {
	for i, name := range classNames {
		if name == text {
			return Class(i), true
		}
	}
	return Browse, false
}

// ClassNames returns the names of all classes, for use in messages. The caller must not
// modify the slice.
func ClassNames() []string {
	return classNames[:]
}
