package plat_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/lease"
	"hickoryrail/io/plat"
)

// TestKeeper guards against a lease that no node acquires after a graceful stop of
// the holder or an outage of the store. It runs over HTTP and loses a response.
func TestKeeper(t *testing.T) {
	is := is.New(t)
	server, client := startStub(t, 0)
	server.LoseAnswers(1)
	now := clock.NewManual(0) // with a real clock, a slow machine could let the lease expire
	acquired, lost := make(chan ident.Epoch, 9), make(chan ident.Epoch, 9)
	run := func(self ident.NodeID) (context.CancelFunc, chan error) {
		timing := lease.Timing{TTLMillis: 3000, RenewMillis: 80, MarginMillis: 500, HeartbeatTimeoutMillis: 50, JitterPerNodeMillis: 10}
		k := &plat.LeaseKeeper{
			Store: client, Clock: now, Region: "attica",
			Lease:      &lease.Lease{Self: self, Timing: timing, Rand: rand.New(rand.NewPCG(1, 1)), FleetSize: 2},
			OnAcquired: func(e ident.Epoch) { acquired <- e }, OnLost: func(e ident.Epoch) { lost <- e },
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- k.Run(ctx) }()
		return cancel, done
	}
	// next advances the clock past the heartbeat timeout and the jitter, and returns the
	// next epoch from the channel.
	next := func(epochs chan ident.Epoch) ident.Epoch {
		for i := range 10_000 {
			select {
			case e := <-epochs:
				return e
			case <-time.After(time.Millisecond):
				if i < 40 {
					now.Advance(5)
				}
			}
		}
		t.Fatal("the lease was neither acquired nor lost in time")
		return 0
	}
	stopFirst, first := run("n1")
	is.Equal(next(acquired), ident.Epoch(1))
	stopSecond, second := run("n2")
	stopFirst()
	is.NoErr(<-first)
	is.Equal(next(lost), ident.Epoch(1))
	is.Equal(next(acquired), ident.Epoch(2))
	server.SetDown(true)
	now.Advance(3000)
	is.Equal(next(lost), ident.Epoch(2)) // the lease expired by the holder's own clock
	server.SetDown(false)
	is.Equal(next(acquired), ident.Epoch(2)) // no other node acquired it in the meantime
	stopSecond()
	is.NoErr(<-second)
	row, err := client.ReadRow(context.Background(), lease.Key("attica"))
	is.NoErr(err)
	value, err := lease.DecodeRow(row.Value)
	is.NoErr(err)
	is.Equal(value.Holder, ident.NodeID("")) // released
}
