package httpd

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"hickoryrail/core/clock"
	"hickoryrail/io/uplink"
)

// testTimeout bounds each wait of the tests.
const testTimeout = 5 * time.Second

// fixture is a server that listens on a loopback address.
type fixture struct {
	*Server
	address string
}

// start starts a server with the given handler and closes it at the end of the test.
func start(t *testing.T, handler func(ctx context.Context, rc *fasthttp.RequestCtx)) *fixture {
	t.Helper()
	return startLinked(t, nil, handler)
}

// startLinked is start for a server with a link.
func startLinked(t *testing.T, link *uplink.Link, handler func(ctx context.Context, rc *fasthttp.RequestCtx)) *fixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{address: l.Addr().String(), Server: &Server{
		Handler:   handler,
		Link:      link,
		Malformed: func(rc *fasthttp.RequestCtx, _ error) { rc.SetStatusCode(http.StatusBadRequest) },
		Bounds: func() Bounds {
			return Bounds{HeaderBytes: 4096, BodyBytes: 1 << 20, HeaderMillis: 2 * clock.Second, BodyMillis: 2 * clock.Second, IdleMillis: clock.Second}
		},
	}}
	done := make(chan error, 1)
	go func() { done <- f.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		if err := f.Close(ctx); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return f
}

// dial opens a connection and closes it at the end of the test.
func (f *fixture) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// get returns a GET request for a path.
func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"
}

// readResponse reads one response and returns it with its body.
func readResponse(t *testing.T, b *bufio.Reader) (string, *http.Response) {
	t.Helper()
	resp, err := http.ReadResponse(b, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text), resp
}

// TestPipeline guards against requests that wait for the previous one, and against
// responses that are out of order.
func TestPipeline(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	f := start(t, func(_ context.Context, rc *fasthttp.RequestCtx) {
		if string(rc.Path()) == "/1" {
			<-second // responds only once the next request runs
		} else {
			close(second)
		}
		rc.SetBody(rc.Path())
	})
	c, b := f.dial(t)
	_, err := io.WriteString(c, get("/1")+get("/2"))
	is.NoErr(err)
	for _, want := range []string{"/1", "/2"} {
		got, _ := readResponse(t, b)
		is.Equal(got, want)
	}
}

// TestCallerLeaves guards against a handler that continues after its caller has
// closed the connection.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	entered, ended := make(chan struct{}), make(chan struct{})
	f := start(t, func(ctx context.Context, _ *fasthttp.RequestCtx) {
		close(entered)
		<-ctx.Done()
		close(ended)
	})
	c, _ := f.dial(t)
	_, err := io.WriteString(c, get("/"))
	is.NoErr(err)
	<-entered
	is.NoErr(c.Close())
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the context of the handler did not end")
	}
}

// TestCloseAfterPipelinedRequests guards against a response that closes the connection
// while a later pipelined request runs: the caller would assume that this request was
// not read and send it again.
func TestCloseAfterPipelinedRequests(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}, 2), make(chan struct{})
	f := start(t, func(_ context.Context, rc *fasthttp.RequestCtx) {
		entered <- struct{}{}
		<-release
		rc.SetBody(rc.Path())
	})
	c, b := f.dial(t)
	_, err := io.WriteString(c, get("/1")+get("/2"))
	is.NoErr(err)
	<-entered
	<-entered
	f.BeginClose()
	close(release)
	got, resp := readResponse(t, b)
	is.Equal(got, "/1")
	is.True(!resp.Close)
	got, resp = readResponse(t, b)
	is.Equal(got, "/2")
	is.True(resp.Close)
	_, err = b.ReadByte()
	is.Equal(err, io.EOF)
}

// TestCloseFinishesRequests guards against a Close that aborts a request in flight or
// leaves an idle connection open.
func TestCloseFinishesRequests(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}), make(chan struct{})
	f := start(t, func(context.Context, *fasthttp.RequestCtx) {
		close(entered)
		<-release
	})
	finish := sync.OnceFunc(func() { close(release) })
	defer finish() // the server waits for its handlers, also after a failed check
	busy, b := f.dial(t)
	_, idle := f.dial(t)
	_, err := io.WriteString(busy, get("/"))
	is.NoErr(err)
	<-entered
	closed := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		closed <- f.Close(ctx)
	}()
	_, err = idle.ReadByte()
	is.Equal(err, io.EOF)
	finish()
	_, resp := readResponse(t, b)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.NoErr(<-closed)
}

// TestCloseAnswersWaitingConnections guards against a Close that resets connections which
// callers have opened, with their requests, because they are not accepted yet.
func TestCloseAnswersWaitingConnections(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	held := heldTCPListener{TCPListener: l.(*net.TCPListener), accepting: make(chan struct{}, 64), released: make(chan struct{})}
	f := &fixture{address: l.Addr().String(), Server: &Server{
		Handler: func(context.Context, *fasthttp.RequestCtx) {},
		Bounds:  func() Bounds { return Bounds{HeaderBytes: 4096, BodyBytes: 1 << 20} },
	}}
	var answers []*bufio.Reader
	for range 8 {
		c, b := f.dial(t)
		_, err := io.WriteString(c, get("/"))
		is.NoErr(err)
		answers = append(answers, b)
	}
	served, closed := make(chan error, 1), make(chan error, 1)
	go func() { served <- f.Serve(held) }()
	<-held.accepting
	go func() { closed <- f.Close(t.Context()) }()
	time.Sleep(acceptRestInterval / 10) // Close has begun
	close(held.released)
	for _, b := range answers {
		_, resp := readResponse(t, b)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.True(resp.Close)
	}
	is.NoErr(<-closed)
	is.NoErr(<-served)
}

// TestMalformed guards against a malformed request that gets no response, and against
// further use of its connection.
func TestMalformed(t *testing.T) {
	is := is.New(t)
	f := start(t, func(context.Context, *fasthttp.RequestCtx) {})
	for _, request := range []string{
		"GET\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 8192) + "\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n",
	} {
		c, b := f.dial(t)
		_, err := io.WriteString(c, request)
		is.NoErr(err)
		_, resp := readResponse(t, b)
		is.Equal(resp.StatusCode, http.StatusBadRequest)
		_, err = b.ReadByte()
		is.True(err != nil)
	}
}

// TestChunkedAndContinue guards against a chunked body that is truncated, and against a
// missing 100 Continue response.
func TestChunkedAndContinue(t *testing.T) {
	is := is.New(t)
	f := start(t, func(_ context.Context, rc *fasthttp.RequestCtx) { rc.SetBody(rc.PostBody()) })
	c, b := f.dial(t)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	is.NoErr(err)
	got, _ := readResponse(t, b)
	is.Equal(got, "abcde")
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	is.NoErr(err)
	line, err := b.ReadString('\n')
	is.NoErr(err)
	is.True(strings.Contains(line, "100"))
	_, err = b.ReadString('\n')
	is.NoErr(err)
	_, err = io.WriteString(c, "xy")
	is.NoErr(err)
	got, _ = readResponse(t, b)
	is.Equal(got, "xy")
}

// TestIdle guards against idle connections that are never closed, and against an idle
// timeout while a request is handled.
func TestIdle(t *testing.T) {
	is := is.New(t)
	f := start(t, func(context.Context, *fasthttp.RequestCtx) { time.Sleep(1500 * time.Millisecond) })
	c, b := f.dial(t)
	_, err := io.WriteString(c, get("/"))
	is.NoErr(err)
	_, resp := readResponse(t, b)
	is.Equal(resp.StatusCode, http.StatusOK)
	_, err = b.ReadByte()
	is.Equal(err, io.EOF)
}

// TestCloseBeforeServe guards against a server that accepts connections for ever because
// it was closed just before it began to serve.
func TestCloseBeforeServe(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &Server{}
	is.NoErr(s.Close(t.Context()))
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	select {
	case err := <-done:
		is.NoErr(err)
	case <-time.After(testTimeout):
		t.Fatal("Serve did not return")
	}
}

// TestContinueBehindResponses guards against an interim response that is written before the
// response to an earlier request, or into its body, while the caller reads slowly.
func TestContinueBehindResponses(t *testing.T) {
	is := is.New(t)
	const largeBytes = 8 << 20
	release := make(chan struct{})
	f := start(t, func(_ context.Context, rc *fasthttp.RequestCtx) {
		if rc.IsGet() {
			<-release
			rc.SetBody(make([]byte, largeBytes))
			return
		}
		rc.SetBody(rc.PostBody())
	})
	c, b := f.dial(t)
	_, err := io.WriteString(c, get("/1")+get("/2")+"PUT / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // the requests are read while the first one runs
	close(release)
	time.Sleep(50 * time.Millisecond) // the first response fills the buffers of the connection
	for range 2 {
		body, resp := readResponse(t, b)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.True(body == string(make([]byte, largeBytes)))
	}
	line, err := b.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	_, err = b.ReadString('\n')
	is.NoErr(err)
	_, err = io.WriteString(c, "ab")
	is.NoErr(err)
	body, _ := readResponse(t, b)
	is.Equal(body, "ab")
}

// TestNoContinueForRefusedBody guards against a caller that is asked for a body that the
// server refuses, and against an interim response to a caller that cannot know it.
func TestNoContinueForRefusedBody(t *testing.T) {
	is := is.New(t)
	f := start(t, func(_ context.Context, rc *fasthttp.RequestCtx) { rc.SetBody(rc.PostBody()) })
	c, b := f.dial(t)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 99999999\r\n\r\n")
	is.NoErr(err)
	_, resp := readResponse(t, b)
	is.Equal(resp.StatusCode, http.StatusBadRequest)
	c, b = f.dial(t)
	_, err = io.WriteString(c, "POST / HTTP/1.0\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab")
	is.NoErr(err)
	body, _ := readResponse(t, b)
	is.Equal(body, "ab")
}
