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

// TestKeeper guards against a lease that is not passed on after a graceful stop or
// an outage of the store, over HTTP with lost answers.
func TestKeeper(t *testing.T) {
	is := is.New(t)
	server, client := serve(t, 0)
	server.LoseAnswers(1)
	now := clock.NewManual(0) // a slow machine cannot make the lease lapse
	held, lost := make(chan ident.Epoch, 9), make(chan ident.Epoch, 9)
	run := func(self ident.NodeID) (context.CancelFunc, chan error) {
		timing := lease.Timing{TTLMillis: 3000, RenewMillis: 80, MarginMillis: 500, HeartbeatTimeoutMillis: 50, JitterPerNodeMillis: 10}
		k := &plat.Keeper{
			Store: client, Clock: now, Region: "attica",
			Lease:  &lease.Lease{Self: self, Timing: timing, Rand: rand.New(rand.NewPCG(1, 1)), FleetSize: 2},
			OnHold: func(e ident.Epoch) { held <- e }, OnLose: func(e ident.Epoch) { lost <- e },
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- k.Run(ctx) }()
		return cancel, done
	}
	// next moves the clock through silence and spread, and returns the next epoch.
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
		t.Fatal("the lease neither comes nor goes")
		return 0
	}
	stopFirst, first := run("n1")
	is.Equal(next(held), ident.Epoch(1))
	stopSecond, second := run("n2")
	stopFirst()
	is.NoErr(<-first)
	is.Equal(next(lost), ident.Epoch(1))
	is.Equal(next(held), ident.Epoch(2))
	server.SetDown(true)
	now.Advance(3000)
	is.Equal(next(lost), ident.Epoch(2)) // by its own clock
	server.SetDown(false)
	is.Equal(next(held), ident.Epoch(2)) // nobody took it meanwhile
	stopSecond()
	is.NoErr(<-second)
	row, err := client.ReadRow(context.Background(), lease.Key("attica"))
	is.NoErr(err)
	value, err := lease.DecodeRow(row.Value)
	is.NoErr(err)
	is.Equal(value.Holder, ident.NodeID("")) // released
}
