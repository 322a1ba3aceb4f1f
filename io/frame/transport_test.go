package frame

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
	"hickoryrail/core/result"
	"hickoryrail/io/peer"
)

// testTimeout bounds waits that end much earlier unless there is a fault.
const testTimeout = 5 * time.Second

// start opens a transport on a free port and runs it until the test ends.
func start(t *testing.T, tr *Transport) *Transport {
	t.Helper()
	tr.Listen = "127.0.0.1:0"
	if err := tr.Open(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- tr.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return tr
}

// testContext returns a context that ends after testTimeout.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// echo answers a call with the caller's id and the body of the request.
func echo(_ context.Context, from ident.NodeID, body []byte) []byte {
	return append([]byte(from+":"), body...)
}

// TestCalls guards against answers that are delivered to the wrong call when many
// calls share one connection.
func TestCalls(t *testing.T) {
	is := is.New(t)
	server := start(t, &Transport{Self: "b", OnCall: echo})
	client := start(t, &Transport{Self: "a"})
	errs := make(chan error, 100)
	for i := range 100 {
		go func() {
			body := strings.Repeat(string(rune('a'+i%26)), 1+i*997%20000)
			answer, err := client.Call(testContext(t), "b", server.Address(), []byte(body))
			if err == nil && string(answer) != "a:"+body {
				err = errors.New("answer of another call")
			}
			errs <- err
		}()
	}
	for range 100 {
		is.NoErr(<-errs)
	}
	is.Equal(len(client.dialed), 1)
}

// TestCancelReachesHandler guards against a handler that continues after its caller
// has cancelled the call.
func TestCancelReachesHandler(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	server := start(t, &Transport{Self: "b", OnCall: func(ctx context.Context, _ ident.NodeID, _ []byte) []byte {
		close(started)
		<-ctx.Done()
		close(ended)
		return nil
	}})
	client := start(t, &Transport{Self: "a"})
	ctx, cancel := context.WithCancel(testContext(t))
	go func() {
		<-started
		cancel()
	}()
	_, err := client.Call(ctx, "b", server.Address(), nil)
	is.Equal(result.Of(err), result.MayHaveRun)
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("handler was not cancelled")
	}
}

// TestDrainRefuses guards against a drain that interrupts a running call, starts a new
// one, or refuses a call with a verdict other than NotRun.
func TestDrainRefuses(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	server := start(t, &Transport{Self: "b", OnCall: func(context.Context, ident.NodeID, []byte) []byte {
		close(started)
		<-release
		return []byte("done")
	}})
	client := start(t, &Transport{Self: "a"})
	first := make(chan string, 1)
	go func() {
		answer, err := client.Call(testContext(t), "b", server.Address(), nil)
		if err != nil {
			answer = []byte(err.Error())
		}
		first <- string(answer)
	}()
	<-started
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(testContext(t)) }()
	for {
		server.mu.Lock()
		draining := server.draining
		server.mu.Unlock()
		if draining {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, err := client.Call(testContext(t), "b", server.Address(), nil)
	is.Equal(result.Of(err), result.NotRun)
	close(release)
	is.Equal(<-first, "done")
	is.NoErr(<-drained)
}

// TestLostConnection guards against a call that is reported as not run although the
// node received it completely, and against a later call that uses the lost connection.
func TestLostConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			b := bufio.NewReader(conn)
			for range 2 { // the hello and the call
				_, _ = read(b, 1<<10)
			}
			_ = conn.Close()
		}
	}()
	client := start(t, &Transport{Self: "a"})
	for range 2 {
		_, err = client.Call(testContext(t), "b", l.Addr().String(), []byte("x"))
		is.Equal(result.Of(err), result.MayHaveRun)
	}
}

// TestNoNode guards against the verdict MayHaveRun for a call that was never sent
// because nothing listens at the node's address.
func TestNoNode(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	client := start(t, &Transport{Self: "a"})
	for range 2 { // the second call fails without a dial, in the pause after a failed one
		_, err = client.Call(testContext(t), "b", l.Addr().String(), nil)
		is.Equal(result.Of(err), result.NotRun)
	}
}

// TestControl guards against lost control messages in both directions of one
// connection.
func TestControl(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 4)
	receive := func(from ident.NodeID, body []byte) { got <- string(from) + ":" + string(body) }
	a := start(t, &Transport{Self: "a", OnControl: receive})
	b := start(t, &Transport{Self: "b", OnControl: receive})
	a.SendControl("b", b.Address(), []byte("1"))
	is.Equal(<-got, "a:1")
	b.SendControl("a", "", []byte("2")) // on the connection that a dialed
	is.Equal(<-got, "b:2")
}

// TestSilentConnection guards against a connection without any answer that the stall
// detector cannot find (by events and a failed echo) or close.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			if _, err := l.Accept(); err != nil { // accepted and never answered
				return
			}
		}
	}()
	events := make(chan peer.Event, 16)
	client := start(t, &Transport{Self: "a", OnEvent: func(e peer.Event) { events <- e }})
	failed := make(chan error, 1)
	go func() {
		_, err := client.Call(testContext(t), "b", l.Addr().String(), nil)
		failed <- err
	}()
	opened := <-events
	is.Equal(opened.Kind, peer.Opened)
	is.Equal((<-events).Kind, peer.Sent)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	is.True(client.Echo(ctx, opened.Connection) != nil)
	client.CloseConnection(opened.Connection)
	is.Equal(result.Of(<-failed), result.MayHaveRun)
}

// FuzzRead guards against a panic and against accepting an oversized frame on arbitrary
// input.
func FuzzRead(f *testing.F) {
	f.Add(message{kind: kindCall, id: 3, payload: []byte("x")}.encode())
	f.Add([]byte{0, 0, 0, 1, 2, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := read(bufio.NewReader(strings.NewReader(string(body))), 64)
		if err == nil && len(m.payload) > 64 {
			t.Fatal("frame is above the limit")
		}
	})
}
