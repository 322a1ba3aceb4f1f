package admin

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/gofiber/fiber/v2"

	"hickoryrail/core/ident"
	"hickoryrail/core/report"
)

const (
	// targetBodyBytes bounds the body of a target's request.
	targetBodyBytes = 4 << 10
	// maxInFlight bounds the number of requests that a target reports; a service's
	// slots have the same bound.
	maxInFlight = 100_000
)

type (
	// Announcement registers a target at the node beside it.
	Announcement struct {
		Target  ident.TargetID
		Service ident.ServiceName
		// Address is IP:port of the target's HTTP listener.
		Address string
		// InFlight is the number of requests that the target already runs.
		InFlight int
		// Starting is true if the target does not accept requests yet.
		Starting bool
	}

	// Renewal extends the registration of a target, which expires otherwise.
	Renewal struct {
		Target ident.TargetID
		// InFlight is the number of requests that the target runs.
		InFlight int
		// Starting is true if the target does not accept requests yet.
		Starting bool
	}

	// Report is one report of a target. Its Status determines its effect and its order
	// among the target's reports.
	Report struct {
		report.Status
		// Announcement describes the target; it is empty if the target leaves.
		Announcement Announcement
		// Slots is the number of requests that the target can run at the same time.
		Slots ident.Slots
		// Software is the version of the target's software; empty if it is not stated.
		Software ident.SoftwareVersion
	}

	// targetBody is the body of a drain or leave request.
	targetBody struct {
		Target ident.TargetID
	}

	// TargetControl handles the announcements, renewals, drains and departures of the
	// target beside the node. Its arguments share no memory with a request. The error
	// is ErrUnknownTarget for a target that is not registered; nothing has changed
	// after an error.
	TargetControl interface {
		Announce(a Announcement) error
		Renew(r Renewal) error
		Drain(t ident.TargetID) error
		Leave(t ident.TargetID) error
	}

	// TargetServer is the HTTP server at which the target announces itself.
	TargetServer struct {
		// Listen is a loopback TCP address; with port 0 the system chooses a free port.
		Listen string
		// Target and Service are the only target and service that are accepted; both
		// are empty at an ingress-only node, which refuses every announcement.
		Target  ident.TargetID
		Service ident.ServiceName
		Control TargetControl
		server
	}
)

// ErrUnknownTarget reports a target that has not announced itself or whose
// registration has expired; it has to announce itself again.
var ErrUnknownTarget = errors.New("target has not announced itself")

// Open binds the address.
func (t *TargetServer) Open() error {
	app := newApp(targetBodyBytes)
	app.Post("/announce", t.announce)
	app.Post("/renew", t.renew)
	app.Post("/drain", t.targetHandler(t.Control.Drain))
	app.Post("/leave", t.targetHandler(t.Control.Leave))
	return t.bind(t.Listen, app, nil)
}

// announce handles an announcement.
func (t *TargetServer) announce(c *fiber.Ctx) error {
	a, err := decode[Announcement](c.BodyRaw())
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	if err := t.checkTarget(a.Target); err != nil {
		return err
	}
	if a.Service != t.Service {
		return fiber.NewError(fiber.StatusForbidden,
			fmt.Sprintf("Service %q is not the service of this node, which is %q", a.Service, t.Service))
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || address.Addr().IsUnspecified() || address.Port() == 0 {
		return fiber.NewError(fiber.StatusBadRequest,
			fmt.Sprintf("Address %q is refused; allowed: a specific IP address and port", a.Address))
	}
	if err := checkInFlight(a.InFlight); err != nil {
		return err
	}
	return respond(c, t.Control.Announce(a))
}

// renew handles a renewal.
func (t *TargetServer) renew(c *fiber.Ctx) error {
	r, err := decode[Renewal](c.BodyRaw())
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	if err := t.checkTarget(r.Target); err != nil {
		return err
	}
	if err := checkInFlight(r.InFlight); err != nil {
		return err
	}
	return respond(c, t.Control.Renew(r))
}

// targetHandler returns a handler that calls act with the target that a request names.
func (t *TargetServer) targetHandler(act func(ident.TargetID) error) fiber.Handler {
	return func(c *fiber.Ctx) error {
		n, err := decode[targetBody](c.BodyRaw())
		if err != nil {
			return fiber.NewError(fiber.StatusBadRequest, err.Error())
		}
		if err := t.checkTarget(n.Target); err != nil {
			return err
		}
		return respond(c, act(n.Target))
	}
}

// checkTarget returns an error unless target is the node's own.
func (t *TargetServer) checkTarget(target ident.TargetID) error {
	if t.Target == "" {
		return fiber.NewError(fiber.StatusForbidden, "this node has no target")
	}
	if target != t.Target {
		return fiber.NewError(fiber.StatusForbidden,
			fmt.Sprintf("Target %q is not the target of this node, which is %q", target, t.Target))
	}
	return nil
}

// checkInFlight returns an error for a number of requests that is out of range.
func checkInFlight(n int) error {
	if n < 0 || n > maxInFlight {
		return fiber.NewError(fiber.StatusBadRequest,
			fmt.Sprintf("InFlight %d is refused; allowed: 0 to %d", n, maxInFlight))
	}
	return nil
}

// respond writes the response to a target's request, whose result is err.
func respond(c *fiber.Ctx, err error) error {
	switch {
	case err == nil:
		return c.SendStatus(fiber.StatusNoContent)
	case errors.Is(err, ErrUnknownTarget):
		return fiber.NewError(fiber.StatusNotFound, err.Error())
	default:
		return fiber.NewError(fiber.StatusServiceUnavailable, err.Error())
	}
}
