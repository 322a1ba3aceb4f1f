package httpd

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// settleTime is enough for bytes and closes to cross a loopback connection.
const settleTime = 50 * time.Millisecond

// heldListener accepts no connection until it is released.
type heldListener struct {
	net.Listener
	released chan struct{}
}

func (l heldListener) Accept() (net.Conn, error) {
	<-l.released
	return l.Listener.Accept()
}

// heldTCPListener is a TCP listener that accepts no connection until it is released.
type heldTCPListener struct {
	*net.TCPListener
	// accepting receives a value with each call of Accept.
	accepting, released chan struct{}
}

func (l heldTCPListener) Accept() (net.Conn, error) {
	l.accepting <- struct{}{}
	<-l.released
	return l.TCPListener.Accept()
}

// TestCallerLeftBeforeRead guards against a request that starts although its caller
// closed or reset the connection before the request was read.
func TestCallerLeftBeforeRead(t *testing.T) {
	is := is.New(t)
	const callers = 60
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	held := heldListener{Listener: l, released: make(chan struct{})}
	present := make(chan bool, 4*callers)
	f := &fixture{}
	f.Server = &Server{
		Handler:   func(ctx context.Context, _ *fasthttp.RequestCtx) { present <- ctx.Err() == nil },
		Malformed: func(*fasthttp.RequestCtx, error) {},
		Bounds:    func() Bounds { return Bounds{HeaderBytes: 4096, BodyBytes: 1 << 20} },
	}
	for i := range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(c, strings.Repeat(get("/"), 1+i%3))
		is.NoErr(err)
		is.NoErr(c.Close())
	}
	time.Sleep(settleTime)
	close(held.released)
	done := make(chan error, 1)
	go func() { done <- f.Serve(held) }()
	for range 2 * callers { // one, two or three requests each
		is.True(!<-present) // the handler must know from the start that its caller has left
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	is.NoErr(f.Close(ctx))
	is.NoErr(<-done)
}

// TestCallerLeavesWhileNothingIsRead guards against handlers that continue after their
// caller has left while the server reads no request: with a full pipeline, and behind a
// malformed request.
func TestCallerLeavesWhileNothingIsRead(t *testing.T) {
	for name, requests := range map[string]string{
		"full pipeline": strings.Repeat(get("/"), DefaultPipeline+8),
		"malformed":     get("/") + "GET\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			entered, ended := make(chan struct{}, 64), make(chan struct{}, 64)
			release := make(chan struct{})
			f := start(t, func(ctx context.Context, _ *fasthttp.RequestCtx) {
				entered <- struct{}{}
				select {
				case <-ctx.Done():
					ended <- struct{}{}
				case <-release:
				}
			})
			t.Cleanup(func() { close(release) }) // before the server closes
			c, _ := f.dial(t)
			_, err := io.WriteString(c, requests)
			is.NoErr(err)
			<-entered
			time.Sleep(settleTime)
			is.NoErr(c.Close())
			select {
			case <-ended:
			case <-time.After(testTimeout):
				t.Error("the context of the handler did not end")
			}
		})
	}
}
