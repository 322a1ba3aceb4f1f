package peer

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
	"hickoryrail/core/result"
)

// TestOversize guards against accepting a request or an answer above the limit at
// either end, and against a limit that refuses a body of the allowed size.
func TestOversize(t *testing.T) {
	is := is.New(t)
	directory := keyDirectory(t)
	small := func(p *Transport) {
		p.Limits.BodyBytes = 1000
		p.OnCall = func(_ context.Context, _ ident.NodeID, body []byte) []byte { return bytes.Repeat(body, 2) }
	}
	server := start(t, directory, "b", small)
	client := start(t, directory, "a", small)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := client.Call(ctx, "b", server.Address(), make([]byte, 1001))
	is.Equal(result.Of(err), result.NotRun)
	_, err = client.Call(ctx, "b", server.Address(), make([]byte, 501))
	is.Equal(result.Of(err), result.MayHaveRun)
	large := start(t, directory, "a", nil)
	_, err = large.Call(ctx, "b", server.Address(), make([]byte, 1001))
	is.Equal(result.Of(err), result.NotRun)
	_, err = client.Call(ctx, "b", server.Address(), make([]byte, 500))
	is.NoErr(err)
}

// TestConnectionsAreBounded guards against unused connections that stay open, more
// connections than the limit, and an idle timeout that ends a long call.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	directory := keyDirectory(t)
	serve := func(p *Transport) {
		p.OnCall = func(_ context.Context, _ ident.NodeID, body []byte) []byte {
			if string(body) == "long" {
				time.Sleep(2500 * time.Millisecond)
			}
			return answerTo(body)
		}
	}
	server := start(t, directory, "b", serve)
	other := start(t, directory, "a", serve)
	events := make(chan Event, 1024)
	observe := func(e Event) { events <- e }
	shortIdle := start(t, directory, "a", func(p *Transport) { p.Limits.IdleMillis, p.OnEvent = 1000, observe })
	capped := start(t, directory, "a", func(p *Transport) { p.Limits.Connections, p.Limits.IdleMillis, p.OnEvent = 1, 600_000, observe })
	next := func(kind EventKind) ConnectionID {
		for e := range events {
			if e.Kind == kind {
				return e.Connection
			}
		}
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := shortIdle.Call(ctx, "b", server.Address(), []byte("long"))
	is.NoErr(err)
	is.Equal(next(Opened), next(Closed))
	_, err = shortIdle.Call(ctx, "b", server.Address(), []byte("x"))
	is.NoErr(err)
	is.Equal(next(Opened), next(Closed))
	_, err = capped.Call(ctx, "b", server.Address(), []byte("x"))
	is.NoErr(err)
	_, err = capped.Call(ctx, "a", other.Address(), []byte("x"))
	is.NoErr(err)
	first := next(Opened)
	is.Equal(next(Closed), first)
}

// TestRestartResetsConnections guards against calls that hang until the idle timeout
// after the peer's process was killed and replaced at the same address.
func TestRestartResetsConnections(t *testing.T) {
	is := is.New(t)
	directory := keyDirectory(t)
	serve := func(p *Transport) {
		p.OnCall = func(_ context.Context, _ ident.NodeID, body []byte) []byte { return answerTo(body) }
	}
	killed := start(t, directory, "b", serve)
	address := killed.Address()
	client := start(t, directory, "a", nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := client.Call(ctx, "b", address, nil)
	is.NoErr(err)
	is.NoErr(killed.socket.Close()) // as after a kill, no close frame is sent
	start(t, directory, "b", func(p *Transport) {
		serve(p)
		p.Listen = address
	})
	for {
		// QUIC does not answer packets of up to 42 bytes with a reset; requests
		// between nodes are larger.
		_, err := client.Call(ctx, "b", address, make([]byte, 200))
		if err == nil {
			return
		}
		is.NoErr(ctx.Err()) // the old connection was not reset
	}
}
