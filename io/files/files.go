package files

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

const (
	// domainTable, serviceTable and routeTable name the lists of tables.
	domainTable  = "FailureDomains"
	serviceTable = "Services"
	routeTable   = "Routes"
	// maxFileBytes bounds a file; the expected inventory has a few kilobytes.
	maxFileBytes = 4 << 20
)

// errInexpressible reports a configuration that files cannot hold.
var errInexpressible = errors.New("configuration has fields that files do not hold")

// Source is the content of a file.
type Source struct {
	// Name stands in faults.
	Name string
	Body []byte
}

// Load reads the inventory and the rules from files. A faulty content is Faults.
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
	defer func() { _ = f.Close() }() // it was only read
	body, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(body) > maxFileBytes {
		err = fmt.Errorf("%s exceeds 4 MiB", name)
	}
	return Source{Name: name, Body: body}, err
}

// Parse returns the valid configuration of an inventory and its rules, or Faults
// with everything that is wrong in both. A file that is not TOML is not checked
// beyond that fault, and the other file's references into it are not checked.
func Parse(inventory, rules Source) (model.Configuration, error) {
	i := parse(inventory, domainTable, serviceTable)
	r := parse(rules, routeTable)
	var c model.Configuration
	elements := append(append([]*element{}, i.elements...), r.elements...)
	faults := append(append(Faults{}, i.faults...), r.faults...)
	for _, e := range elements {
		decode(&c, e)
		faults = append(faults, e.end()...)
	}
	if !i.cut && !r.cut {
		faults = append(faults, validate(c, elements)...)
	}
	if len(faults) > 0 {
		faults.sort(inventory.Name, rules.Name)
		return model.Configuration{}, faults
	}
	return c, nil
}

// decode adds one table to the configuration.
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
			Idempotent: e.flag("Idempotent"), TimeoutMillis: e.millis("TimeoutMillis", true),
			MaxAttempts: e.integer("MaxAttempts"), HedgeAfterMillis: e.millis("HedgeAfterMillis", false),
		})
	}
}

// validate returns the faults of the configuration with their lines. A key that
// has a fault already gets no second one.
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

// locate returns the table that a fault of model is about, or nil if the key has
// a fault there already. Of several tables with one name it is the last with that
// value, which is the repeated one.
func locate(elements []*element, table, name, key, value string) *element {
	for i := len(elements) - 1; i >= 0; i-- {
		e := elements[i]
		if e.table == table && e.read["Name"] == name && e.read[key] == value && !e.faulty[key] {
			return e
		}
	}
	return nil
}

// expressible reports whether files can hold a configuration. Hosts, splits, goals,
// bounds for callers and slots that targets announce come from platforms with a form
// of their own.
func expressible(c model.Configuration) bool {
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

// Format returns the files of a configuration; Parse of both returns an equal
// configuration.
func Format(c model.Configuration) (inventory, rules []byte, err error) {
	type route struct {
		Name, PathPrefix, Service, Class string
		Idempotent                       bool
		TimeoutMillis                    float64
		MaxAttempts                      int
		HedgeAfterMillis                 float64
	}
	type service struct {
		Name               string
		Slots, Connections int
	}
	if !expressible(c) {
		return nil, nil, errInexpressible
	}
	// An empty list would be written as a value, which Parse refuses.
	var list struct {
		Routes []route `toml:",omitempty"`
	}
	lists := struct {
		FailureDomains []model.FailureDomain `toml:",omitempty"`
		Services       []service             `toml:",omitempty"`
	}{FailureDomains: c.Inventory.FailureDomains}
	for _, s := range c.Inventory.Services {
		lists.Services = append(lists.Services, service{Name: string(s.Name), Slots: int(s.Slots), Connections: int(s.Connections)})
	}
	for _, r := range c.Rules.Routes {
		list.Routes = append(list.Routes, route{
			Name: string(r.Name), PathPrefix: r.PathPrefix, Service: string(r.Service), Class: r.Class.String(),
			Idempotent: r.Idempotent, TimeoutMillis: float64(r.TimeoutMillis),
			MaxAttempts: r.MaxAttempts, HedgeAfterMillis: float64(r.HedgeAfterMillis),
		})
	}
	if inventory, err = toml.Marshal(lists); err != nil {
		return nil, nil, err
	}
	rules, err = toml.Marshal(list)
	return inventory, rules, err
}
