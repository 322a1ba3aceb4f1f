// Package admin provides a node's HTTP servers other than the one for callers: for
// metrics and status, for the target beside the node, and for operators.
package admin

import (
	"context"
	"errors"
	"net"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/recover"
	"github.com/sourcegraph/conc"

	"hickoryrail/core/clock"
)

const (
	// clientTimeoutMillis bounds the reading of one request, the writing of its
	// response and the idle time of a connection, so that an unresponsive client
	// does not keep its connection open, and delay a drain, without limit.
	clientTimeoutMillis = 10 * clock.Second
	// shutdownTimeoutMillis bounds the wait for requests in flight when Run ends.
	shutdownTimeoutMillis = 5 * clock.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 8 << 10
)

type (
	// server is an HTTP server on one listener.
	server struct {
		app      *fiber.App
		listener net.Listener
	}

	// failure is the body of an error response.
	failure struct {
		Error string
		// Verdict states whether a failed edit may have been accepted.
		Verdict string `json:",omitempty"`
		// Faults are the errors in an invalid configuration.
		Faults []fault `json:",omitempty"`
	}

	// fault is the encoding of a model.Fault.
	fault struct {
		Field   string
		Value   string
		Allowed string
	}
)

// newApp returns an app that refuses bodies above bodyBytes and reports errors as
// JSON. It reads bodies of up to twice that size, because a refusal without reading
// the body resets the connection, and the client may then not receive the response.
func newApp(bodyBytes int) *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage:        true,
		DisablePreParseMultipartForm: true,
		StrictRouting:                true,
		CaseSensitive:                true,
		BodyLimit:                    2 * bodyBytes,
		ReadBufferSize:               maxHeaderBytes,
		ReadTimeout:                  clientTimeoutMillis.Duration(),
		WriteTimeout:                 clientTimeoutMillis.Duration(),
		IdleTimeout:                  clientTimeoutMillis.Duration(),
		ErrorHandler:                 reportError,
	})
	app.Use(recover.New())
	app.Use(func(c *fiber.Ctx) error {
		// c.Body would decompress a compressed body without a limit.
		if len(c.BodyRaw()) > bodyBytes {
			return fiber.ErrRequestEntityTooLarge
		}
		return c.Next()
	})
	return app
}

// reportError writes the response to a request whose handler returned an error.
func reportError(c *fiber.Ctx, err error) error {
	status, text := fiber.StatusInternalServerError, "internal error"
	var known *fiber.Error
	if errors.As(err, &known) {
		status, text = known.Code, known.Message
	}
	return c.Status(status).JSON(failure{Error: text})
}

// bind binds the address; wrap, if not nil, wraps the listener.
func (s *server) bind(address string, app *fiber.App, wrap func(net.Listener) net.Listener) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if wrap != nil {
		l = wrap(l)
	}
	s.app, s.listener = app, l
	return nil
}

// Address returns the bound address as host:port. It must be called after Open.
func (s *server) Address() string {
	return s.listener.Addr().String()
}

// Run serves until ctx ends or Drain is called. If ctx ends, it drains the server for
// at most shutdownTimeoutMillis.
func (s *server) Run(ctx context.Context) error {
	served := make(chan error, 1)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { served <- s.app.Listener(s.listener) })
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeoutMillis.Duration())
	defer cancel()
	return s.Drain(grace)
}

// Drain stops accepting connections and waits for the requests in flight, at most
// until ctx ends.
func (s *server) Drain(ctx context.Context) error {
	// The app does not have the listener before it starts to serve, so its shutdown
	// alone could leave the listener open.
	if err := s.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	if err := s.app.ShutdownWithContext(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
