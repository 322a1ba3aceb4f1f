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
	// controlMillis bounds the work on one request, which can wait for the
	// platform.
	controlMillis = 30 * clock.Second
	// historyLimit is the number of releases in a history without a limit.
	historyLimit = 50
	// maxHistoryLimit bounds the number of releases in a history.
	maxHistoryLimit = 1000
	// maxNameBytes bounds an edit id and an operator's name.
	maxNameBytes = 64
)

type (
	// State is what became of an edit.
	State string

	// Edit proposes a configuration.
	Edit struct {
		// EditID is chosen at random by the submitter; a repeated submission
		// with the same id is the same edit.
		EditID ident.EditID
		// Base is the version on which the edit is based; 0 for the first one.
		Base     ident.Version
		Operator string
		// ReleaseMillis is the release time since the Unix epoch; 0 and times in
		// the past mean now.
		ReleaseMillis clock.Millis
		// DryRun asks what would happen and changes nothing.
		DryRun        bool
		Configuration model.Configuration
	}

	// editBody is an Edit as it stands in a request.
	editBody struct {
		EditID        ident.EditID
		Base          ident.Version
		Operator      string
		ReleaseMillis clock.Millis
		DryRun        bool
		Configuration Document
	}

	// Outcome is what became of an edit.
	Outcome struct {
		EditID ident.EditID
		State  State
		// Version is the version of an accepted edit.
		Version ident.Version
		// ReleaseMillis is the release time of a scheduled edit.
		ReleaseMillis clock.Millis
		// Reason says why an edit was refused.
		Reason string `json:",omitempty"`
		// Clashes are the fields that a refused edit and a release since its
		// base changed to different values.
		Clashes []string `json:",omitempty"`
		// Changes are the fields that differ from the newest release.
		Changes []model.Change `json:",omitempty"`
	}

	// HistoryEntry is one release.
	HistoryEntry struct {
		Version        ident.Version
		EditID         ident.EditID
		Digest         ident.Digest
		Operator       string
		AcceptedMillis clock.Millis
	}

	// releaseBody is a release as it stands in an answer.
	releaseBody struct {
		Version       ident.Version
		EditID        ident.EditID
		Digest        ident.Digest
		Configuration Document
	}

	// EditControl takes edits and tells of releases. Its arguments share no
	// memory with a request. A refused edit is an Outcome with the state Refused;
	// an error is model.Faults for an invalid configuration, or carries the
	// verdict whether the edit may have been accepted.
	EditControl interface {
		Submit(ctx context.Context, e Edit) (Outcome, error)
		// History returns at most limit releases, newest first.
		History(ctx context.Context, limit int) ([]HistoryEntry, error)
		// Configuration returns the newest release by a strong read; version 0 if
		// there is none.
		Configuration(ctx context.Context) (model.Release, error)
	}

	// Operators is the server for operators.
	Operators struct {
		// Listen is the TCP address; port 0 takes a free one.
		Listen      string
		Certificate tls.Certificate
		// Credential is the SHA-256 digest of the bearer token.
		Credential ident.Digest
		Control    EditControl
		Source     StatusSource
		// Registry takes the counter of refused credentials; nil keeps it private.
		Registry prometheus.Registerer

		unauthorized prometheus.Counter
		server
	}
)

// Open binds the address.
func (o *Operators) Open() error {
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
	settings := &tls.Config{Certificates: []tls.Certificate{o.Certificate}, MinVersion: tls.VersionTLS13}
	return o.bind(o.Listen, app, func(l net.Listener) net.Listener { return tls.NewListener(l, settings) })
}

// authorize refuses a request without the credential. A missing and a wrong one
// get the same answer, for known and unknown paths alike.
func (o *Operators) authorize(c *fiber.Ctx) error {
	token, found := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !keys.Matches(o.Credential, token) || !found || token == "" {
		o.unauthorized.Inc()
		c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
		return fiber.NewError(fiber.StatusUnauthorized, "unauthorized")
	}
	return c.Next()
}

// edit handles the submission of an edit.
func (o *Operators) edit(c *fiber.Ctx) error {
	e, err := decodeEdit(c.BodyRaw())
	if err != nil {
		return refuse(c, err)
	}
	ctx, cancel := context.WithTimeout(c.UserContext(), controlMillis.Duration())
	defer cancel()
	out, err := o.Control.Submit(ctx, e)
	if err != nil {
		return refuse(c, err)
	}
	return c.Status(out.status()).JSON(out)
}

// decodeEdit decodes and validates an edit. It returns model.Faults for an
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
func (o *Operators) history(c *fiber.Ctx) error {
	limit := c.QueryInt("Limit", historyLimit)
	if limit < 1 || limit > maxHistoryLimit {
		return fiber.NewError(fiber.StatusBadRequest, "Limit is refused; allowed: 1 to 1000")
	}
	ctx, cancel := context.WithTimeout(c.UserContext(), controlMillis.Duration())
	defer cancel()
	entries, err := o.Control.History(ctx, limit)
	if err != nil {
		return refuse(c, err)
	}
	return c.JSON(entries)
}

// configuration handles the request for the newest release.
func (o *Operators) configuration(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.UserContext(), controlMillis.Duration())
	defer cancel()
	r, err := o.Control.Configuration(ctx)
	if err != nil {
		return refuse(c, err)
	}
	return c.JSON(releaseBody{
		Version: r.Version, EditID: r.EditID, Digest: r.Digest, Configuration: NewDocument(r.Configuration),
	})
}

// refuse answers with an error: 422 with all faults of a configuration, 503 if
// nothing was done, 502 if the outcome is unknown.
func refuse(c *fiber.Ctx, err error) error {
	var known *fiber.Error
	var faults model.Faults
	switch {
	case errors.As(err, &known):
		return err
	case errors.As(err, &faults):
		f := failure{Error: "the configuration is invalid", Verdict: result.NotRun.String()}
		for _, one := range faults {
			f.Faults = append(f.Faults, fault(one))
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
