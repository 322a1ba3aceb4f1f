package proxy

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"

	"hickoryrail/core/clock"
	"hickoryrail/core/result"
	"hickoryrail/io/mem"
	"hickoryrail/io/wire"
)

// reply writes the outcome to ctx and counts it. The response body is not copied,
// which is safe because resp is never reused.
func (in *Ingress) reply(ctx *fasthttp.RequestCtx, resp *wire.Response, arrived clock.Millis) {
	h := &ctx.Response.Header
	if resp.Verdict == result.Ran {
		ctx.SetStatusCode(resp.Status)
		for name, value := range resp.Headers.All() {
			h.AddBytesKV(name, value)
		}
		ctx.Response.SetBodyRaw(resp.Body)
		if ctx.IsHead() && resp.ContentLength > 0 {
			ctx.Response.SkipBody = true
			h.SetContentLength(resp.ContentLength)
		}
	} else {
		status := statusOf(resp)
		retryAfter := clock.Millis(-1)
		if in.Dialect.ErrorStatus != nil {
			status, retryAfter = in.Dialect.ErrorStatus(resp.Verdict, status, resp.Reason)
		}
		if resp.RetryAfterMillis > 0 {
			retryAfter = resp.RetryAfterMillis
		}
		if retryAfter >= 0 {
			h.Set("Retry-After", in.Dialect.FormatRetryAfter(retryAfter))
		}
		if status == fasthttp.StatusUnauthorized {
			h.Set(headerChallenge, challenge)
		}
		ctx.SetStatusCode(status)
		h.SetContentType("text/plain; charset=utf-8")
		ctx.Response.SetBodyString(resp.Reason + "\n")
	}
	if !in.Dialect.OmitVerdictHeaders {
		h.Set(headerVerdict, resp.Verdict.String())
		if resp.Reason != "" {
			h.Set(headerReason, resp.Reason)
		}
	}
	in.metrics.verdicts[resp.Verdict].Inc()
	in.metrics.delay.Observe((in.Clock.Now() - arrived).Duration().Seconds())
}

// replyMalformed responds to a request that fasthttp could not read; it has no other
// effect. The connection is then closed, since the start of its next request is
// unknown.
func (in *Ingress) replyMalformed(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	reason := reasonRequest
	switch {
	case errors.As(err, &small):
		reason = reasonHeader
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		reason = reasonBody
	case errors.Is(err, mem.ErrNoRoom):
		reason = reasonNoMemory
	case errors.As(err, &timeout) && timeout.Timeout():
		reason = reasonSlowBody
	}
	ctx.Response.Reset()
	in.metrics.refused.Inc()
	in.reply(ctx, notRun(reason), in.Clock.Now())
}

// notRun returns the outcome of a request that was refused.
func notRun(reason string) *wire.Response {
	return &wire.Response{Verdict: result.NotRun, Reason: reason}
}
