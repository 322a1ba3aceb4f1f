package files

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

const (
	// domainTable to teamTable name the lists of tables.
	domainTable  = "FailureDomains"
	serviceTable = "Services"
	routeTable   = "Routes"
	teamTable    = "Teams"
	// maxFileBytes bounds the size of a file; the expected inventory has a few kilobytes.
	maxFileBytes = 4 << 20
)

// errNotRepresentable reports a configuration that Format cannot write.
var errNotRepresentable = errors.New("configuration has fields that the file format does not support")

// Source is the content of a file.
type Source struct {
	// Name is the file name in faults.
	Name string
	Body []byte
}

// Load reads the inventory and the rules from files. The error is Faults for invalid
// content.
func Load(inventory, rules string) (model.Configuration, error) {
	i, err := read(inventory)
	if err != nil {
		return model.Configuration{}, err
	}
	r, err := read(rules)
	if err != nil {
		return model.Configuration{}, err
	}
	return Parse(i, r)
}

// read reads a file of bounded size.
func read(name string) (Source, error) {
	f, err := os.Open(name)
	if err != nil {
		return Source{}, err
	}
	defer func() { _ = f.Close() }() // an error of Close loses no data of a file that is only read
	body, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(body) > maxFileBytes {
		err = fmt.Errorf("%s exceeds 4 MiB", name)
	}
	return Source{Name: name, Body: body}, err
}

// Parse returns the valid configuration of an inventory and its rules, or Faults
// with the errors in both files. A file that is not TOML is not checked beyond its first
// syntax error, and references from the other file into it are not checked.
func Parse(inventory, rules Source) (model.Configuration, error) {
	inventoryDoc := parse(inventory, domainTable, serviceTable)
	rulesDoc := parse(rules, routeTable, teamTable)
	var c model.Configuration
	elements := append(append([]*element{}, inventoryDoc.elements...), rulesDoc.elements...)
	faults := append(append(Faults{}, inventoryDoc.faults...), rulesDoc.faults...)
	for _, e := range elements {
		decode(&c, e)
		faults = append(faults, e.finish()...)
	}
	if !inventoryDoc.incomplete && !rulesDoc.incomplete {
		faults = append(faults, validate(c, elements)...)
	}
	if len(faults) > 0 {
		faults.sort(inventory.Name, rules.Name)
		return model.Configuration{}, faults
	}
	return c, nil
}

// decode decodes one table and adds it to the configuration.
func decode(c *model.Configuration, e *element) {
	switch e.table {
	case domainTable:
		c.Inventory.FailureDomains = append(c.Inventory.FailureDomains, model.FailureDomain{
			Name: ident.FailureDomain(e.text("Name")), Region: ident.Region(e.text("Region")),
		})
	case serviceTable:
		c.Inventory.Services = append(c.Inventory.Services, model.Service{
			Name: ident.ServiceName(e.text("Name")), Slots: ident.Slots(e.integer("Slots")),
			Connections: ident.Connections(e.integer("Connections")),
		})
	case routeTable:
		c.Rules.Routes = append(c.Rules.Routes, model.Route{
			Name: ident.RouteName(e.text("Name")), PathPrefix: e.text("PathPrefix"),
			Service: ident.ServiceName(e.text("Service")), Class: e.class("Class"),
			Idempotent: e.boolean("Idempotent"), TimeoutMillis: e.millis("TimeoutMillis", true),
			MaxAttempts: e.integer("MaxAttempts"), HedgeAfterMillis: e.millis("HedgeAfterMillis", false),
			Anonymous: e.boolean("Anonymous"),
		})
	case teamTable:
		c.Rules.Teams = append(c.Rules.Teams, e.team())
	}
}

// validate returns the faults of the configuration with their lines. It omits faults of
// keys for which a fault is already recorded.
func validate(c model.Configuration, elements []*element) Faults {
	found, ok := c.Validate().(model.Faults)
	if !ok {
		return nil
	}
	var faults Faults
	for _, f := range found {
		kind, rest, _ := strings.Cut(f.Field, "/")
		i := strings.LastIndexByte(rest, '/')
		name, key := rest[:max(i, 0)], rest[i+1:]
		if e := locate(elements, kind+"s", name, key, f.Value); e != nil {
			e.fault(key, f.Allowed)
			faults = append(faults, e.faults[len(e.faults)-1])
		}
	}
	return faults
}

// locate returns the table that a model.Fault refers to, or nil if a fault is already
// recorded for the key there. Of several tables with the same name it returns the last
// one with that value, which is the repetition.
func locate(elements []*element, table, name, key, value string) *element {
	for i := len(elements) - 1; i >= 0; i-- {
		e := elements[i]
		if e.table == table && e.decoded["Name"] == name && !e.faulty[key] &&
			(e.decoded[key] == value || slices.Contains(e.listed[key], value)) {
			return e
		}
	}
	return nil
}

// representable reports whether Format can write a configuration. Hosts, health paths,
// traffic splits, goals, limits for callers and slots that targets announce exist only in
// configurations of platforms that have their own format.
func representable(c model.Configuration) bool {
	if c.Rules.Callers != (model.CallerLimits{}) {
		return false
	}
	for _, s := range c.Inventory.Services {
		if s.TargetSlots || s.HealthPath != "" {
			return false
		}
	}
	for _, r := range c.Rules.Routes {
		if r.Host != "" || len(r.Parts) > 0 || r.GoalMillis != 0 {
			return false
		}
	}
	return true
}

// Format returns the files of a configuration; Parse returns an equal configuration
// from them.
func Format(c model.Configuration) (inventory, rules []byte, err error) {
	type route struct {
		Name, PathPrefix, Service, Class string
		Idempotent                       bool
		TimeoutMillis                    float64
		MaxAttempts                      int
		HedgeAfterMillis                 float64
		Anonymous                        bool `toml:",omitempty"`
	}
	type service struct {
		Name               string
		Slots, Connections int
	}
	if !representable(c) {
		return nil, nil, errNotRepresentable
	}
	// Without omitempty an empty list would be written as a value, which Parse refuses.
	var ruleTables struct {
		Routes []route    `toml:",omitempty"`
		Teams  []teamText `toml:",omitempty"`
	}
	inventoryTables := struct {
		FailureDomains []model.FailureDomain `toml:",omitempty"`
		Services       []service             `toml:",omitempty"`
	}{FailureDomains: c.Inventory.FailureDomains}
	for _, s := range c.Inventory.Services {
		inventoryTables.Services = append(inventoryTables.Services, service{Name: string(s.Name), Slots: int(s.Slots), Connections: int(s.Connections)})
	}
	for _, r := range c.Rules.Routes {
		ruleTables.Routes = append(ruleTables.Routes, route{
			Name: string(r.Name), PathPrefix: r.PathPrefix, Service: string(r.Service), Class: r.Class.String(),
			Idempotent: r.Idempotent, TimeoutMillis: float64(r.TimeoutMillis),
			MaxAttempts: r.MaxAttempts, HedgeAfterMillis: float64(r.HedgeAfterMillis),
			Anonymous: r.Anonymous,
		})
	}
	for i := range c.Rules.Teams {
		ruleTables.Teams = append(ruleTables.Teams, formatTeam(&c.Rules.Teams[i]))
	}
	if inventory, err = toml.Marshal(inventoryTables); err != nil {
		return nil, nil, err
	}
	rules, err = toml.Marshal(ruleTables)
	return inventory, rules, err
}
