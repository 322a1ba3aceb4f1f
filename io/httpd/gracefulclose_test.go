package httpd

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"hickoryrail/core/clock"
)

const (
	// documentBytes is the size of a response that fits into the send buffer of the server, but
	// not into the receive buffer of the caller.
	documentBytes = 1 << 20
	// receiveBufferBytes is the size of the receive buffer of the caller.
	receiveBufferBytes = 128 << 10
	// slowCallerPause is longer than the server waits for a caller that has everything.
	slowCallerPause = 500 * time.Millisecond
)

// bufferedListener accepts connections whose send buffer holds a large response.
type bufferedListener struct {
	*net.TCPListener
}

func (l bufferedListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return c, c.SetWriteBuffer(4 * documentBytes)
}

// startLarge starts a server whose responses are large, and dials it with a small receive
// buffer.
func startLarge(t *testing.T, closeAfter bool) (*Server, net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	s := &Server{
		Handler: func(_ context.Context, rc *fasthttp.RequestCtx) {
			rc.SetBody(make([]byte, documentBytes))
			if closeAfter {
				rc.SetConnectionClose()
			}
		},
		Malformed: func(*fasthttp.RequestCtx, error) {},
		Bounds: func() Bounds {
			return Bounds{HeaderBytes: 4096, BodyBytes: 1 << 20, BodyMillis: 5 * clock.Second, IdleMillis: 5 * clock.Second}
		},
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(bufferedListener{l}) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		is.NoErr(s.Close(ctx))
		is.NoErr(<-done)
	})
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	is.NoErr(c.(*net.TCPConn).SetReadBuffer(receiveBufferBytes))
	is.NoErr(c.SetDeadline(time.Now().Add(testTimeout)))
	return s, c
}

// TestRequestBehindClosingResponse guards against a closing response whose rest is lost
// because the caller sends a further request before it has read the response.
func TestRequestBehindClosingResponse(t *testing.T) {
	is := is.New(t)
	_, c := startLarge(t, true)
	_, err := io.WriteString(c, get("/1"))
	is.NoErr(err)
	time.Sleep(slowCallerPause) // the response is written, and the caller has read nothing
	_, err = io.WriteString(c, get("/2"))
	is.NoErr(err)
	time.Sleep(settleTime)
	expectOneResponse(t, c)
}

// TestRequestBehindIdleClose guards against a response whose rest is lost because the
// server closes the connection as idle while the response is under way, and the caller
// sends a further request.
func TestRequestBehindIdleClose(t *testing.T) {
	is := is.New(t)
	s, c := startLarge(t, false)
	_, err := io.WriteString(c, get("/1"))
	is.NoErr(err)
	time.Sleep(slowCallerPause)
	s.CloseIdle()
	time.Sleep(slowCallerPause)
	_, err = io.WriteString(c, get("/2"))
	is.NoErr(err)
	time.Sleep(settleTime)
	expectOneResponse(t, c)
}

// TestCloseDoesNotWaitForIdleCaller guards against a stop that waits for a caller which
// has its response but does not close its side of the connection.
func TestCloseDoesNotWaitForIdleCaller(t *testing.T) {
	is := is.New(t)
	f := start(t, func(context.Context, *fasthttp.RequestCtx) {})
	c, b := f.dial(t)
	_, err := io.WriteString(c, get("/"))
	is.NoErr(err)
	readResponse(t, b)
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	is.NoErr(f.Close(ctx))
	is.True(time.Since(began) < testTimeout/2)
}

// TestCloseEndsForUnreadResponse guards against a stop that outlives its context because a
// caller does not read its response.
func TestCloseEndsForUnreadResponse(t *testing.T) {
	is := is.New(t)
	s, c := startLarge(t, true)
	_, err := io.WriteString(c, get("/1"))
	is.NoErr(err)
	time.Sleep(settleTime)
	ctx, cancel := context.WithTimeout(context.Background(), slowCallerPause)
	defer cancel()
	is.Equal(s.Close(ctx), context.DeadlineExceeded)
	is.Equal(s.OpenConnections(), 0)
}

// expectOneResponse reads one whole response and the end of the connection.
func expectOneResponse(t *testing.T, c net.Conn) {
	t.Helper()
	is := is.New(t)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	n, err := io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.Equal(n, int64(documentBytes))
	is.NoErr(resp.Body.Close())
}
