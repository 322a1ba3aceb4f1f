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
	// maxInFlight bounds the requests that a target reports; it is the bound of
	// a service's slots.
	maxInFlight = 100_000
)

type (
	// Announcement is a target's statement that it exists.
	Announcement struct {
		Target  ident.TargetID
		Service ident.ServiceName
		// Address is IP:port of the target's HTTP listener.
		Address string
		// InFlight is the number of requests that the target already runs.
		InFlight int
		// Starting says that the target does not take requests yet.
		Starting bool
	}

	// Renewal is a target's statement that it still exists.
	Renewal struct {
		Target ident.TargetID
		// InFlight is the number of requests that the target runs.
		InFlight int
		// Starting says that the target does not take requests yet.
		Starting bool
	}

	// Report is one statement of a target with the order that the target gives it.
	Report struct {
		report.Status
		// Announcement describes the target; it is empty in a goodbye.
		Announcement Announcement
		// Slots is the number of requests that the target runs at the same time.
		Slots ident.Slots
	}

	// targetName is the body of a drain or leave.
	targetName struct {
		Target ident.TargetID
	}

	// TargetControl takes the statements of the target beside the node. Its
	// arguments share no memory with a request. ErrUnknownTarget reports a
	// target that has not announced itself; nothing has changed after an error.
	TargetControl interface {
		Announce(a Announcement) error
		Renew(r Renewal) error
		Drain(t ident.TargetID) error
		Leave(t ident.TargetID) error
	}

	// Targets is the server at which the target announces itself.
	Targets struct {
		// Listen is a loopback TCP address; port 0 takes a free one.
		Listen string
		// Target and Service are the only ones that are accepted; both are empty
		// at an ingress-only node, which refuses every announcement.
		Target  ident.TargetID
		Service ident.ServiceName
		Control TargetControl
		server
	}
)

// ErrUnknownTarget reports a target that has not announced itself or whose
// announcement has lapsed; it has to announce itself again.
var ErrUnknownTarget = errors.New("target has not announced itself")

// Open binds the address.
func (t *Targets) Open() error {
	app := newApp(targetBodyBytes)
	app.Post("/announce", t.announce)
	app.Post("/renew", t.renew)
	app.Post("/drain", t.named(t.Control.Drain))
	app.Post("/leave", t.named(t.Control.Leave))
	return t.bind(t.Listen, app, nil)
}

// announce handles an announcement.
func (t *Targets) announce(c *fiber.Ctx) error {
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
	return answer(c, t.Control.Announce(a))
}

// renew handles a renewal.
func (t *Targets) renew(c *fiber.Ctx) error {
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
	return answer(c, t.Control.Renew(r))
}

// named returns the handler of a request that only names the target.
func (t *Targets) named(act func(ident.TargetID) error) fiber.Handler {
	return func(c *fiber.Ctx) error {
		n, err := decode[targetName](c.BodyRaw())
		if err != nil {
			return fiber.NewError(fiber.StatusBadRequest, err.Error())
		}
		if err := t.checkTarget(n.Target); err != nil {
			return err
		}
		return answer(c, act(n.Target))
	}
}

// checkTarget returns an error unless target is the node's own.
func (t *Targets) checkTarget(target ident.TargetID) error {
	if t.Target == "" {
		return fiber.NewError(fiber.StatusForbidden, "this node has no target")
	}
	if target != t.Target {
		return fiber.NewError(fiber.StatusForbidden,
			fmt.Sprintf("Target %q is not the target of this node, which is %q", target, t.Target))
	}
	return nil
}

// checkInFlight returns an error for a count that no target can have.
func checkInFlight(n int) error {
	if n < 0 || n > maxInFlight {
		return fiber.NewError(fiber.StatusBadRequest,
			fmt.Sprintf("InFlight %d is refused; allowed: 0 to %d", n, maxInFlight))
	}
	return nil
}

// answer answers with the outcome of a statement.
func answer(c *fiber.Ctx, err error) error {
	switch {
	case err == nil:
		return c.SendStatus(fiber.StatusNoContent)
	case errors.Is(err, ErrUnknownTarget):
		return fiber.NewError(fiber.StatusNotFound, err.Error())
	default:
		return fiber.NewError(fiber.StatusServiceUnavailable, err.Error())
	}
}
