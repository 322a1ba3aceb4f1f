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
	// nameField is a field that every element has: an element exists if it is set.
	nameField = "Name"
	// domainKind to callersKind are the kinds of elements, which field names start with.
	domainKind  = "FailureDomain"
	serviceKind = "Service"
	routeKind   = "Route"
	callersKind = "Callers"
	// callersName is the name of the only element of the kind Callers.
	callersName = "limits"
)

type (
	// Change is one field that differs between two configurations.
	Change struct {
		// Field is the name of the field, such as Service/orders/Slots.
		Field string
		// Old is the value before the change in text form; empty for a new field.
		Old string
		// New is the value after the change in text form; empty for a removed field.
		New string
	}

	// fields maps a field's name to its value in text form.
	fields map[string]string
)

// Diff returns the changes from a to b, in order of the fields' names.
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

// Merge applies the changes from base to edited to head. It returns the names of the
// fields that both sides changed to different values, or that one side changed while the
// other one removed their element; the merged configuration is meaningful only if there
// are none. The result can still be invalid as a whole, so the caller validates it.
func Merge(base, head, edited Configuration) (Configuration, []string) {
	headValues := make(map[string]string)
	removedElements := make(map[string]bool)
	for _, c := range Diff(base, head) {
		headValues[c.Field] = c.New
		removedElements[elementOf(c.Field)] = removedElements[elementOf(c.Field)] || removes(c)
	}
	merged := flatten(head)
	var clashes []string
	for _, c := range Diff(base, edited) {
		value, both := headValues[c.Field]
		switch {
		case both && value != c.New:
			clashes = append(clashes, c.Field)
		case removedElements[elementOf(c.Field)] && !removes(c) && !both:
			clashes = append(clashes, c.Field)
		case removes(c) && setsOtherField(headValues, elementOf(c.Field), c.Field):
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
	return c.New == "" && strings.HasSuffix(c.Field, "/"+nameField)
}

// setsOtherField reports whether values, the new values of changed fields, set a field of
// element other than except. An element can't be removed while another edit sets one of
// its fields.
func setsOtherField(values map[string]string, element, except string) bool {
	for field, value := range values {
		if field != except && value != "" && elementOf(field) == element {
			return true
		}
	}
	return false
}

// elementOf returns the kind and the name of the element that a field belongs to, such
// as Service/orders.
func elementOf(field string) string {
	i := strings.LastIndexByte(field, '/')
	return field[:max(i, 0)]
}

// flatten returns all fields of c in text form.
func flatten(c Configuration) fields {
	f := make(fields)
	for _, d := range c.Inventory.FailureDomains {
		f.set(domainKind, string(d.Name), nameField, string(d.Name))
		f.set(domainKind, string(d.Name), "Region", string(d.Region))
	}
	for _, s := range c.Inventory.Services {
		f.set(serviceKind, string(s.Name), nameField, string(s.Name))
		f.set(serviceKind, string(s.Name), "Slots", strconv.Itoa(int(s.Slots)))
		f.set(serviceKind, string(s.Name), "Connections", strconv.Itoa(int(s.Connections)))
		if s.HealthPath != "" {
			f.set(serviceKind, string(s.Name), "HealthPath", s.HealthPath)
		}
		if s.TargetSlots {
			f.set(serviceKind, string(s.Name), "TargetSlots", strconv.FormatBool(true))
		}
	}
	for _, r := range c.Rules.Routes {
		f.setRoute(r)
	}
	for i := range c.Rules.Teams {
		f.setTeam(&c.Rules.Teams[i])
	}
	f.setCallers(c.Rules.Callers)
	return f
}

// set sets a field of the element of the given kind and name.
func (f fields) set(kind, name, field, value string) {
	f[kind+"/"+name+"/"+field] = value
}

// setRoute sets the fields of a route. Optional fields without a value are left out.
func (f fields) setRoute(r Route) {
	name := string(r.Name)
	f.set(routeKind, name, nameField, name)
	f.set(routeKind, name, "PathPrefix", r.PathPrefix)
	f.set(routeKind, name, "Class", r.Class.String())
	f.set(routeKind, name, "Idempotent", strconv.FormatBool(r.Idempotent))
	f.set(routeKind, name, "TimeoutMillis", formatMillis(r.TimeoutMillis))
	f.set(routeKind, name, "MaxAttempts", strconv.Itoa(r.MaxAttempts))
	f.set(routeKind, name, "HedgeAfterMillis", formatMillis(r.HedgeAfterMillis))
	if r.Host != "" {
		f.set(routeKind, name, "Host", r.Host)
	}
	if r.Service != "" {
		f.set(routeKind, name, "Service", string(r.Service))
	}
	if len(r.Parts) > 0 {
		f.set(routeKind, name, "Parts", formatParts(r.Parts))
	}
	if r.GoalMillis != 0 {
		f.set(routeKind, name, "GoalMillis", formatMillis(r.GoalMillis))
	}
	if r.Anonymous {
		f.set(routeKind, name, "Anonymous", strconv.FormatBool(true))
	}
	if r.LargeAnswers {
		f.set(routeKind, name, "LargeAnswers", strconv.FormatBool(true))
	}
}

// setCallers sets the fields of the caller limits, unless all of them are zero.
func (f fields) setCallers(l CallerLimits) {
	if l == (CallerLimits{}) {
		return
	}
	f.set(callersKind, callersName, nameField, callersName)
	f.set(callersKind, callersName, "HeaderBytes", strconv.FormatInt(int64(l.HeaderBytes), 10))
	f.set(callersKind, callersName, "BodyBytes", strconv.FormatInt(int64(l.BodyBytes), 10))
	f.set(callersKind, callersName, "HeaderMillis", formatMillis(l.HeaderMillis))
	f.set(callersKind, callersName, "IdleMillis", formatMillis(l.IdleMillis))
}

// configuration parses the fields and returns the configuration that they describe.
func (f fields) configuration() (Configuration, error) {
	var c Configuration
	for field, name := range f {
		if !strings.HasSuffix(field, "/"+nameField) {
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
		case strings.HasPrefix(element, teamKind+"/"):
			err = f.appendTeam(&c, element, name)
		case element == callersKind+"/"+callersName:
			c.Rules.Callers, err = f.callerLimits(element)
		}
		if err != nil {
			return Configuration{}, fmt.Errorf("%s: %w", element, err)
		}
	}
	if err := f.addKeys(&c); err != nil {
		return Configuration{}, err
	}
	return c.sorted(), nil
}

// appendService parses the fields of a service and appends it to c.
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

// callerLimits parses the fields of the caller limits.
func (f fields) callerLimits(element string) (CallerLimits, error) {
	var l CallerLimits
	var failures [4]error
	l.HeaderBytes, failures[0] = parseBytes(f[element+"/HeaderBytes"])
	l.BodyBytes, failures[1] = parseBytes(f[element+"/BodyBytes"])
	l.HeaderMillis, failures[2] = parseMillis(f[element+"/HeaderMillis"])
	l.IdleMillis, failures[3] = parseMillis(f[element+"/IdleMillis"])
	return l, errors.Join(failures[:]...)
}

// appendRoute parses the fields of a route and appends it to c.
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
		Anonymous:    f[element+"/Anonymous"] == "true",
		LargeAnswers: f[element+"/LargeAnswers"] == "true",
	})
	return nil
}

// formatMillis returns the shortest decimal text that parses to the same value.
func formatMillis(m clock.Millis) string {
	return strconv.FormatFloat(float64(m), 'f', -1, 64)
}

// parseMillis parses the text that formatMillis returns.
func parseMillis(text string) (clock.Millis, error) {
	m, err := strconv.ParseFloat(text, 64)
	return clock.Millis(m), err
}

// parseBytes parses a decimal number of bytes.
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

// parseParts parses the text that formatParts returns; empty text means no parts.
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
