// Package target provides a stand-in for a target: an HTTP server that announces
// itself at its node and counts how often it ran each action.
package target

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// ActionHeader names the business action of a request, for the count of runs.
	ActionHeader = "Action-Id"
	// maxBodyBytes bounds a request body.
	maxBodyBytes = 16 << 20
)

// Server is a stand-in target. Exported fields are set before Open.
type Server struct {
	ID      ident.TargetID
	Service ident.ServiceName
	// Listen is host:port; port 0 chooses a free one.
	Listen string
	// Node is host:port at which the node takes announcements; empty for a
	// server that does not announce itself.
	Node string
	// DelayMillis is how long each request takes.
	DelayMillis clock.Millis

	listener net.Listener
	server   *fasthttp.Server
	inFlight atomic.Int64
	draining atomic.Bool
	// abrupt is set by Kill: no more renewals and no leave.
	abrupt atomic.Bool
	// lastStart is the wall time, in Unix milliseconds, of the last request that
	// started; 0 before the first one.
	lastStart atomic.Int64

	mu sync.Mutex
	// runs counts the runs of each action.
	runs map[string]int
}

// Open binds the listener.
func (s *Server) Open() error {
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return eris.Wrap(err, "target: bind")
	}
	s.listener = l
	s.runs = make(map[string]int)
	s.server = &fasthttp.Server{
		Handler: s.serve, MaxRequestBodySize: maxBodyBytes,
		NoDefaultServerHeader: true, CloseOnShutdown: true,
	}
	return nil
}

// Address returns host:port of the listener, known after Open.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Run serves and keeps the announcement alive until ctx ends or Kill is called.
func (s *Server) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { s.announce(ctx) })
	failure := make(chan error, 1)
	wg.Go(func() { failure <- s.server.Serve(s.listener) })
	var err error
	select {
	case <-ctx.Done():
		err = s.server.Shutdown()
	case err = <-failure:
	}
	wg.Wait()
	return err
}

// Kill closes the listener at once and stops renewals without leaving.
func (s *Server) Kill() {
	s.abrupt.Store(true)
	_ = s.listener.Close()
}

// Drain tells the node that the target leaves, waits until no request is in
// flight, and leaves. It returns the error of ctx if that ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	if err := s.post("/drain"); err != nil {
		return err
	}
	for s.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
	return s.post("/leave")
}

// LastStart returns the instant at which the last request started, or 0.
func (s *Server) LastStart() clock.Millis {
	return clock.Millis(s.lastStart.Load())
}

// Runs returns a copy of the count of runs by action.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for action, n := range s.runs {
		out[action] = n
	}
	return out
}

// serve runs one request and answers with its body.
func (s *Server) serve(c *fasthttp.RequestCtx) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.lastStart.Store(time.Now().UnixMilli())
	if action := string(c.Request.Header.Peek(ActionHeader)); action != "" {
		s.mu.Lock()
		s.runs[action]++
		s.mu.Unlock()
	}
	if s.DelayMillis > 0 {
		time.Sleep(s.DelayMillis.Duration())
	}
	c.Response.Header.Set("Target", string(s.ID))
	c.SetContentType("application/octet-stream")
	c.SetBody(c.PostBody())
}

// statement is the body of every message to the node.
type statement struct {
	Target   ident.TargetID
	Service  ident.ServiceName `json:",omitempty"`
	Address  string            `json:",omitempty"`
	InFlight int               `json:",omitempty"`
}

// post sends a statement to the node. An answer other than success is an error.
func (s *Server) post(path string) error {
	if s.Node == "" {
		return nil
	}
	body := statement{Target: s.ID}
	if path == "/announce" {
		body.Service, body.Address = s.Service, s.Address()
	}
	if path == "/announce" || path == "/renew" {
		body.InFlight = int(s.inFlight.Load())
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "target: encode")
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + s.Node + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetBody(encoded)
	if err := fasthttp.DoTimeout(request, response, time.Second); err != nil {
		return eris.Wrapf(err, "target: %s", path)
	}
	if response.StatusCode() >= fasthttp.StatusMultipleChoices {
		return eris.Errorf("target: %s answered %d: %s", path, response.StatusCode(), response.Body())
	}
	return nil
}
