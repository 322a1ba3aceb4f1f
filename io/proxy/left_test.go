package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/result"
	"hickoryrail/core/retry"
	"hickoryrail/io/wire"
)

// requestTo returns an attempt with a body for the first target of a test fleet.
func requestTo(body string, idempotent bool) *wire.Request {
	return &wire.Request{
		ID: ident.RequestID(body), Gate: gateIncarnation, Target: "target-0", Attempt: 1, Idempotent: idempotent,
		RemainingMillis: 20 * clock.Second, Method: "POST", URI: []byte("/order/echo"), Body: []byte(body),
	}
}

// TestCallerLeftIsNotSentOn guards against a request that reaches a target after its
// caller has left, at each stage of its path, and against a verdict other than NotRun.
func TestCallerLeftIsNotSentOn(t *testing.T) {
	left, leave := context.WithCancel(context.Background())
	leave()
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprint("idempotent ", idempotent), func(t *testing.T) {
			is := is.New(t)
			target := newFakeTarget(t)
			f := newFleet(t, 4, target)
			in := newIngress(t, f)
			gate := f.gateways["node-0"]

			v := in.View()
			r, ok := v.Route("", map[bool]string{true: "/check/x", false: "/order/x"}[idempotent])
			is.True(ok)
			resp := in.forward(&call{
				ctx: left, view: v, route: r, timeout: clock.Second, deadline: in.Clock.Now() + clock.Second,
				id: "ingress", request: *requestTo("ingress", idempotent),
			})
			is.Equal(resp.Verdict, result.NotRun)

			resp = gate.Forward(left, requestTo("gate", idempotent))
			is.Equal(resp.Verdict, result.NotRun)
			is.Equal(resp.Reason, reasonGaveUp)

			now := gate.Clock.Now()
			_, err := gate.target.call(left, now, now+clock.Second, requestTo("target", idempotent))
			is.Equal(result.Of(err), result.NotRun)

			for _, body := range []string{"ingress", "gate", "target"} {
				is.Equal(target.runCount(body), 0)
			}
			is.Equal(gate.Load().Free, 4)
			is.Equal(gate.Forward(context.Background(), requestTo("present", idempotent)).Verdict, result.Ran)
		})
	}
}

// TestLeftCallerCostsNoRetry guards against a retry that takes from the budget although
// its caller has left during the attempt before it.
func TestLeftCallerCostsNoRetry(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4, newFakeTarget(t), newFakeTarget(t))
	in := newIngress(t, f)
	in.Policy = &retry.Policy{
		WindowBudget: &retry.WindowBudget{Fixed: 2, WindowMillis: clock.Minute, Nodes: 1}, Rand: rand.New(rand.NewPCG(1, 2)),
	}
	ctx, leave := context.WithCancel(context.Background())
	attempts := 0
	f.intercept = func(context.Context, *Gateway, []byte) ([]byte, error) {
		attempts++
		leave()
		return nil, result.NewError(result.MayHaveRun, "connection lost", nil)
	}
	v := in.View()
	r, _ := v.Route("", "/check/x")
	resp := in.forward(&call{
		ctx: ctx, view: v, route: r, timeout: clock.Second, deadline: in.Clock.Now() + clock.Second,
		id: "left", request: *requestTo("left", true),
	})
	is.Equal(resp.Verdict, result.MayHaveRun)
	is.Equal(attempts, 1)
	is.True(in.Policy.WindowBudget.Take(in.Clock.Now(), "shop"))
}

// TestLeftAfterFailureIsNotRefused guards against the verdict NotRun for a request that
// ran and failed, when its caller leaves before the retry.
func TestLeftAfterFailureIsNotRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4, newFakeTarget(t), newFakeTarget(t))
	in := newIngress(t, f)
	in.Policy = &retry.Policy{
		WindowBudget: &retry.WindowBudget{Fixed: 9, WindowMillis: clock.Minute, Nodes: 1}, RetryFailures: true,
		BaseBackoffMillis: 100, Rand: rand.New(rand.NewPCG(1, 2)),
	}
	ctx, leave := context.WithCancel(context.Background())
	f.intercept = func(context.Context, *Gateway, []byte) ([]byte, error) {
		time.AfterFunc(20*time.Millisecond, leave) // during the backoff
		return encode(wire.Answer{Response: &wire.Response{Verdict: result.Ran, Status: 500}}), nil
	}
	v := in.View()
	r, _ := v.Route("", "/check/x")
	resp := in.forward(&call{
		ctx: ctx, view: v, route: r, timeout: clock.Second, deadline: in.Clock.Now() + clock.Second,
		id: "failed", request: *requestTo("failed", true),
	})
	is.True(ctx.Err() != nil)
	is.Equal(resp.Verdict, result.Ran)
	is.Equal(resp.Status, 500)
}
