// Package admin provides a node's HTTP servers besides the one for callers: for
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
	// clientMillis bounds the reading of one request, the writing of its answer
	// and the idle time of a connection, so that a silent client does not hold a
	// connection, and a drain, for ever.
	clientMillis = 10 * clock.Second
	// stopMillis bounds the wait for requests in flight when Run ends.
	stopMillis = 5 * clock.Second
	// headerBytes bounds the header of a request.
	headerBytes = 8 << 10
)

type (
	// server is an HTTP server on one listener.
	server struct {
		app      *fiber.App
		listener net.Listener
	}

	// failure is the body of an answer that reports an error.
	failure struct {
		Error string
		// Verdict says whether a failed edit may have been accepted.
		Verdict string `json:",omitempty"`
		// Faults are the things wrong with a configuration.
		Faults []fault `json:",omitempty"`
	}

	// fault is one thing wrong with a configuration.
	fault struct {
		Field   string
		Value   string
		Allowed string
	}
)

// newApp returns an app that refuses bodies above bodyBytes and reports errors as
// JSON. It reads bodies of up to twice that size, because a refusal without
// reading resets the connection and can reach the client without its answer.
func newApp(bodyBytes int) *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage:        true,
		DisablePreParseMultipartForm: true,
		StrictRouting:                true,
		CaseSensitive:                true,
		BodyLimit:                    2 * bodyBytes,
		ReadBufferSize:               headerBytes,
		ReadTimeout:                  clientMillis.Duration(),
		WriteTimeout:                 clientMillis.Duration(),
		IdleTimeout:                  clientMillis.Duration(),
		ErrorHandler:                 reportError,
	})
	app.Use(recover.New())
	app.Use(func(c *fiber.Ctx) error {
		// Body would inflate a compressed body without a limit.
		if len(c.BodyRaw()) > bodyBytes {
			return fiber.ErrRequestEntityTooLarge
		}
		return c.Next()
	})
	return app
}

// reportError answers a request that failed outside of a handler's own answers.
func reportError(c *fiber.Ctx, err error) error {
	status, text := fiber.StatusInternalServerError, "internal error"
	var known *fiber.Error
	if errors.As(err, &known) {
		status, text = known.Code, known.Message
	}
	return c.Status(status).JSON(failure{Error: text})
}

// bind binds the address; wrap, if not nil, replaces the listener.
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

// Address returns host:port of the bound address, known after Open.
func (s *server) Address() string {
	return s.listener.Addr().String()
}

// Run serves until ctx ends or Drain is called. It then waits a few seconds for
// the requests in flight.
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
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopMillis.Duration())
	defer cancel()
	return s.Drain(grace)
}

// Drain stops accepting connections and waits for the requests in flight, at most
// until ctx ends.
func (s *server) Drain(ctx context.Context) error {
	// The app does not know the listener before its own start, so Shutdown alone
	// could leave it open.
	if err := s.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	if err := s.app.ShutdownWithContext(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
