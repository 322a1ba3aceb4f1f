// Package target provides a stand-in target for tests and demos: an HTTP server that
// announces itself to its node and counts how often it ran each action.
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
	// ActionHeader is the request header with the id of the action, under which the runs
	// are counted.
	ActionHeader = "Action-Id"
	// maxBodyBytes bounds a request body.
	maxBodyBytes = 16 << 20
)

// Server is a target that returns the body of each request. Exported fields are set before
// Open.
type Server struct {
	ID      ident.TargetID
	Service ident.ServiceName
	// Listen is the TCP address; port 0 chooses a free one.
	Listen string
	// NodeAddress is host:port at which the node accepts announcements; empty for a
	// server that does not announce itself.
	NodeAddress string
	// DelayMillis is the processing time of each request.
	DelayMillis clock.Millis

	listener net.Listener
	server   *fasthttp.Server
	inFlight atomic.Int64
	// draining is set by Drain, which ends the renewals.
	draining atomic.Bool
	// killed is set by Kill, which ends the renewals without leaving.
	killed atomic.Bool
	// lastStart is the wall time, in Unix milliseconds, at which the last request started;
	// 0 before the first one.
	lastStart atomic.Int64

	// mu guards runs.
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

// Run serves requests and renews the announcement until ctx ends or Kill is called.
func (s *Server) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { s.announce(ctx) })
	serveErr := make(chan error, 1)
	wg.Go(func() { serveErr <- s.server.Serve(s.listener) })
	var err error
	select {
	case <-ctx.Done():
		err = s.server.Shutdown()
	case err = <-serveErr:
	}
	wg.Wait()
	return err
}

// Kill simulates a crash: it closes the listener at once and ends the renewals without
// leaving.
func (s *Server) Kill() {
	s.killed.Store(true)
	_ = s.listener.Close()
}

// Drain announces to the node that the target is draining, waits until no request is in
// flight, and leaves. It returns the error of ctx if ctx ends first.
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

// LastStart returns the time at which the last request started, or 0 before the first one.
func (s *Server) LastStart() clock.Millis {
	return clock.Millis(s.lastStart.Load())
}

// Runs returns the number of runs of each action.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for action, n := range s.runs {
		out[action] = n
	}
	return out
}

// serve runs one request and returns its body.
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

// message is the body of every request to the node.
type message struct {
	Target   ident.TargetID
	Service  ident.ServiceName `json:",omitempty"`
	Address  string            `json:",omitempty"`
	InFlight int               `json:",omitempty"`
}

// post sends a message to the node. A status of 300 or above is an error.
func (s *Server) post(path string) error {
	if s.NodeAddress == "" {
		return nil
	}
	body := message{Target: s.ID}
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
	request.SetRequestURI("http://" + s.NodeAddress + path)
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
