package model

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// existence is the field that marks an element itself as present.
	existence = "Name"
	// domainKind, serviceKind and routeKind start the names of fields.
	domainKind  = "FailureDomain"
	serviceKind = "Service"
	routeKind   = "Route"
)

type (
	// Change is one field that differs between two configurations.
	Change struct {
		// Field names the value, such as Service/orders/Slots.
		Field string
		// Old is the text before; empty for a new element.
		Old string
		// New is the text after; empty for a removed element.
		New string
	}

	// fields maps a field's name to its value in text form.
	fields map[string]string
)

// Diff returns the fields that differ, in order of name.
func Diff(a, b Configuration) []Change {
	from, to := flatten(a), flatten(b)
	names := slices.Collect(maps.Keys(from))
	for name := range to {
		if _, both := from[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var changes []Change
	for _, name := range names {
		if from[name] != to[name] {
			changes = append(changes, Change{Field: name, Old: from[name], New: to[name]})
		}
	}
	return changes
}

// Merge applies the changes from base to edited on top of head. It returns the
// names of the fields that both sides changed to different values; the merged
// configuration is meaningful only if there are none. The result can still be
// invalid as a whole, so the caller validates it.
func Merge(base, head, edited Configuration) (Configuration, []string) {
	theirs := make(map[string]string)
	removed := make(map[string]bool)
	for _, c := range Diff(base, head) {
		theirs[c.Field] = c.New
		removed[elementOf(c.Field)] = removed[elementOf(c.Field)] || removes(c)
	}
	merged := flatten(head)
	var clashes []string
	for _, c := range Diff(base, edited) {
		value, both := theirs[c.Field]
		switch {
		case both && value != c.New:
			clashes = append(clashes, c.Field)
		case removed[elementOf(c.Field)] && !removes(c) && !both:
			clashes = append(clashes, c.Field)
		case removes(c) && touched(theirs, elementOf(c.Field), c.Field):
			clashes = append(clashes, c.Field)
		case c.New == "":
			delete(merged, c.Field)
		default:
			merged[c.Field] = c.New
		}
	}
	if len(clashes) > 0 {
		return Configuration{}, clashes
	}
	out, err := merged.configuration()
	if err != nil {
		return Configuration{}, []string{err.Error()}
	}
	return out, nil
}

// removes reports whether c removes a whole element.
func removes(c Change) bool {
	return c.New == "" && strings.HasSuffix(c.Field, "/"+existence)
}

// touched reports whether the other side changed a field of element to a value,
// while this side removes the element.
func touched(theirs map[string]string, element, except string) bool {
	for field, value := range theirs {
		if field != except && value != "" && elementOf(field) == element {
			return true
		}
	}
	return false
}

// elementOf returns the part of a field's name that names the element.
func elementOf(field string) string {
	i := strings.LastIndexByte(field, '/')
	return field[:max(i, 0)]
}

// flatten returns all fields of c in text form.
func flatten(c Configuration) fields {
	f := make(fields)
	for _, d := range c.Inventory.FailureDomains {
		f.put(domainKind, string(d.Name), existence, string(d.Name))
		f.put(domainKind, string(d.Name), "Region", string(d.Region))
	}
	for _, s := range c.Inventory.Services {
		f.put(serviceKind, string(s.Name), existence, string(s.Name))
		f.put(serviceKind, string(s.Name), "Slots", strconv.Itoa(int(s.Slots)))
		f.put(serviceKind, string(s.Name), "Connections", strconv.Itoa(int(s.Connections)))
	}
	for _, r := range c.Rules.Routes {
		f.route(r)
	}
	return f
}

// put sets one field.
func (f fields) put(kind, name, field, value string) {
	f[kind+"/"+name+"/"+field] = value
}

// route sets the fields of one route.
func (f fields) route(r Route) {
	name := string(r.Name)
	f.put(routeKind, name, existence, name)
	f.put(routeKind, name, "PathPrefix", r.PathPrefix)
	f.put(routeKind, name, "Service", string(r.Service))
	f.put(routeKind, name, "Class", r.Class.String())
	f.put(routeKind, name, "Idempotent", strconv.FormatBool(r.Idempotent))
	f.put(routeKind, name, "TimeoutMillis", formatMillis(r.TimeoutMillis))
	f.put(routeKind, name, "MaxAttempts", strconv.Itoa(r.MaxAttempts))
	f.put(routeKind, name, "HedgeAfterMillis", formatMillis(r.HedgeAfterMillis))
}

// configuration rebuilds a configuration from its fields.
func (f fields) configuration() (Configuration, error) {
	var c Configuration
	for field, name := range f {
		if !strings.HasSuffix(field, "/"+existence) {
			continue
		}
		element := elementOf(field)
		var err error
		switch {
		case strings.HasPrefix(element, domainKind+"/"):
			c.Inventory.FailureDomains = append(c.Inventory.FailureDomains, FailureDomain{
				Name: ident.FailureDomain(name), Region: ident.Region(f[element+"/Region"]),
			})
		case strings.HasPrefix(element, serviceKind+"/"):
			err = f.appendService(&c, element, name)
		case strings.HasPrefix(element, routeKind+"/"):
			err = f.appendRoute(&c, element, name)
		}
		if err != nil {
			return Configuration{}, fmt.Errorf("%s: %w", element, err)
		}
	}
	return c.sorted(), nil
}

// appendService rebuilds one service.
func (f fields) appendService(c *Configuration, element, name string) error {
	slots, err := strconv.Atoi(f[element+"/Slots"])
	if err != nil {
		return err
	}
	connections, err := strconv.Atoi(f[element+"/Connections"])
	if err != nil {
		return err
	}
	c.Inventory.Services = append(c.Inventory.Services, Service{
		Name: ident.ServiceName(name), Slots: ident.Slots(slots), Connections: ident.Connections(connections),
	})
	return nil
}

// appendRoute rebuilds one route.
func (f fields) appendRoute(c *Configuration, element, name string) error {
	class, ok := ParseClass(f[element+"/Class"])
	if !ok {
		return fmt.Errorf("unknown class %q", f[element+"/Class"])
	}
	timeout, err := strconv.ParseFloat(f[element+"/TimeoutMillis"], 64)
	if err != nil {
		return err
	}
	hedge, err := strconv.ParseFloat(f[element+"/HedgeAfterMillis"], 64)
	if err != nil {
		return err
	}
	attempts, err := strconv.Atoi(f[element+"/MaxAttempts"])
	if err != nil {
		return err
	}
	c.Rules.Routes = append(c.Rules.Routes, Route{
		Name: ident.RouteName(name), PathPrefix: f[element+"/PathPrefix"],
		Service: ident.ServiceName(f[element+"/Service"]), Class: class,
		Idempotent: f[element+"/Idempotent"] == "true", TimeoutMillis: clock.Millis(timeout),
		MaxAttempts: attempts, HedgeAfterMillis: clock.Millis(hedge),
	})
	return nil
}

// formatMillis returns the shortest text that parses to the same value.
func formatMillis(m clock.Millis) string {
	return strconv.FormatFloat(float64(m), 'f', -1, 64)
}
