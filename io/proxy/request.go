package proxy

import (
	"context"
	"net"
	"net/netip"
	"strconv"

	"github.com/valyala/fasthttp"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/view"
	"hickoryrail/io/wire"
)

// newCall routes a request and copies it. It returns the refusal of a request
// that cannot be routed.
func (in *Ingress) newCall(caller context.Context, ctx *fasthttp.RequestCtx, now clock.Millis) (*call, *wire.Response) {
	left, ok := timeoutOf(ctx.Request.Header.Peek(in.Dialect.Timeout), model.MaxTimeoutMillis)
	if !ok {
		return nil, notRun(reasonTimeout)
	}
	v := in.awaitView(caller, now, left)
	if v == nil {
		return nil, notRun(reasonNoView)
	}
	r, uri, refusal := routeOf(v, ctx)
	if refusal != nil {
		return nil, refusal
	}
	timeout := min(left, r.TimeoutMillis)
	if len(ctx.Request.Header.Peek(headerKey)) > maxKeyBytes {
		return nil, notRun(reasonKeyLength)
	}
	h := &ctx.Request.Header
	in.mu.Lock()
	r.Service = in.split.Next(&r)
	waited := in.patience.Observe(now, r.Name, left)
	in.mu.Unlock()
	c := &call{
		ctx: caller, view: v, route: r, began: now - waited, timeout: timeout, deadline: now + timeout, id: in.nextID(),
		request: wire.Request{
			Route: r.Name, Class: r.Class, Idempotent: r.Idempotent,
			HasGoal: r.GoalMillis > 0,
			Method:  string(h.Method()), URI: append([]byte(nil), uri...),
			Headers: copyHeaders(h.All(), h.Peek("Connection"), &in.Dialect),
			Body:    append([]byte(nil), ctx.Request.Body()...),
		},
	}
	var id []byte
	if in.Dialect.Request != "" {
		id = h.Peek(in.Dialect.Request)
	}
	if len(id) > 0 && len(id) <= maxCallerIDBytes {
		c.id = string(id) + "." + c.id
		c.request.CallerID = ident.RequestID(id)
	}
	c.request.Rank, c.repeated = in.rankOf(id, &r)
	if in.Dialect.Origin != "" {
		c.request.Headers.Append([]byte(in.Dialect.Origin), []byte(in.Service))
	}
	if !c.request.Forwardable() {
		return nil, notRun(reasonRequest)
	}
	return c, nil
}

// routeOf returns the route and the URI to forward. A path that another route
// matches once it is normalized is refused: the target could take it for the
// other one, whose rules on retries differ.
func routeOf(v *view.View, ctx *fasthttp.RequestCtx) (model.Route, []byte, *wire.Response) {
	uri := ctx.Request.Header.RequestURI()
	if len(uri) == 0 || uri[0] != '/' {
		uri = ctx.URI().RequestURI() // absolute form
	}
	path, normal := string(pathOf(uri)), string(ctx.Path())
	host := string(ctx.Request.Header.Host())
	r, ok := v.Route(host, path)
	if path != normal {
		if other, found := v.Route(host, normal); found != ok || other.Name != r.Name {
			return model.Route{}, nil, notRun(reasonPath)
		}
	}
	if !ok {
		return model.Route{}, nil, notRun(reasonNoRoute)
	}
	return r, uri, nil
}

// pathOf returns the path of an origin-form URI.
func pathOf(uri []byte) []byte {
	for i, c := range uri {
		if c == '?' || c == '#' {
			return uri[:i]
		}
	}
	return uri
}

// timeoutOf returns the smaller of the caller's and the route's timeout. It
// returns false for a header that is not a positive number.
func timeoutOf(header []byte, limit clock.Millis) (clock.Millis, bool) {
	if len(header) == 0 {
		return limit, true
	}
	millis, err := strconv.ParseFloat(string(header), 64)
	if err != nil || !(millis > 0) {
		return 0, false
	}
	return min(clock.Millis(millis), limit), true
}

// nextID returns an id that no other request of any node has.
func (in *Ingress) nextID() string {
	return in.prefix + strconv.FormatUint(in.sequence.Add(1), 36)
}

// callerOf returns the caller's IP address.
func callerOf(ctx *fasthttp.RequestCtx) netip.Addr {
	address, ok := ctx.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{} // the listener accepts TCP only
	}
	return address.AddrPort().Addr().Unmap()
}

// rankOf returns the urgency of a request: first the calls that a request running at
// the target beside the node makes and waits for, then the classes in order.
// The second result says that the request that makes the call was sent again.
func (in *Ingress) rankOf(id []byte, r *model.Route) (admit.Rank, bool) {
	if in.Gateway != nil && in.Dialect.Parent != nil {
		running, repeated := in.Gateway.Runs(ident.RequestID(in.Dialect.Parent(id)))
		if running {
			return admit.InnerRank, repeated
		}
	}
	return admit.InnerRank + 1 + admit.Rank(r.Class), false
}
