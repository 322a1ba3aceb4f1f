package frame

import (
	"bufio"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
)

// dialAs opens a connection to a transport in the name of a node.
func dialAs(t *testing.T, to *Transport, node ident.NodeID) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", to.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := c.Write(message{kind: kindHello, payload: []byte(node)}.encode()); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c
}

// acceptedBy waits until a transport has accepted count connections of a node.
func acceptedBy(t *testing.T, tr *Transport, count uint64) {
	t.Helper()
	for range 1000 {
		tr.mu.Lock()
		accepted := tr.acceptedCount
		tr.mu.Unlock()
		if accepted == count {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%d connections were not accepted", count)
}

// TestControlUsesNewestConnection guards against control messages that are sent on a
// connection which went silent without a reset, after the node has dialed again.
func TestControlUsesNewestConnection(t *testing.T) {
	is := is.New(t)
	tr := start(t, &Transport{Self: "a"})
	for n := range uint64(4) { // earlier connections of the same node
		dialAs(t, tr, "b")
		acceptedBy(t, tr, n+1)
	}
	newest := bufio.NewReader(dialAs(t, tr, "b"))
	acceptedBy(t, tr, 5)
	for i := range 20 {
		tr.SendControl("b", "", []byte{byte(i)})
		m, err := read(newest, bufferBytes)
		is.NoErr(err)
		is.Equal(m.payload, []byte{byte(i)})
	}
}

// TestRenewReplacesConnections guards against messages and calls that go on using the open
// connections to a node although these may be silent, and against a call in flight that is
// cut although its connection still works.
func TestRenewReplacesConnections(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}), make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	defer finish() // the server waits for its handlers, also after a failed check
	received := make(chan string, 8)
	server := start(t, &Transport{
		Self:      "b",
		OnCall:    func(_ context.Context, _ ident.NodeID, body []byte) []byte { close(entered); <-release; return body },
		OnControl: func(_ ident.NodeID, body []byte) { received <- string(body) },
	})
	client := start(t, &Transport{Self: "a"})
	silent := dialAs(t, client, "b") // accepts messages and passes none on
	acceptedBy(t, client, 1)
	answered := make(chan error, 1)
	go func() {
		_, err := client.Call(testContext(t), "b", server.Address(), []byte("x"))
		answered <- err
	}()
	<-entered // the server sees a connection before the client uses it for calls
	client.Renew("b")
	client.SendControl("b", server.Address(), []byte("whole"))
	is.Equal(<-received, "whole")
	acceptedBy(t, server, 2)
	finish()
	is.NoErr(<-answered)
	_ = silent.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := silent.Read(make([]byte, 1))
	is.True(err != nil) // no message
	for range 1000 {
		client.mu.Lock()
		open := len(client.dialed)
		client.mu.Unlock()
		if open == 1 { // the retired connection ends with its last call
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the retired connection stays open")
}
