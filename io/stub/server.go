package stub

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"hickoryrail/core/ident"
	"hickoryrail/core/result"
	"hickoryrail/io/plat"
)

// stopTimeout bounds the wait for open connections when a server stops.
const stopTimeout = time.Second

// Server serves a Table over HTTP; docs/platform.md describes the protocol.
type Server struct {
	// Listen is the TCP address; port 0 selects a free port.
	Listen string
	// Table holds the rows, the objects and the faults.
	Table

	listener net.Listener
	app      *fiber.App
}

// Open binds the address.
func (s *Server) Open() error {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	s.listener = listener
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             plat.MaxBodyBytes,
		Immutable:             true,
		ErrorHandler:          handleError,
	})
	s.app.Get("/row", s.readRow)
	s.app.Put("/row", s.writeRow)
	s.app.Delete("/row", s.writeRow)
	s.app.Get("/rows", s.listRows)
	s.app.Get("/object", s.getObject)
	s.app.Put("/object", s.putObject)
	s.app.Get("/counts", func(c *fiber.Ctx) error { return c.JSON(s.Counts()) })
	s.app.Get("/faults", func(c *fiber.Ctx) error { return c.JSON(s.Faults()) })
	s.app.Post("/faults", s.postFaults)
	return nil
}

// Address returns the bound address as host:port. Call it after Open.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- s.app.Listener(s.listener) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	err := s.app.ShutdownWithTimeout(stopTimeout)
	if errors.Is(err, context.DeadlineExceeded) {
		err = nil // connections that callers keep open are not an error
	}
	return errors.Join(err, <-done)
}

// handleError responds to a failed call with the status of its error.
func handleError(c *fiber.Ctx, err error) error {
	var fiberErr *fiber.Error
	switch {
	case errors.As(err, &fiberErr):
		return c.Status(fiberErr.Code).SendString(fiberErr.Message)
	case errors.Is(err, plat.ErrConflict):
		return c.Status(fiber.StatusConflict).SendString(err.Error())
	case errors.Is(err, plat.ErrNotFound):
		return c.Status(fiber.StatusNotFound).SendString(err.Error())
	case result.Of(err) == result.NotRun:
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error())
	}
	// The verdict is MayHaveRun: close the connection without a response.
	c.Context().HijackSetNoResponse(true)
	c.Context().Hijack(func(net.Conn) {})
	return nil
}

// readRow handles GET /row.
func (s *Server) readRow(c *fiber.Ctx) error {
	key, err := requiredQuery(c, "Key")
	if err != nil {
		return err
	}
	row, err := s.ReadRow(context.Background(), key)
	if err != nil {
		return err
	}
	if row.Revision == 0 {
		return fiber.NewError(fiber.StatusNotFound, "row does not exist")
	}
	c.Set(plat.RevisionHeader, formatRevision(row.Revision))
	return c.Send(row.Value)
}

// writeRow handles PUT /row and DELETE /row.
func (s *Server) writeRow(c *fiber.Ctx) error {
	key, err := requiredQuery(c, "Key")
	if err != nil {
		return err
	}
	condition, err := strconv.ParseUint(c.Query("IfRevision"), 10, 64)
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "IfRevision is not a revision")
	}
	var value []byte
	if c.Method() == fiber.MethodPut {
		value = append([]byte{}, c.Body()...)
	}
	row, err := s.WriteRow(context.Background(), key, value, ident.Revision(condition))
	if err != nil {
		return err
	}
	c.Set(plat.RevisionHeader, formatRevision(row.Revision))
	return nil
}

// listRows handles GET /rows.
func (s *Server) listRows(c *fiber.Ctx) error {
	rows, err := s.ListRows(context.Background(), c.Query("Prefix"))
	if err != nil {
		return err
	}
	return c.JSON(slices.Concat([]plat.Row{}, rows)) // encodes an empty list as [], not null
}

// getObject handles GET /object.
func (s *Server) getObject(c *fiber.Ctx) error {
	name, err := requiredQuery(c, "Name")
	if err != nil {
		return err
	}
	body, err := s.GetObject(context.Background(), name)
	if err != nil {
		return err
	}
	return c.Send(body)
}

// putObject handles PUT /object.
func (s *Server) putObject(c *fiber.Ctx) error {
	name, err := requiredQuery(c, "Name")
	if err != nil {
		return err
	}
	return s.PutObject(context.Background(), name, c.Body())
}

// postFaults handles POST /faults. It rejects unknown fields, so that a misspelt
// fault is not silently ignored.
func (s *Server) postFaults(c *fiber.Ctx) error {
	d := json.NewDecoder(bytes.NewReader(c.Body()))
	d.DisallowUnknownFields()
	var f Faults
	if err := d.Decode(&f); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	s.SetFaults(f)
	return c.JSON(f)
}

// requiredQuery returns a query parameter, or an error if it is empty.
func requiredQuery(c *fiber.Ctx, name string) (string, error) {
	value := c.Query(name)
	if value == "" {
		return "", fiber.NewError(fiber.StatusBadRequest, name+" is missing")
	}
	return value, nil
}

// formatRevision returns the text form of a revision.
func formatRevision(r ident.Revision) string {
	return strconv.FormatUint(uint64(r), 10)
}
