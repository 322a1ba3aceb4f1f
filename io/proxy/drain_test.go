package proxy

import (
	"bytes"
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

	"hickoryrail/core/result"
	"hickoryrail/core/stop"
	"hickoryrail/io/wire"
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

// TestDrainServesCallsOfRunningRequests guards against a drain that lets a request at the
// local target finish but refuses the calls that this request still makes, so that it
// fails although it was accepted.
func TestDrainServesCallsOfRunningRequests(t *testing.T) {
	is := is.New(t)
	local, remote := newFakeTarget(t), newFakeTarget(t)
	f := newFleet(t, 4, local, remote)
	in := newIngress(t, f)
	in.Gateway = f.gateways["node-0"]
	in.Dialect.RequestIDHeader = "X-Id"
	in.Dialect.ParentID = func(id []byte) []byte { return bytes.TrimSuffix(id, []byte(".call")) }
	parent := encode(wire.Call{Request: &wire.Request{
		ID: "parent-1", CallerID: "parent", Gate: gateIncarnation, Target: "target-0", Attempt: 1,
		RemainingMillis: 20000, Method: "POST", URI: []byte("/order/hold"), Body: []byte("held"),
	}})
	ended := make(chan []byte, 1)
	go func() { ended <- in.Gateway.OnCall(context.Background(), "other", parent) }()
	for local.open.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan error, 1)
	in.Gateway.DrainTarget()
	in.BeginDrain()
	go func() { drained <- in.Gateway.Drain(context.Background()) }()
	resp, body, err := send(&http.Client{}, in, "/check/echo", "call", "X-Id", "parent.call")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.Equal(body, "call")
	resp, _, err = send(&http.Client{}, in, "/check/echo", "other", "X-Id", "another.call")
	is.NoErr(err)
	is.Equal(resp.Header.Get(headerVerdict), "NotRun")
	close(local.release)
	is.NoErr(<-drained)
	a, err := wire.DecodeAnswer(<-ended, 1<<20)
	is.NoErr(err)
	is.Equal(a.Response.Verdict, result.Ran)
	is.NoErr(in.Drain(context.Background()))
}

// sendForVerdict sends a request and returns the channel that gets its verdict, or the error
// of a caller without an answer.
func sendForVerdict(in *Ingress, path, body string) <-chan string {
	verdict := make(chan string, 1)
	go func() {
		resp, _, err := send(&http.Client{}, in, path, body)
		if err != nil {
			verdict <- err.Error()
			return
		}
		verdict <- resp.Header.Get(headerVerdict)
	}()
	return verdict
}

// sendRunningAndWaiting sends a request that runs at a target with one slot until it is
// released, and one that waits at its gate.
func sendRunningAndWaiting(in *Ingress, target *fakeTarget, g *Gateway) map[string]<-chan string {
	verdicts := make(map[string]<-chan string)
	for i, body := range []string{"runs", "waits"} {
		verdicts[body] = sendForVerdict(in, "/order/hold", body)
		for int(target.open.Load())+g.Load().Queued <= i {
			time.Sleep(time.Millisecond)
		}
	}
	return verdicts
}

// TestEndOfDrainAnswersCallers guards against a stop that closes the connections of
// requests that outlast it, so that their callers learn nothing, and against a request
// that did not run and is not said so.
func TestEndOfDrainAnswersCallers(t *testing.T) {
	is := is.New(t)
	target := newFakeTarget(t)
	f := newFleet(t, 1, target)
	in := newIngress(t, f)
	in.Gateway = f.gateways["node-0"]
	in.Self = "node-0" // the target is that of the node that stops
	verdicts := sendRunningAndWaiting(in, target, in.Gateway)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.True(in.Drain(ctx) != nil)
	is.Equal(<-verdicts["runs"], "MayHaveRun")
	is.Equal(<-verdicts["waits"], "NotRun")
	is.Equal(target.runCount("waits"), 0)
}

// TestEndOfDrainSettlesRemoteCalls guards against a stop that says of a call which waits at
// the gate of another node that it may have run, so that its caller cannot send it again.
func TestEndOfDrainSettlesRemoteCalls(t *testing.T) {
	is := is.New(t)
	target := newFakeTarget(t)
	f := newFleet(t, 1, target)
	f.intercept = func(ctx context.Context, g *Gateway, body []byte) ([]byte, error) {
		answer := make(chan []byte, 1)
		go func() { answer <- g.OnCall(context.Background(), "ingress", bytes.Clone(body)) }()
		select {
		case a := <-answer:
			return a, nil
		case <-ctx.Done(): // as the transport does
			return nil, result.NewError(result.MayHaveRun, reasonGaveUp, ctx.Err())
		}
	}
	in := newIngress(t, f)
	verdicts := sendRunningAndWaiting(in, target, f.gateways["node-0"])
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.True(in.Drain(ctx) != nil)
	is.Equal(<-verdicts["runs"], "MayHaveRun")
	is.Equal(<-verdicts["waits"], "NotRun")
	is.Equal(target.runCount("waits"), 0)
	close(target.release)
}

// TestVoidDoesNotHoldStop guards against a request whose connection is cut at the end of a
// stop without an answer, because a void of it is in progress on a silent connection.
func TestVoidDoesNotHoldStop(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, newFakeTarget(t))
	voiding := make(chan struct{}, 8)
	f.intercept = func(context.Context, *Gateway, []byte) ([]byte, error) {
		return nil, result.NewError(result.MayHaveRun, "connection was lost", nil)
	}
	f.interceptFresh = func(ctx context.Context, _ *Gateway, _ []byte) ([]byte, error) {
		voiding <- struct{}{}
		<-ctx.Done()
		return nil, result.NewError(result.MayHaveRun, "deadline passed", ctx.Err())
	}
	in := newIngress(t, f)
	verdict := sendForVerdict(in, "/order/echo", "lost")
	<-voiding
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.True(in.Drain(ctx) != nil)
	is.Equal(<-verdict, "MayHaveRun")
}

// TestStopRefusesWhatDoesNotFit guards against a stopping node that accepts a request
// which it expects to outlast the stop.
func TestStopRefusesWhatDoesNotFit(t *testing.T) {
	is := is.New(t)
	target := newFakeTarget(t)
	in := newIngress(t, newFleet(t, 4, target))
	for range 100 {
		_, _, err := send(http.DefaultClient, in, "/order/slow?ms=20", "usual")
		is.NoErr(err)
	}
	in.BeginStop(stop.NewPlan(10, 5000, 0))
	resp, _, err := send(http.DefaultClient, in, "/order/echo", "fits")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	in.BeginStop(stop.NewPlan(10, 10, 0))
	resp, _, err = send(http.DefaultClient, in, "/order/echo", "does not fit")
	is.NoErr(err)
	is.Equal(resp.Header.Get(headerVerdict), "NotRun")
	is.Equal(target.runCount("does not fit"), 0)
}
