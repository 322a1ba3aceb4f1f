package admin

import (
	"fmt"
	"strings"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

type (
	// Document is a configuration as the operators' API encodes it in JSON, with
	// classes by name.
	Document struct {
		Inventory model.Inventory
		Rules     RulesDocument
	}

	// RulesDocument holds the rules of a Document.
	RulesDocument struct {
		Routes []RouteDocument
		Teams  []TeamDocument `json:",omitempty"`
	}

	// RouteDocument is one route of a Document.
	RouteDocument struct {
		Name             ident.RouteName
		PathPrefix       string
		Service          ident.ServiceName
		Class            string
		Idempotent       bool
		TimeoutMillis    clock.Millis
		MaxAttempts      int
		HedgeAfterMillis clock.Millis
		Anonymous        bool `json:",omitempty"`
	}
)

// NewDocument returns the document of a configuration.
func NewDocument(c model.Configuration) Document {
	d := Document{Inventory: c.Inventory, Rules: RulesDocument{Routes: make([]RouteDocument, len(c.Rules.Routes))}}
	for i, r := range c.Rules.Routes {
		d.Rules.Routes[i] = RouteDocument{
			Name: r.Name, PathPrefix: r.PathPrefix, Service: r.Service, Class: r.Class.String(), Idempotent: r.Idempotent,
			TimeoutMillis: r.TimeoutMillis, MaxAttempts: r.MaxAttempts, HedgeAfterMillis: r.HedgeAfterMillis,
			Anonymous: r.Anonymous,
		}
	}
	for i := range c.Rules.Teams {
		d.Rules.Teams = append(d.Rules.Teams, newTeamDocument(&c.Rules.Teams[i]))
	}
	return d
}

// Configuration returns the configuration of the document, or model.Faults for
// unknown classes and malformed digests. It does not validate the configuration otherwise.
func (d Document) Configuration() (model.Configuration, error) {
	c := model.Configuration{Inventory: d.Inventory}
	var faults model.Faults
	for _, r := range d.Rules.Routes {
		class, ok := model.ParseClass(r.Class)
		if !ok {
			faults = append(faults, model.Fault{
				Field: fmt.Sprintf("Route/%s/Class", r.Name), Value: r.Class, Allowed: strings.Join(model.ClassNames(), ", "),
			})
		}
		c.Rules.Routes = append(c.Rules.Routes, model.Route{
			Name: r.Name, PathPrefix: r.PathPrefix, Service: r.Service, Class: class, Idempotent: r.Idempotent,
			TimeoutMillis: r.TimeoutMillis, MaxAttempts: r.MaxAttempts, HedgeAfterMillis: r.HedgeAfterMillis,
			Anonymous: r.Anonymous,
		})
	}
	for i := range d.Rules.Teams {
		t, found := d.Rules.Teams[i].team()
		c.Rules.Teams, faults = append(c.Rules.Teams, t), append(faults, found...)
	}
	if len(faults) > 0 {
		return model.Configuration{}, faults
	}
	return c, nil
}
