package admin

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"strings"

	"github.com/gofiber/fiber/v2"
	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
	"hickoryrail/io/keys"
	"hickoryrail/io/stats"
)

const (
	// Accepted is the state of an edit that has become a release.
	Accepted State = "Accepted"
	// Scheduled is the state of an edit that waits for its release time.
	Scheduled State = "Scheduled"
	// Refused is the state of an edit that changed nothing.
	Refused State = "Refused"
	// Valid is the state of a dry run that would be accepted.
	Valid State = "Valid"

	// operatorBodyBytes bounds the body of an operator's request.
	operatorBodyBytes = 4 << 20
	// handlerTimeoutMillis bounds the handling of one request, which can wait for
	// the platform.
	handlerTimeoutMillis = 30 * clock.Second
	// defaultHistoryLimit is the number of releases that a history request returns
	// if it has no limit.
	defaultHistoryLimit = 50
	// maxHistoryLimit bounds the limit of a history request.
	maxHistoryLimit = 1000
	// maxNameBytes bounds an edit id and an operator's name.
	maxNameBytes = 64
)

type (
	// State is the state of an edit after its submission.
	State string

	// Edit proposes a configuration.
	Edit struct {
		// EditID is chosen at random by the submitter; submissions with the same
		// id are the same edit.
		EditID ident.EditID
		// Base is the version on which the edit is based; 0 for the first release.
		Base     ident.Version
		Operator string
		// ReleaseMillis is the release time since the Unix epoch; 0 and times in
		// the past mean now.
		ReleaseMillis clock.Millis
		// DryRun requests the outcome without changing anything.
		DryRun        bool
		Configuration model.Configuration
	}

	// editBody is the request body of an Edit.
	editBody struct {
		EditID        ident.EditID
		Base          ident.Version
		Operator      string
		ReleaseMillis clock.Millis
		DryRun        bool
		Configuration Document
	}

	// Outcome is the result of submitting an edit.
	Outcome struct {
		EditID ident.EditID
		State  State
		// Version is the version of an accepted edit.
		Version ident.Version
		// ReleaseMillis is the release time of a scheduled edit.
		ReleaseMillis clock.Millis
		// Reason explains why an edit was refused.
		Reason string `json:",omitempty"`
		// Clashes are the fields that a refused edit and a release since its
		// base changed to different values.
		Clashes []string `json:",omitempty"`
		// Changes are the fields that differ from the newest release.
		Changes []model.Change `json:",omitempty"`
	}

	// HistoryEntry is one release in the history.
	HistoryEntry struct {
		Version        ident.Version
		EditID         ident.EditID
		Digest         ident.Digest
		Operator       string
		AcceptedMillis clock.Millis
	}

	// releaseBody is the response body of a release.
	releaseBody struct {
		Version       ident.Version
		EditID        ident.EditID
		Digest        ident.Digest
		Configuration Document
	}

	// EditControl accepts edits and provides releases. Its arguments share no
	// memory with a request.
	EditControl interface {
		// Submit submits an edit. A refused edit is an Outcome with the state
		// Refused; an error is model.Faults for an invalid configuration, or has
		// a verdict that states whether the edit may have been accepted.
		Submit(ctx context.Context, e Edit) (Outcome, error)
		// History returns at most limit releases, newest first.
		History(ctx context.Context, limit int) ([]HistoryEntry, error)
		// Configuration returns the newest release by a strong read; version 0 if
		// there is none.
		Configuration(ctx context.Context) (model.Release, error)
	}

	// OperatorServer is the HTTPS server for operators.
	OperatorServer struct {
		// Listen is the TCP address; with port 0 the system chooses a free port.
		Listen      string
		Certificate tls.Certificate
		// Credential is the SHA-256 digest of the bearer token.
		Credential ident.Digest
		Control    EditControl
		Source     StatusSource
		// Registry, if not nil, gets the counter of refused credentials.
		Registry prometheus.Registerer

		unauthorized prometheus.Counter
		server
	}
)

// Open binds the address and registers the metrics.
func (o *OperatorServer) Open() error {
	o.unauthorized = stats.Counter("operator_unauthorized_total", "Operators' requests with a missing or wrong credential.")
	if err := stats.Register(o.Registry, o.unauthorized); err != nil {
		return err
	}
	app := newApp(operatorBodyBytes)
	app.Use(o.authorize)
	app.Post("/edits", o.edit)
	app.Get("/history", o.history)
	app.Get("/configuration", o.configuration)
	app.Get("/status", func(c *fiber.Ctx) error { return c.JSON(o.Source.Status()) })
	app.Get("/fleet", func(c *fiber.Ctx) error { return c.JSON(o.Source.Fleet()) })
	config := &tls.Config{Certificates: []tls.Certificate{o.Certificate}, MinVersion: tls.VersionTLS13}
	return o.bind(o.Listen, app, func(l net.Listener) net.Listener { return tls.NewListener(l, config) })
}

// authorize refuses a request without the credential. The response is the same for a
// missing and a wrong credential, and for known and unknown paths.
func (o *OperatorServer) authorize(c *fiber.Ctx) error {
	token, found := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !keys.Matches(o.Credential, token) || !found || token == "" {
		o.unauthorized.Inc()
		c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
		return fiber.NewError(fiber.StatusUnauthorized, "unauthorized")
	}
	return c.Next()
}

// edit handles the submission of an edit.
func (o *OperatorServer) edit(c *fiber.Ctx) error {
	e, err := decodeEdit(c.BodyRaw())
	if err != nil {
		return respondError(c, err)
	}
	ctx, cancel := context.WithTimeout(c.UserContext(), handlerTimeoutMillis.Duration())
	defer cancel()
	out, err := o.Control.Submit(ctx, e)
	if err != nil {
		return respondError(c, err)
	}
	return c.Status(out.status()).JSON(out)
}

// decodeEdit decodes and validates an edit. The error is model.Faults for an
// invalid configuration.
func decodeEdit(body []byte) (Edit, error) {
	b, err := decode[editBody](body)
	if err != nil {
		return Edit{}, fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	if b.EditID == "" || len(b.EditID) > maxNameBytes || b.Operator == "" || len(b.Operator) > maxNameBytes {
		return Edit{}, fiber.NewError(fiber.StatusBadRequest, "EditID and Operator are refused; allowed: 1 to 64 bytes each")
	}
	configuration, err := b.Configuration.Configuration()
	if err != nil {
		return Edit{}, err
	}
	if err := configuration.Validate(); err != nil {
		return Edit{}, err
	}
	return Edit{
		EditID: b.EditID, Base: b.Base, Operator: b.Operator, ReleaseMillis: b.ReleaseMillis,
		DryRun: b.DryRun, Configuration: configuration,
	}, nil
}

// history handles the request for the newest releases.
func (o *OperatorServer) history(c *fiber.Ctx) error {
	limit := c.QueryInt("Limit", defaultHistoryLimit)
	if limit < 1 || limit > maxHistoryLimit {
		return fiber.NewError(fiber.StatusBadRequest, "Limit is refused; allowed: 1 to 1000")
	}
	ctx, cancel := context.WithTimeout(c.UserContext(), handlerTimeoutMillis.Duration())
	defer cancel()
	entries, err := o.Control.History(ctx, limit)
	if err != nil {
		return respondError(c, err)
	}
	return c.JSON(entries)
}

// configuration handles the request for the newest release.
func (o *OperatorServer) configuration(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.UserContext(), handlerTimeoutMillis.Duration())
	defer cancel()
	r, err := o.Control.Configuration(ctx)
	if err != nil {
		return respondError(c, err)
	}
	return c.JSON(releaseBody{
		Version: r.Version, EditID: r.EditID, Digest: r.Digest, Configuration: NewDocument(r.Configuration),
	})
}

// respondError writes an error response: 422 with all faults of a configuration, 503
// if nothing was done, 502 if the outcome is unknown. It returns a fiber.Error as it
// is, for reportError.
func respondError(c *fiber.Ctx, err error) error {
	var known *fiber.Error
	var faults model.Faults
	switch {
	case errors.As(err, &known):
		return err
	case errors.As(err, &faults):
		f := failure{Error: "the configuration is invalid", Verdict: result.NotRun.String()}
		for _, entry := range faults {
			f.Faults = append(f.Faults, fault(entry))
		}
		return c.Status(fiber.StatusUnprocessableEntity).JSON(f)
	case result.Of(err) == result.NotRun:
		return c.Status(fiber.StatusServiceUnavailable).JSON(failure{Error: err.Error(), Verdict: result.NotRun.String()})
	default:
		return c.Status(fiber.StatusBadGateway).JSON(failure{Error: err.Error(), Verdict: result.MayHaveRun.String()})
	}
}

// status returns the HTTP status of an outcome.
func (o Outcome) status() int {
	switch o.State {
	case Scheduled:
		return fiber.StatusAccepted
	case Refused:
		return fiber.StatusConflict
	default:
		return fiber.StatusOK
	}
}
