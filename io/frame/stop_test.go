package frame

import (
	"context"
	"testing"

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
