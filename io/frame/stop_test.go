package frame

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
	"hickoryrail/core/stop"
)

// TestStopEndsCalls guards against a transport whose stop waits for the calls in flight
// until their deadlines, so that the process is still there when the platform kills it. A
// handler goes on when only its caller has left.
func TestStopEndsCalls(t *testing.T) {
	is := is.New(t)
	entered, cause := make(chan struct{}), make(chan error, 1)
	server := &Transport{Self: "b", Listen: "127.0.0.1:0", OnCall: func(ctx context.Context, _ ident.NodeID, _ []byte) []byte {
		close(entered)
		<-ctx.Done()
		cause <- context.Cause(ctx)
		return nil
	}}
	is.NoErr(server.Open())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	client := start(t, &Transport{Self: "a"})
	go func() { _, _ = client.Call(testContext(t), "b", server.Address(), []byte("x")) }()
	<-entered
	cancel()
	is.Equal(<-cause, stop.ErrStopped)
	is.NoErr(<-ended)
}

// bufferedListener accepts connections whose send buffer holds a large answer.
type bufferedListener struct {
	net.Listener
}

func (l bufferedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetWriteBuffer(4 * largeAnswer)
}

// TestStopDeliversAnswers guards against an answer whose rest is lost because the transport
// stops while the answer is under way, and the peer sends a further frame.
func TestStopDeliversAnswers(t *testing.T) {
	is := is.New(t)
	server := &Transport{Self: "b", Listen: "127.0.0.1:0", OnCall: sized}
	is.NoErr(server.Open())
	server.listener = bufferedListener{server.listener}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	c := dialAs(t, server, "a")
	is.NoErr(c.(*net.TCPConn).SetReadBuffer(128 << 10))
	_, err := c.Write(message{kind: kindCall, id: 1, payload: []byte("540000")}.encode())
	is.NoErr(err)
	acceptedBy(t, server, 1)
	time.Sleep(200 * time.Millisecond) // the answer is written, and the peer has read nothing
	is.NoErr(server.Drain(testContext(t)))
	cancel()
	time.Sleep(50 * time.Millisecond)
	_, err = c.Write(message{kind: kindEcho, id: 2}.encode())
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	m, err := read(bufio.NewReader(c), largeAnswer)
	is.NoErr(err)
	is.Equal(len(m.payload), largeAnswer)
	is.NoErr(<-ended)
}
