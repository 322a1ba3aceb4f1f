package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/result"
)

const (
	// DefaultTimeoutMillis bounds a call if Client.TimeoutMillis is 0.
	DefaultTimeoutMillis clock.Millis = 2000
	// RevisionHeader is the header of a response that contains the row's revision.
	RevisionHeader = "Revision"
	// MaxBodyBytes bounds a value, an object and the body of a response.
	MaxBodyBytes = 16 << 20
	// maxIdleConnections bounds the idle connections that are kept for reuse.
	maxIdleConnections = 16
)

type (
	// Client is a Store that calls the platform over HTTP; docs/platform.md
	// describes the protocol. It is safe for concurrent use. Its exported fields
	// must not change after the first call.
	Client struct {
		// URL is the platform's base URL, such as http://10.0.0.7:7400.
		URL string
		// TimeoutMillis bounds each call; 0 means DefaultTimeoutMillis.
		TimeoutMillis clock.Millis

		once sync.Once
		http *http.Client
	}

	// response is the complete response to one call.
	response struct {
		status   int
		revision string
		body     []byte
	}
)

var (
	// errProtocol reports a response that does not follow the protocol.
	errProtocol = errors.New("response does not follow the protocol")
	// errNoLength reports a response whose body ends with its connection.
	errNoLength = errors.New("response has neither a length nor chunks")
	// errTooLarge reports a body that exceeds MaxBodyBytes.
	errTooLarge = errors.New("body exceeds 16 MiB")
)

// ReadRow makes a strongly consistent read of one row. A failed read is always
// NotRun, because a read has no effect.
func (c *Client) ReadRow(ctx context.Context, key string) (Row, error) {
	resp, err := c.call(ctx, http.MethodGet, "row", url.Values{"Key": {key}}, nil)
	switch {
	case err != nil:
		return Row{}, notRun("platform read failed", err)
	case resp.status == http.StatusNotFound:
		return Row{Key: key}, nil
	case resp.status != http.StatusOK:
		return Row{}, notRun("platform refused the read", resp.statusError())
	}
	revision, err := resp.parseRevision()
	if err != nil || revision == 0 {
		return Row{}, notRun("platform read failed", errProtocol)
	}
	return Row{Key: key, Value: resp.body, Revision: revision}, nil
}

// ListRows returns the rows whose keys start with prefix, in order of key.
func (c *Client) ListRows(ctx context.Context, prefix string) ([]Row, error) {
	resp, err := c.call(ctx, http.MethodGet, "rows", url.Values{"Prefix": {prefix}}, nil)
	if err != nil {
		return nil, notRun("platform list failed", err)
	}
	if resp.status != http.StatusOK {
		return nil, notRun("platform refused the list", resp.statusError())
	}
	var rows []Row
	if err := json.Unmarshal(resp.body, &rows); err != nil {
		return nil, notRun("platform list failed", err)
	}
	return rows, nil
}

// WriteRow writes or deletes a row on condition that it has revision ifRevision.
// A failure is MayHaveRun if the request may have left this machine, unless the
// response shows that the write had no effect.
func (c *Client) WriteRow(ctx context.Context, key string, value []byte, ifRevision ident.Revision) (Row, error) {
	method := http.MethodPut
	if value == nil {
		method = http.MethodDelete
	}
	query := url.Values{"Key": {key}, "IfRevision": {strconv.FormatUint(uint64(ifRevision), 10)}}
	resp, err := c.call(ctx, method, "row", query, value)
	if err == nil {
		err = resp.writeError()
	}
	if err != nil {
		return Row{}, err
	}
	revision, err := resp.parseRevision()
	if err != nil || (revision == 0) != (value == nil) {
		return Row{}, result.NewError(result.MayHaveRun, "platform write answer is broken", errProtocol)
	}
	return Row{Key: key, Value: value, Revision: revision}, nil
}

// PutObject stores an object and replaces an existing one of the same name.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	resp, err := c.call(ctx, http.MethodPut, "object", url.Values{"Name": {name}}, body)
	if err != nil {
		return err
	}
	return resp.writeError()
}

// GetObject returns an object, or ErrNotFound if it does not exist.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	resp, err := c.call(ctx, http.MethodGet, "object", url.Values{"Name": {name}}, nil)
	switch {
	case err != nil:
		return nil, notRun("platform read failed", err)
	case resp.status == http.StatusNotFound:
		return nil, notRun("object does not exist", ErrNotFound)
	case resp.status != http.StatusOK:
		return nil, notRun("platform refused the read", resp.statusError())
	}
	return resp.body, nil
}

// call sends one request and reads the whole response. Its error is NotRun only
// if no connection was ever assigned to the request.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte) (response, error) {
	if len(body) > MaxBodyBytes {
		return response{}, notRun("platform call is too large", errTooLarge)
	}
	c.once.Do(c.initHTTP)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	requestURL := strings.TrimSuffix(c.URL, "/") + "/" + path + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return response{}, notRun("platform call is malformed", err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		if connected.Load() {
			return response{}, result.NewError(result.MayHaveRun, "platform did not answer", err)
		}
		return response{}, notRun("platform is unreachable", err)
	}
	defer func() { _ = res.Body.Close() }() // the read of the body has reported any error
	if !hasLength(res) {
		return response{}, result.NewError(result.MayHaveRun, "platform answer is broken", errNoLength)
	}
	resp := response{status: res.StatusCode, revision: res.Header.Get(RevisionHeader)}
	if resp.body, err = io.ReadAll(io.LimitReader(res.Body, MaxBodyBytes+1)); err == nil && len(resp.body) > MaxBodyBytes {
		err = errTooLarge
	}
	if err != nil {
		return response{}, result.NewError(result.MayHaveRun, "platform answer is broken", err)
	}
	return resp, nil
}

// hasLength reports whether the end of the body is known, so that a cut one is an error. It is
// not known for a body that ends with its connection, as net/http reads one whose length has a
// malformed field name.
func hasLength(res *http.Response) bool {
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || res.Uncompressed
}

// initHTTP creates the HTTP client, which follows no redirects and uses no proxy.
func (c *Client) initHTTP() {
	timeout := c.TimeoutMillis
	if timeout <= 0 {
		timeout = DefaultTimeoutMillis
	}
	c.http = &http.Client{
		Timeout:       timeout.Duration(),
		Transport:     &http.Transport{MaxIdleConnsPerHost: maxIdleConnections},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// writeError returns nil for a write that took effect, and otherwise an error
// with the verdict that follows from the status.
func (r response) writeError() error {
	switch r.status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return notRun("row has another revision", ErrConflict)
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed,
		http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable:
		return notRun("platform refused the write", r.statusError())
	}
	return result.NewError(result.MayHaveRun, "platform write failed", r.statusError())
}

// statusError returns an error with the status and the start of the body.
func (r response) statusError() error {
	const maxShown = 200
	return fmt.Errorf("status %d: %s", r.status, r.body[:min(len(r.body), maxShown)])
}

// parseRevision returns the revision in the response's header.
func (r response) parseRevision() (ident.Revision, error) {
	n, err := strconv.ParseUint(r.revision, 10, 64)
	return ident.Revision(n), err
}

// notRun returns the error of a call that certainly had no effect.
func notRun(reason string, cause error) *result.Error {
	return result.NewError(result.NotRun, reason, cause)
}
