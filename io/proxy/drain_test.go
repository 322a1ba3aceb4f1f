package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDrainCutsNoRequest guards against a stop that interrupts a request in flight,
// or that closes a connection on which a request has arrived without a response to
// it.
func TestDrainCutsNoRequest(t *testing.T) {
	is := is.New(t)
	target := newFakeTarget(t)
	in := newIngress(t, newFleet(t, 64, target))
	const workers = 16
	var ran atomic.Int64
	var warm, group sync.WaitGroup
	warm.Add(workers)
	for w := range workers {
		group.Go(func() {
			c := &http.Client{Transport: &http.Transport{}}
			defer c.CloseIdleConnections()
			for i := 0; ; i++ {
				if i == 10 {
					warm.Done()
				}
				body := fmt.Sprint(w, " ", i)
				resp, got, err := send(c, in, "/order/slow?ms=2", body)
				switch {
				case errors.Is(err, syscall.ECONNREFUSED):
					return
				case err != nil:
					t.Errorf("request was cut: %v", err)
					return
				case resp.Header.Get(headerVerdict) == "NotRun":
					if target.runCount(body) != 0 {
						t.Errorf("refused request ran")
					}
					return
				case got != body:
					t.Errorf("got %q", got)
				}
				ran.Add(1)
				time.Sleep(time.Duration(w) * time.Millisecond) // the connection is idle
			}
		})
	}
	warm.Wait()
	is.NoErr(in.Drain(context.Background()))
	group.Wait()
	target.mu.Lock()
	defer target.mu.Unlock()
	is.Equal(int64(len(target.runs)), ran.Load()) // every request that ran was answered
}

// TestGatewayDrainFinishesCalls guards against a drain that interrupts running calls
// or ends before them, starts waiting calls, or admits new ones.
func TestGatewayDrainFinishesCalls(t *testing.T) {
	is := is.New(t)
	target := newFakeTarget(t)
	f := newFleet(t, 2, target)
	in := newIngress(t, f)
	g := f.gateways["node-0"]
	verdicts := make(chan string, 8)
	for i := range 4 {
		go func() {
			resp, _, err := send(http.DefaultClient, in, "/order/hold", fmt.Sprint("held ", i))
			if err != nil {
				verdicts <- err.Error()
				return
			}
			verdicts <- resp.Header.Get(headerVerdict)
		}()
	}
	for g.Load().Queued < 2 || target.open.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan error, 1)
	go func() { drained <- g.Drain(context.Background()) }()
	is.Equal(<-verdicts, "NotRun") // the two waiting calls
	is.Equal(<-verdicts, "NotRun")
	resp, _, err := send(http.DefaultClient, in, "/order/echo", "new")
	is.NoErr(err)
	is.Equal(resp.Header.Get(headerVerdict), "NotRun")
	select {
	case <-drained:
		t.Fatal("drain ended while calls run")
	default:
	}
	close(target.release)
	is.Equal(<-verdicts, "Ran")
	is.Equal(<-verdicts, "Ran")
	is.NoErr(<-drained)
	is.Equal(target.maxOpen, int64(2)) // read without mu, since the last handler has returned
	is.Equal(g.Announce(Announcement{Target: "target-0", Address: target.address, Slots: 2, Connections: 2}), ErrDraining)
}
