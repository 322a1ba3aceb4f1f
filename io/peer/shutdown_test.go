package peer

import (
	"context"
	"crypto/tls"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"hickoryrail/core/ident"
	"hickoryrail/core/result"
	"hickoryrail/io/keys"
)

// openServer opens a transport of node b that runs no call. The test runs or closes it.
func openServer(t *testing.T, directory string) *Transport {
	identity, err := keys.LoadIdentity(directory, "b")
	if err != nil {
		t.Fatal(err)
	}
	p := &Transport{Self: "b", Listen: "127.0.0.1:0", Identity: identity, OnCall: func(context.Context, ident.NodeID, []byte) []byte {
		t.Error("a call was run")
		return nil
	}}
	if err := p.Open(); err != nil {
		t.Fatal(err)
	}
	return p
}

// stopNow runs a transport that stops immediately.
func stopNow(p *Transport) error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return p.Run(ctx)
}

// TestStopAnswersQueuedConnections guards against a call without an answer, or one that
// may have run for its caller, whose connection a stopping node has not accepted yet
// (I5, I8).
func TestStopAnswersQueuedConnections(t *testing.T) {
	// More than one, so that an accept that coincides with the stop does not take all.
	const connections = 8
	is := is.New(t)
	directory := keyDirectory(t)
	server := openServer(t, directory)
	events := make(chan Event, 1024)
	client := start(t, directory, "a", func(p *Transport) { p.OnEvent = func(e Event) { events <- e } })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	calls := make(chan error, connections)
	var g conc.WaitGroup
	defer g.Wait()
	for range connections {
		g.Go(func() {
			_, err := client.CallFresh(ctx, "b", server.Address(), []byte("x"))
			calls <- err
		})
		awaitEvent(events, Sent)
	}
	is.NoErr(server.Drain(ctx)) // refuses calls on the connections that Run accepts
	is.NoErr(stopNow(server))
	for range connections {
		err := <-calls
		is.Equal(result.Of(err), result.NotRun)
		is.Equal(result.Reason(err), reasonRefused)
	}
}

// TestStopAnswersHandshakes guards against a call that may have run for its caller although
// the node stopped before its side of the connection's handshake was complete (I5, I8).
func TestStopAnswersHandshakes(t *testing.T) {
	is := is.New(t)
	directory := keyDirectory(t)
	server := openServer(t, directory)
	verifying, release := make(chan struct{}), make(chan struct{})
	is.NoErr(server.listener.Close())
	slow := server.serverTLS()
	slow.VerifyConnection = func(tls.ConnectionState) error {
		close(verifying)
		<-release
		return nil
	}
	var err error
	server.listener, err = server.quic.Listen(slow, server.config(0))
	is.NoErr(err)
	events := make(chan Event, 1024)
	client := start(t, directory, "a", func(p *Transport) { p.OnEvent = func(e Event) { events <- e } })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	calls := make(chan error, 1)
	var g conc.WaitGroup
	defer g.Wait()
	g.Go(func() {
		_, err := client.Call(ctx, "b", server.Address(), []byte("x"))
		calls <- err
	})
	<-verifying
	awaitEvent(events, Sent) // the caller's side of the handshake is complete
	g.Go(func() { is.NoErr(stopNow(server)) })
	time.Sleep(20 * time.Millisecond) // the stop usually waits for the handshake then; any order must give the same answer
	close(release)
	err = <-calls
	is.Equal(result.Of(err), result.NotRun)
	is.Equal(result.Reason(err), reasonRefused)
}

// awaitEvent waits for an event of a kind.
func awaitEvent(events <-chan Event, kind EventKind) {
	for e := range events {
		if e.Kind == kind {
			return
		}
	}
}
