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
	// RevisionHeader carries a row's revision in answers.
	RevisionHeader = "Revision"
	// MaxBodyBytes bounds a value, an object and an answer.
	MaxBodyBytes = 16 << 20
	// maxIdleConnections bounds the connections that wait for reuse.
	maxIdleConnections = 16
)

type (
	// Client is a Store that calls the platform over HTTP; docs/platform.md has
	// the protocol. It is safe for concurrent use, and its fields do not change
	// after the first call.
	Client struct {
		// URL is the platform's base URL, such as http://10.0.0.7:7400.
		URL string
		// TimeoutMillis bounds each call; 0 is DefaultTimeoutMillis.
		TimeoutMillis clock.Millis

		once sync.Once
		http *http.Client
	}

	// answer is the complete answer to one call.
	answer struct {
		status   int
		revision string
		body     []byte
	}
)

var (
	// errAnswer reports an answer that does not follow the protocol.
	errAnswer = errors.New("answer does not follow the protocol")
	// errTooLarge reports a value, an object or an answer over MaxBodyBytes.
	errTooLarge = errors.New("body exceeds 16 MiB")
)

// ReadRow is a strong read of one row. A failed read is always NotRun, because
// it changes nothing.
func (c *Client) ReadRow(ctx context.Context, key string) (Row, error) {
	a, err := c.call(ctx, http.MethodGet, "row", url.Values{"Key": {key}}, nil)
	switch {
	case err != nil:
		return Row{}, notRun("platform read failed", err)
	case a.status == http.StatusNotFound:
		return Row{Key: key}, nil
	case a.status != http.StatusOK:
		return Row{}, notRun("platform refused the read", a.failure())
	}
	revision, err := a.parseRevision()
	if err != nil || revision == 0 {
		return Row{}, notRun("platform read failed", errAnswer)
	}
	return Row{Key: key, Value: a.body, Revision: revision}, nil
}

// ListRows returns the rows whose keys start with prefix, in order of key.
func (c *Client) ListRows(ctx context.Context, prefix string) ([]Row, error) {
	a, err := c.call(ctx, http.MethodGet, "rows", url.Values{"Prefix": {prefix}}, nil)
	if err != nil {
		return nil, notRun("platform list failed", err)
	}
	if a.status != http.StatusOK {
		return nil, notRun("platform refused the list", a.failure())
	}
	var rows []Row
	if err := json.Unmarshal(a.body, &rows); err != nil {
		return nil, notRun("platform list failed", err)
	}
	return rows, nil
}

// WriteRow writes or deletes a row on the condition of its revision. Once the
// request may have left this machine, a failure is MayHaveRun.
func (c *Client) WriteRow(ctx context.Context, key string, value []byte, ifRevision ident.Revision) (Row, error) {
	method := http.MethodPut
	if value == nil {
		method = http.MethodDelete
	}
	query := url.Values{"Key": {key}, "IfRevision": {strconv.FormatUint(uint64(ifRevision), 10)}}
	a, err := c.call(ctx, method, "row", query, value)
	if err == nil {
		err = a.writeError()
	}
	if err != nil {
		return Row{}, err
	}
	revision, err := a.parseRevision()
	if err != nil || (revision == 0) != (value == nil) {
		return Row{}, result.NewError(result.MayHaveRun, "platform write answer is broken", errAnswer)
	}
	return Row{Key: key, Value: value, Revision: revision}, nil
}

// PutObject stores an object; a second put of the same name replaces it.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	a, err := c.call(ctx, http.MethodPut, "object", url.Values{"Name": {name}}, body)
	if err != nil {
		return err
	}
	return a.writeError()
}

// GetObject returns an object or ErrNotFound.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	a, err := c.call(ctx, http.MethodGet, "object", url.Values{"Name": {name}}, nil)
	switch {
	case err != nil:
		return nil, notRun("platform read failed", err)
	case a.status == http.StatusNotFound:
		return nil, notRun("object does not exist", ErrNotFound)
	case a.status != http.StatusOK:
		return nil, notRun("platform refused the read", a.failure())
	}
	return a.body, nil
}

// call sends one request and reads its whole answer. Its error is NotRun only
// if no connection was ever assigned to the request.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte) (answer, error) {
	if len(body) > MaxBodyBytes {
		return answer{}, notRun("platform call is too large", errTooLarge)
	}
	c.once.Do(c.open)
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	target := strings.TrimSuffix(c.URL, "/") + "/" + path + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return answer{}, notRun("platform call is malformed", err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		if sent.Load() {
			return answer{}, result.NewError(result.MayHaveRun, "platform did not answer", err)
		}
		return answer{}, notRun("platform is unreachable", err)
	}
	defer func() { _ = res.Body.Close() }() // the body was read to its end or its error was returned
	a := answer{status: res.StatusCode, revision: res.Header.Get(RevisionHeader)}
	if a.body, err = io.ReadAll(io.LimitReader(res.Body, MaxBodyBytes+1)); err == nil && len(a.body) > MaxBodyBytes {
		err = errTooLarge
	}
	if err != nil {
		return answer{}, result.NewError(result.MayHaveRun, "platform answer is broken", err)
	}
	return a, nil
}

// open makes the HTTP client. It follows no redirects and uses no proxy.
func (c *Client) open() {
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
// with the verdict that the status allows.
func (a answer) writeError() error {
	switch a.status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return notRun("row has another revision", ErrConflict)
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed,
		http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable:
		return notRun("platform refused the write", a.failure())
	}
	return result.NewError(result.MayHaveRun, "platform write failed", a.failure())
}

// failure describes an answer with an unwanted status.
func (a answer) failure() error {
	const shown = 200
	return fmt.Errorf("status %d: %s", a.status, a.body[:min(len(a.body), shown)])
}

// parseRevision returns the revision in the answer's header.
func (a answer) parseRevision() (ident.Revision, error) {
	n, err := strconv.ParseUint(a.revision, 10, 64)
	return ident.Revision(n), err
}

// notRun returns an error of a call that had no effect.
func notRun(reason string, cause error) *result.Error {
	return result.NewError(result.NotRun, reason, cause)
}
