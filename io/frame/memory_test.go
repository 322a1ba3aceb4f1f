package frame

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
	"hickoryrail/core/result"
	"hickoryrail/io/mem"
	"hickoryrail/io/peer"
)

// largeBytes is the size of a large payload.
const largeBytes = 4 << 20

// newMemory returns a budget for bodies of largeBytes.
func newMemory() *mem.Budget {
	return mem.NewBudget(64<<20, largeBytes)
}

// exhaust takes all memory that a hold of each new lease can get.
func exhaust(t *testing.T, b *mem.Budget, hold func(*mem.Lease) *mem.Hold) []*mem.Lease {
	t.Helper()
	var leases []*mem.Lease
	for {
		l := b.Lease()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		err := hold(l).Take(ctx, mem.Copies*largeBytes)
		cancel()
		if err != nil {
			l.Release()
			return leases
		}
		leases = append(leases, l)
	}
}

// TestCallWithoutMemoryIsRefused guards against a call that is kept although there is no
// memory for it, or that takes its connection with it.
func TestCallWithoutMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	memory := newMemory()
	var started atomic.Int64
	server := start(t, &Transport{Self: "b", BodyBytes: 2 * largeBytes, Memory: memory, OnCall: func(context.Context, ident.NodeID, []byte) []byte {
		started.Add(1)
		return nil
	}})
	client := start(t, &Transport{Self: "a", BodyBytes: 2 * largeBytes})
	large := bytes.Repeat([]byte("x"), largeBytes)
	leases := exhaust(t, memory, func(l *mem.Lease) *mem.Hold { return l.Request })
	_, err := client.Call(testContext(t), "b", server.Address(), large)
	is.Equal(result.Of(err), result.NotRun)
	is.Equal(started.Load(), int64(0))
	c := client.links["b"].usable(server.Address())
	_, err = client.Call(testContext(t), "b", server.Address(), []byte("small"))
	is.NoErr(err)
	is.Equal(client.links["b"].usable(server.Address()), c) // the connection is the same
	for _, l := range leases {
		l.Release()
	}
	for range 20 { // each call gives its memory back
		_, err = client.Call(testContext(t), "b", server.Address(), large)
		is.NoErr(err)
	}
	is.Equal(started.Load(), int64(21))
}

// TestAnswerWithoutMemory guards against an answer that is kept although there is no memory
// for it, one that is not waited for, and a wait that blocks the connection for good.
func TestAnswerWithoutMemory(t *testing.T) {
	is := is.New(t)
	memory := newMemory()
	large := bytes.Repeat([]byte("x"), largeBytes)
	server := start(t, &Transport{Self: "b", BodyBytes: 2 * largeBytes, OnCall: func(_ context.Context, _ ident.NodeID, body []byte) []byte {
		if string(body) == "large" {
			return large
		}
		return body
	}})
	var progress atomic.Int64
	client := start(t, &Transport{Self: "a", BodyBytes: 2 * largeBytes, OnEvent: func(e peer.Event) {
		if e.Kind == peer.Progress {
			progress.Add(1)
		}
	}})
	call := func(body string) ([]byte, error) {
		lease := memory.Lease()
		defer lease.Release()
		return client.Call(mem.With(testContext(t), lease), "b", server.Address(), []byte(body))
	}
	leases := exhaust(t, memory, func(l *mem.Lease) *mem.Hold { return l.Answer })
	_, err := call("large")
	is.Equal(result.Of(err), result.MayHaveRun)
	answer, err := call("small")
	is.NoErr(err)
	is.Equal(string(answer), "small")
	time.AfterFunc(300*time.Millisecond, func() {
		for _, l := range leases {
			l.Release()
		}
	})
	progress.Store(0)
	answer, err = call("large") // once there is memory
	is.NoErr(err)
	is.Equal(len(answer), largeBytes)
	is.True(progress.Load() >= largeBytes/pieceBytes) // a slow link is not taken for a silent one
}
