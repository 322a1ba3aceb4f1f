package admin

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
	"hickoryrail/core/syntax"
	"hickoryrail/io/keys"
)

const (
	// maxResponseBytes bounds a response; the fleet list of 790 nodes has about 100 kB.
	maxResponseBytes = 16 << 20
	// callTimeoutMillis bounds a call; it is longer than the server's own timeout.
	callTimeoutMillis = handlerTimeoutMillis + 5000
)

// Client calls the OperatorServer of a node. It is safe for concurrent use; its
// fields must not change after the first call.
type Client struct {
	// URL is the node's operator address, such as https://10.0.0.7:8443.
	URL string
	// Token is the bearer token.
	Token string
	// Authority holds the fleet's own certificate authority. A certificate of any
	// of its nodes is accepted, because nodes are reached by address.
	Authority *x509.CertPool

	once   sync.Once
	client *http.Client
}

var (
	// ErrUnauthorized reports a credential that the node refused.
	ErrUnauthorized = errors.New("the node refused the credential")
	// errNoCertificate reports a server without a certificate.
	errNoCertificate = errors.New("server has no certificate")
)

// Submit submits an edit. The error is model.Faults for an invalid configuration;
// otherwise its verdict states whether the edit may have been accepted, and the
// edit can be submitted again under the same id.
func (c *Client) Submit(ctx context.Context, e Edit) (Outcome, error) {
	body, err := json.Marshal(editBody{
		EditID: e.EditID, Base: e.Base, Operator: e.Operator, ReleaseMillis: e.ReleaseMillis,
		DryRun: e.DryRun, Configuration: NewDocument(e.Configuration),
	})
	if err != nil {
		return Outcome{}, result.NewError(result.NotRun, "edit cannot be encoded", err)
	}
	if len(body) > operatorBodyBytes {
		return Outcome{}, result.NewError(result.NotRun, fmt.Sprintf("edit has %d bytes; allowed: at most %d", len(body), operatorBodyBytes), nil)
	}
	return call[Outcome](ctx, c, http.MethodPost, "/edits", body)
}

// History returns at most limit releases, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]HistoryEntry, error) {
	return call[[]HistoryEntry](ctx, c, http.MethodGet, "/history?Limit="+strconv.Itoa(limit), nil)
}

// Configuration returns the newest release; version 0 if there is none.
func (c *Client) Configuration(ctx context.Context) (model.Release, error) {
	b, err := call[releaseBody](ctx, c, http.MethodGet, "/configuration", nil)
	if err != nil {
		return model.Release{}, err
	}
	configuration, err := b.Configuration.Configuration()
	if err != nil {
		return model.Release{}, err
	}
	return model.Release{Version: b.Version, EditID: b.EditID, Digest: b.Digest, Configuration: configuration}, nil
}

// Status returns the state of the node.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/status", nil)
}

// Fleet returns the nodes that the node knows.
func (c *Client) Fleet(ctx context.Context) ([]NodeStatus, error) {
	return call[[]NodeStatus](ctx, c, http.MethodGet, "/fleet", nil)
}

// call sends one request and decodes the response.
func call[T any](ctx context.Context, c *Client, method, path string, body []byte) (T, error) {
	var v T
	text, err := c.send(ctx, method, path, body)
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(text, &v); err != nil {
		return v, result.NewError(result.MayHaveRun, "answer is malformed", err)
	}
	return v, nil
}

// send sends one request and returns the body of the response. A response whose
// status is none of 200, 202 and 409 is an error.
func (c *Client) send(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	c.once.Do(c.connect)
	ctx, cancel := context.WithTimeout(ctx, callTimeoutMillis.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, result.NewError(result.NotRun, "malformed node address", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, result.NewError(verdictOf(method, err), "node cannot be reached", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, result.NewError(result.MayHaveRun, "answer was cut off", err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted, http.StatusConflict:
		return text, nil
	default:
		return nil, failureOf(resp.StatusCode, text)
	}
}

// connect creates the HTTP client.
func (c *Client) connect() {
	c.client = &http.Client{
		Transport: &http.Transport{TLSClientConfig: &tls.Config{
			MinVersion: tls.VersionTLS13,
			// The standard verification compares the address with the names in
			// the certificate, but certificates contain the names of nodes;
			// verify replaces it.
			InsecureSkipVerify: true,
			VerifyConnection:   c.verify,
		}},
		// Following a redirect could send the credential to another server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// verify returns an error unless the server is a node of the fleet.
func (c *Client) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errNoCertificate
	}
	leaf := state.PeerCertificates[0]
	options := x509.VerifyOptions{Roots: c.Authority, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	if _, err := leaf.Verify(options); err != nil {
		return err
	}
	_, err := keys.NodeOf(leaf)
	return err
}

// verdictOf returns the verdict on a request that got no response: NotRun if it only
// reads or if the connection was not established.
func verdictOf(method string, err error) result.Verdict {
	var dial *net.OpError
	var certificate *tls.CertificateVerificationError
	var authority x509.UnknownAuthorityError
	switch {
	case method == http.MethodGet,
		errors.As(err, &dial) && dial.Op == "dial",
		errors.As(err, &certificate),
		errors.As(err, &authority):
		return result.NotRun
	default:
		return result.MayHaveRun
	}
}

// failureOf returns the error for a response that reports one. A status that reports no
// failure comes from no node, so the edit may have been accepted.
func failureOf(status int, text []byte) error {
	if !syntax.IsFailureStatus(status) {
		return result.NewError(result.MayHaveRun, "answer has an unexpected status", nil)
	}
	var f failure
	if err := json.Unmarshal(text, &f); err != nil || f.Error == "" {
		f.Error = http.StatusText(status)
	}
	if status == http.StatusUnauthorized {
		return result.NewError(result.NotRun, "unauthorized", ErrUnauthorized)
	}
	if len(f.Faults) > 0 {
		var faults model.Faults
		for _, entry := range f.Faults {
			faults = append(faults, model.Fault(entry))
		}
		return faults
	}
	verdict, known := result.ParseVerdict(f.Verdict)
	if !known && status < http.StatusInternalServerError {
		verdict = result.NotRun
	}
	return result.NewError(verdict, f.Error, nil)
}

// NewEditID returns a random edit id.
func NewEditID() ident.EditID {
	return ident.EditID(rand.Text())
}
