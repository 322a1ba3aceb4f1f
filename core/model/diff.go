package model

import (
	"errors"
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
	// domainKind to callersKind start the names of fields.
	domainKind  = "FailureDomain"
	serviceKind = "Service"
	routeKind   = "Route"
	callersKind = "Callers"
	// callersName is the name of the one element of its kind.
	callersName = "limits"
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
		if s.HealthPath != "" {
			f.put(serviceKind, string(s.Name), "HealthPath", s.HealthPath)
		}
		if s.TargetSlots {
			f.put(serviceKind, string(s.Name), "TargetSlots", strconv.FormatBool(true))
		}
	}
	for _, r := range c.Rules.Routes {
		f.route(r)
	}
	f.callers(c.Rules.Callers)
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
	f.put(routeKind, name, "Class", r.Class.String())
	f.put(routeKind, name, "Idempotent", strconv.FormatBool(r.Idempotent))
	f.put(routeKind, name, "TimeoutMillis", formatMillis(r.TimeoutMillis))
	f.put(routeKind, name, "MaxAttempts", strconv.Itoa(r.MaxAttempts))
	f.put(routeKind, name, "HedgeAfterMillis", formatMillis(r.HedgeAfterMillis))
	if r.Host != "" {
		f.put(routeKind, name, "Host", r.Host)
	}
	if r.Service != "" {
		f.put(routeKind, name, "Service", string(r.Service))
	}
	if len(r.Parts) > 0 {
		f.put(routeKind, name, "Parts", formatParts(r.Parts))
	}
	if r.GoalMillis != 0 {
		f.put(routeKind, name, "GoalMillis", formatMillis(r.GoalMillis))
	}
}

// callers sets the fields of the bounds for callers, if there are any.
func (f fields) callers(l CallerLimits) {
	if l == (CallerLimits{}) {
		return
	}
	f.put(callersKind, callersName, existence, callersName)
	f.put(callersKind, callersName, "HeaderBytes", strconv.FormatInt(int64(l.HeaderBytes), 10))
	f.put(callersKind, callersName, "BodyBytes", strconv.FormatInt(int64(l.BodyBytes), 10))
	f.put(callersKind, callersName, "HeaderMillis", formatMillis(l.HeaderMillis))
	f.put(callersKind, callersName, "IdleMillis", formatMillis(l.IdleMillis))
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
		case element == callersKind+"/"+callersName:
			c.Rules.Callers, err = f.callerLimits(element)
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
		TargetSlots: f[element+"/TargetSlots"] == "true", HealthPath: f[element+"/HealthPath"],
	})
	return nil
}

// callerLimits rebuilds the bounds for callers.
func (f fields) callerLimits(element string) (CallerLimits, error) {
	var l CallerLimits
	var failures [4]error
	l.HeaderBytes, failures[0] = parseBytes(f[element+"/HeaderBytes"])
	l.BodyBytes, failures[1] = parseBytes(f[element+"/BodyBytes"])
	l.HeaderMillis, failures[2] = parseMillis(f[element+"/HeaderMillis"])
	l.IdleMillis, failures[3] = parseMillis(f[element+"/IdleMillis"])
	return l, errors.Join(failures[:]...)
}

// appendRoute rebuilds one route.
func (f fields) appendRoute(c *Configuration, element, name string) error {
	class, ok := ParseClass(f[element+"/Class"])
	if !ok {
		return fmt.Errorf("unknown class %q", f[element+"/Class"])
	}
	timeout, err := parseMillis(f[element+"/TimeoutMillis"])
	if err != nil {
		return err
	}
	hedge, err := parseMillis(f[element+"/HedgeAfterMillis"])
	if err != nil {
		return err
	}
	var goal clock.Millis
	if text := f[element+"/GoalMillis"]; text != "" {
		if goal, err = parseMillis(text); err != nil {
			return err
		}
	}
	parts, err := parseParts(f[element+"/Parts"])
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
		Idempotent: f[element+"/Idempotent"] == "true", TimeoutMillis: timeout,
		MaxAttempts: attempts, HedgeAfterMillis: hedge,
		Host: f[element+"/Host"], Parts: parts, GoalMillis: goal,
	})
	return nil
}

// formatMillis returns the shortest text that parses to the same value.
func formatMillis(m clock.Millis) string {
	return strconv.FormatFloat(float64(m), 'f', -1, 64)
}

// parseMillis returns the time that formatMillis wrote.
func parseMillis(text string) (clock.Millis, error) {
	m, err := strconv.ParseFloat(text, 64)
	return clock.Millis(m), err
}

// parseBytes returns a number of bytes.
func parseBytes(text string) (ident.Bytes, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	return ident.Bytes(n), err
}

// formatParts returns the parts in text form, such as a=90,b=10.
func formatParts(parts []Part) string {
	texts := make([]string, len(parts))
	for i, p := range parts {
		texts[i] = string(p.Service) + "=" + strconv.Itoa(p.Weight)
	}
	return strings.Join(texts, ",")
}

// parseParts returns the parts that formatParts wrote; none for empty text.
func parseParts(text string) ([]Part, error) {
	if text == "" {
		return nil, nil
	}
	var parts []Part
	for _, item := range strings.Split(text, ",") {
		name, weight, _ := strings.Cut(item, "=")
		n, err := strconv.Atoi(weight)
		if err != nil {
			return nil, fmt.Errorf("weight of part %q: %w", name, err)
		}
		parts = append(parts, Part{Service: ident.ServiceName(name), Weight: n})
	}
	return parts, nil
}
