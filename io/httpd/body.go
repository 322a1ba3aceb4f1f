package httpd

import (
	"context"

	"github.com/valyala/fasthttp"

	"hickoryrail/core/ident"
	"hickoryrail/io/mem"
)

// chunked is the value by which fasthttp's ContentLength reports a body in chunks.
const chunked = -1

// readBody reads the body of a request once there is memory for it. Until then the caller is
// not read from, so that its writes wait.
func (c *connection) readBody(ex *exchange, b Bounds) error {
	length := ex.rc.Request.Header.ContentLength()
	if b.BodyBytes > 0 && length > int(b.BodyBytes) {
		return fasthttp.ErrBodyTooLarge // the final response, in place of an interim one
	}
	ctx := c.server.ctx
	if length == chunked || length > 0 {
		var cancel context.CancelFunc
		ctx, cancel = c.roomContext(ex, b)
		defer cancel()
	}
	if err := ex.lease.Request.Take(ctx, mem.Copies*ident.Bytes(max(length, 0))); err != nil {
		return err
	}
	if ex.rc.Request.MayContinue() && ex.rc.Request.Header.IsHTTP11() {
		c.sendContinue()
	}
	c.setReadDeadline(b.BodyMillis)
	if length != chunked {
		return ex.rc.Request.ContinueReadBody(c.reader, int(b.BodyBytes), false)
	}
	c.metered.Start(ctx, ex.lease.Request)
	err := ex.rc.Request.ContinueReadBody(c.reader, int(b.BodyBytes), false)
	if noRoom := c.metered.Stop(); noRoom != nil {
		return noRoom // err need not wrap it
	}
	return err
}

// roomContext returns a context that ends when a request has waited for memory long enough.
func (c *connection) roomContext(ex *exchange, b Bounds) (context.Context, context.CancelFunc) {
	wait := b.BodyMillis
	if c.server.RoomMillis != nil {
		wait = c.server.RoomMillis(ex.rc)
	}
	if wait <= 0 {
		return c.server.ctx, func() {}
	}
	return context.WithTimeout(c.server.ctx, wait.Duration())
}
