package frame

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
	"hickoryrail/core/result"
)

// TestWithdrawnCallIsNotSent guards against a call that is sent although its caller has
// left while it waited for the write of an earlier frame.
func TestWithdrawnCallIsNotSent(t *testing.T) {
	is := is.New(t)
	var started atomic.Int64
	server := start(t, &Transport{Self: "b", OnCall: func(context.Context, ident.NodeID, []byte) []byte {
		started.Add(1)
		return nil
	}})
	client := start(t, &Transport{Self: "a"})
	_, err := client.Call(testContext(t), "b", server.Address(), nil)
	is.NoErr(err)
	c := client.links["b"].usable(server.Address())
	release := blockWrites(c)
	ctx, cancel := context.WithCancel(testContext(t))
	ended := make(chan error, 1)
	go func() {
		_, err := client.Call(ctx, "b", server.Address(), []byte("withdrawn"))
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond) // the call waits for the connection
	cancel()
	time.Sleep(20 * time.Millisecond)
	release()
	is.Equal(result.Of(<-ended), result.NotRun)
	_, err = client.Call(testContext(t), "b", server.Address(), nil)
	is.NoErr(err)
	is.Equal(started.Load(), int64(2)) // the calls before and after
}

// TestCancelBehindCall guards against a call that starts although its cancellation has
// arrived together with it.
func TestCancelBehindCall(t *testing.T) {
	is := is.New(t)
	started := make(chan string, 16)
	server := start(t, &Transport{Self: "b", OnCall: func(_ context.Context, _ ident.NodeID, body []byte) []byte {
		started <- string(body)
		return nil
	}})
	c, err := net.Dial("tcp", server.Address())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	bytes := message{kind: kindHello, payload: []byte("a")}.encode()
	for _, m := range []message{
		{kind: kindCall, id: 1, payload: []byte("cancelled")},
		{kind: kindCall, id: 2, payload: []byte("kept")},
		{kind: kindCancel, id: 1},
		{kind: kindCall, id: 3, payload: []byte("last")},
	} {
		bytes = append(bytes, m.encode()...)
	}
	_, err = c.Write(bytes)
	is.NoErr(err)
	got := map[string]bool{<-started: true, <-started: true}
	is.Equal(got, map[string]bool{"kept": true, "last": true})
	select {
	case body := <-started:
		t.Fatalf("call %q started", body)
	case <-time.After(50 * time.Millisecond):
	}
}

// blockWrites makes the writes of a connection wait until the returned function is
// called.
func blockWrites(c *connection) func() {
	c.writing <- struct{}{}
	return func() { <-c.writing }
}

// TestCallOfEndedConnectionIsNotStarted guards against a node that was paused for seconds
// and then starts calls whose callers have closed their connections meanwhile and were told
// the outcome. Calls of open connections start after the pause.
func TestCallOfEndedConnectionIsNotStarted(t *testing.T) {
	is := is.New(t)
	started := make(chan string, 16)
	server := &Transport{Self: "b", Listen: "127.0.0.1:0", OnCall: func(_ context.Context, _ ident.NodeID, body []byte) []byte {
		started <- string(body)
		return nil
	}}
	is.NoErr(server.Open())
	send := func(body string) net.Conn {
		c, err := net.Dial("tcp", server.Address())
		is.NoErr(err)
		bytes := message{kind: kindHello, payload: []byte("a")}.encode()
		_, err = c.Write(append(bytes, message{kind: kindCall, id: 1, payload: []byte(body)}.encode()...))
		is.NoErr(err)
		return c
	}
	for range 8 {
		is.NoErr(send("left").Close())
	}
	defer func(c net.Conn) { _ = c.Close() }(send("waits"))
	time.Sleep(20 * time.Millisecond) // until the ends of the connections have arrived
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	is.Equal(<-started, "waits")
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(started), 0)
	cancel()
	is.NoErr(<-ended)
}
