package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"hickoryrail/core/result"
	"hickoryrail/io/target"
)

// callTimeout bounds one call of a caller; it exceeds the timeout of every route.
const callTimeout = 5 * time.Second

// verdictHeader is the response header that indicates whether a request may have run.
const verdictHeader = "Hickoryrail-Verdict"

// Callers is a group of callers that send calls to the nodes.
type Callers struct {
	// Addresses are the addresses at which the nodes accept callers.
	Addresses []string
	// Count is the number of callers, each with one call at a time.
	Count int
	// Pause is the time between the calls of one caller.
	Pause time.Duration
	// MaxCalls bounds the calls of one caller.
	MaxCalls int
	// Ledger records the calls.
	Ledger *Ledger
}

// Run sends calls until ctx ends or each caller has made MaxCalls calls. It waits for the
// calls in flight.
func (c *Callers) Run(ctx context.Context) {
	var wg conc.WaitGroup
	for i := range c.Count {
		wg.Go(func() { c.runCaller(ctx, i) })
	}
	wg.Wait()
}

// runCaller sends the calls of caller i, two actions for each check.
func (c *Callers) runCaller(ctx context.Context, i int) {
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	for n := range c.MaxCalls {
		if ctx.Err() != nil {
			return
		}
		address := c.Addresses[(i+n)%len(c.Addresses)]
		action := fmt.Sprintf("caller-%d-call-%d", i, n)
		if n%3 == 0 {
			c.call(client, fasthttp.MethodGet, address, "/catalogue/items", action)
		} else {
			c.call(client, fasthttp.MethodPost, address, "/orders", action)
		}
		time.Sleep(c.Pause)
	}
}

// call sends one call and records its outcome. Only actions are compared with the runs
// that the targets count, since a retried check may run more than once.
func (c *Callers) call(client *fasthttp.Client, method, address, path, action string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetMethod(method)
	outcome := Call{}
	if method == fasthttp.MethodPost {
		outcome.Action = action
		request.Header.Set(target.ActionHeader, action)
		request.SetBodyString(action)
	}
	err := client.DoTimeout(request, response, callTimeout)
	if err != nil {
		outcome.Verdict = result.MayHaveRun
		c.Ledger.Add(outcome)
		return
	}
	outcome.Verdict, _ = result.ParseVerdict(string(response.Header.Peek(verdictHeader)))
	outcome.Answered = outcome.Verdict == result.Ran
	outcome.Crossed = outcome.Answered && method == fasthttp.MethodPost && string(response.Body()) != action
	c.Ledger.Add(outcome)
}
