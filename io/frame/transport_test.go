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

// patience bounds a wait for something that must happen.
const patience = 5 * time.Second

// start runs a transport and returns it; it stops with the test.
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

// bounded returns a context that outlasts everything but a fault.
func bounded(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

// echo answers a call with its own body.
func echo(_ context.Context, from ident.NodeID, body []byte) []byte {
	return append([]byte(from+":"), body...)
}

// TestCalls guards against answers that reach the wrong call, with many calls on
// one connection.
func TestCalls(t *testing.T) {
	is := is.New(t)
	server := start(t, &Transport{Self: "b", OnCall: echo})
	client := start(t, &Transport{Self: "a"})
	errs := make(chan error, 100)
	for i := range 100 {
		go func() {
			body := strings.Repeat(string(rune('a'+i%26)), 1+i*997%20000)
			answer, err := client.Call(bounded(t), "b", server.Address(), []byte(body))
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

// TestCancelReachesHandler guards against work that goes on after the caller has
// given up.
func TestCancelReachesHandler(t *testing.T) {
	is := is.New(t)
	entered, left := make(chan struct{}), make(chan struct{})
	server := start(t, &Transport{Self: "b", OnCall: func(ctx context.Context, _ ident.NodeID, _ []byte) []byte {
		close(entered)
		<-ctx.Done()
		close(left)
		return nil
	}})
	client := start(t, &Transport{Self: "a"})
	ctx, cancel := context.WithCancel(bounded(t))
	go func() {
		<-entered
		cancel()
	}()
	_, err := client.Call(ctx, "b", server.Address(), nil)
	is.Equal(result.Of(err), result.MayHaveRun)
	select {
	case <-left:
	case <-time.After(patience):
		t.Fatal("handler was not cancelled")
	}
}

// TestDrainRefuses guards against a stop that breaks off a running call or starts
// a new one, and against a refusal that is not certain.
func TestDrainRefuses(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}), make(chan struct{})
	server := start(t, &Transport{Self: "b", OnCall: func(context.Context, ident.NodeID, []byte) []byte {
		close(entered)
		<-release
		return []byte("done")
	}})
	client := start(t, &Transport{Self: "a"})
	first := make(chan string, 1)
	go func() {
		answer, err := client.Call(bounded(t), "b", server.Address(), nil)
		if err != nil {
			answer = []byte(err.Error())
		}
		first <- string(answer)
	}()
	<-entered
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(bounded(t)) }()
	for {
		server.mu.Lock()
		draining := server.draining
		server.mu.Unlock()
		if draining {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, err := client.Call(bounded(t), "b", server.Address(), nil)
	is.Equal(result.Of(err), result.NotRun)
	close(release)
	is.Equal(<-first, "done")
	is.NoErr(<-drained)
}

// TestLostConnection guards against a call that is reported as not run although
// the node had it whole, and against a later call on the dead connection.
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
		_, err = client.Call(bounded(t), "b", l.Addr().String(), []byte("x"))
		is.Equal(result.Of(err), result.MayHaveRun)
	}
}

// TestNoNode guards against an unknown outcome of a call that was never sent.
func TestNoNode(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	client := start(t, &Transport{Self: "a"})
	for range 2 { // the second one fails without a dial
		_, err = client.Call(bounded(t), "b", l.Addr().String(), nil)
		is.Equal(result.Of(err), result.NotRun)
	}
}

// TestControl guards against lost control messages in both directions of one
// connection.
func TestControl(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 4)
	take := func(from ident.NodeID, body []byte) { got <- string(from) + ":" + string(body) }
	a := start(t, &Transport{Self: "a", OnControl: take})
	b := start(t, &Transport{Self: "b", OnControl: take})
	a.SendControl("b", b.Address(), []byte("1"))
	is.Equal(<-got, "a:1")
	b.SendControl("a", "", []byte("2")) // by the connection that a dialed
	is.Equal(<-got, "b:2")
}

// TestSilentConnection guards against a detector that cannot find or replace a
// connection that carries nothing any more.
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
		_, err := client.Call(bounded(t), "b", l.Addr().String(), nil)
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

// FuzzRead guards against a panic or an oversized frame from strange bytes.
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
