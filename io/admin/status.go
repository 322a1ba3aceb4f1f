package admin

import (
	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/ident"
	"hickoryrail/io/stats"
)

type (
	// Status is what a node says of itself and of the fleet as it sees it.
	Status struct {
		Node          ident.NodeID
		FailureDomain ident.FailureDomain
		Region        ident.Region
		Incarnation   ident.Incarnation
		// Version is the release in force; 0 if there is none.
		Version ident.Version
		EditID  ident.EditID
		Digest  ident.Digest
		// Reasons say why the node is not ready; empty if it is.
		Reasons []string
		// Members counts the known nodes by state.
		Members map[string]int
		Targets []TargetStatus
		Lease   LeaseStatus
	}

	// TargetStatus is one target as this node sees it.
	TargetStatus struct {
		Target        ident.TargetID
		Node          ident.NodeID
		Service       ident.ServiceName
		FailureDomain ident.FailureDomain
		State         string
	}

	// LeaseStatus is the reader's lease of the region as this node sees it.
	LeaseStatus struct {
		Holder ident.NodeID
		Epoch  ident.Epoch
	}

	// NodeStatus is one node of the fleet with the release that it holds.
	NodeStatus struct {
		Node          ident.NodeID
		FailureDomain ident.FailureDomain
		Region        ident.Region
		State         string
		Held          ident.Version
	}

	// StatusSource tells the state of a node. It is safe for concurrent use, and
	// its results are not changed afterwards.
	StatusSource interface {
		Status() Status
		// Fleet returns every known node, this one included.
		Fleet() []NodeStatus
	}

	// Admin is the server for metrics, health and status.
	Admin struct {
		// Listen is the TCP address; port 0 takes a free one.
		Listen  string
		Metrics prometheus.Gatherer
		Source  StatusSource
		server
	}
)

// Open binds the address.
func (a *Admin) Open() error {
	app := newApp(headerBytes)
	app.Get("/metrics", adaptor.HTTPHandler(stats.Handler(a.Metrics)))
	app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", a.ready)
	app.Get("/status", func(c *fiber.Ctx) error { return c.JSON(a.Source.Status()) })
	return a.bind(a.Listen, app, nil)
}

// ready answers 200, or 503 with the reasons.
func (a *Admin) ready(c *fiber.Ctx) error {
	status, reasons := fiber.StatusOK, a.Source.Status().Reasons
	if len(reasons) > 0 {
		status = fiber.StatusServiceUnavailable
	}
	return c.Status(status).JSON(struct {
		Ready   bool
		Reasons []string
	}{len(reasons) == 0, reasons})
}
