package admin

import (
	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/ident"
	"hickoryrail/io/stats"
)

type (
	// Status is the state of a node and its view of the fleet.
	Status struct {
		Node          ident.NodeID
		FailureDomain ident.FailureDomain
		Region        ident.Region
		Incarnation   ident.Incarnation
		// Version is the release in force; 0 if there is none.
		Version ident.Version
		EditID  ident.EditID
		Digest  ident.Digest
		// Reasons explain why the node is not ready; empty if it is ready.
		Reasons []string
		// Members counts the known nodes by state.
		Members map[string]int
		Targets []TargetStatus
		Lease   LeaseStatus
	}

	// TargetStatus is the node's view of one target.
	TargetStatus struct {
		Target        ident.TargetID
		Node          ident.NodeID
		Service       ident.ServiceName
		FailureDomain ident.FailureDomain
		State         string
	}

	// LeaseStatus is the node's view of the reader's lease in its region.
	LeaseStatus struct {
		Holder ident.NodeID
		Epoch  ident.Epoch
	}

	// NodeStatus is one node of the fleet with the version that it holds.
	NodeStatus struct {
		Node          ident.NodeID
		FailureDomain ident.FailureDomain
		Region        ident.Region
		State         string
		Held          ident.Version
	}

	// StatusSource provides the state of a node. It is safe for concurrent use, and
	// its results are not modified after they are returned.
	StatusSource interface {
		Status() Status
		// Fleet returns every known node, including this one.
		Fleet() []NodeStatus
	}

	// StatusServer is the HTTP server for metrics, health and status.
	StatusServer struct {
		// Listen is the TCP address; with port 0 the system chooses a free port.
		Listen  string
		Metrics prometheus.Gatherer
		Source  StatusSource
		server
	}
)

// Open binds the address.
func (s *StatusServer) Open() error {
	app := newApp(maxHeaderBytes)
	app.Get("/metrics", adaptor.HTTPHandler(stats.Handler(s.Metrics)))
	app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", s.ready)
	app.Get("/status", func(c *fiber.Ctx) error { return c.JSON(s.Source.Status()) })
	return s.bind(s.Listen, app, nil)
}

// ready handles the readiness check: it responds with 200, or 503 and the reasons.
func (s *StatusServer) ready(c *fiber.Ctx) error {
	status, reasons := fiber.StatusOK, s.Source.Status().Reasons
	if len(reasons) > 0 {
		status = fiber.StatusServiceUnavailable
	}
	return c.Status(status).JSON(struct {
		Ready   bool
		Reasons []string
	}{len(reasons) == 0, reasons})
}
