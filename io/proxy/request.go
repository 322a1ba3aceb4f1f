package proxy

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"strconv"

	"github.com/valyala/fasthttp"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/io/wire"
)

// newCall routes a request, finds its team and copies it. For a request that cannot be
// routed or is not admitted it returns the refusal instead, and a call with the route if
// that is known.
func (in *Ingress) newCall(callerCtx context.Context, ctx *fasthttp.RequestCtx, now clock.Millis) (*call, *wire.Response) {
	left, ok := timeoutOf(ctx.Request.Header.Peek(in.Dialect.TimeoutHeader), model.MaxTimeoutMillis)
	if !ok {
		return nil, notRun(reasonTimeout)
	}
	v := in.awaitView(callerCtx, now, left)
	if v == nil {
		return nil, notRun(reasonNoView)
	}
	a, refusal := in.admit(callerCtx, ctx, v, now, left)
	if refusal != nil {
		return &call{route: a.route}, refusal
	}
	v, r, target, team := a.view, a.route, a.target, a.team
	ctx.Request.Header.SetHostBytes(target.host) // the authority of an absolute target counts
	timeout := min(left, r.TimeoutMillis)
	if in.Store != nil && len(ctx.Request.Header.Peek(headerIdempotencyKey)) > maxKeyBytes {
		return nil, notRun(reasonKeyLength)
	}
	h := &ctx.Request.Header
	in.mu.Lock()
	r.Service = in.split.Next(&r)
	waited := in.waitEstimator.Observe(now, r.Name, left)
	in.mu.Unlock()
	c := &call{
		ctx: callerCtx, view: v, route: r, team: team, firstTriedAt: now - waited, timeout: timeout, deadline: now + timeout, id: in.nextID(),
		callerDeadline: now + left,
		request: wire.Request{
			Route: r.Name, Class: r.Class, Idempotent: r.Idempotent,
			HasGoal: r.GoalMillis > 0,
			Method:  string(h.Method()), URI: bytes.Clone(target.uri),
			Headers: in.Dialect.copyRequestHeaders(h, v.HasTeams()),
			Body:    ctx.Request.SwapBody(nil), // the server does not use the request again
		},
	}
	var id []byte
	if in.Dialect.RequestIDHeader != "" {
		id = h.Peek(in.Dialect.RequestIDHeader)
	}
	if len(id) > 0 && len(id) <= maxCallerIDBytes {
		c.id = string(id) + "." + c.id
		c.request.CallerID = ident.RequestID(id)
	}
	c.request.Rank, c.parentRepeated = in.rankOf(id, classOf(team, &r))
	if team != nil {
		c.request.Headers.Append([]byte(in.Dialect.TeamHeader), []byte(team.Name))
	}
	if in.Dialect.OriginHeader != "" {
		c.request.Headers.Append([]byte(in.Dialect.OriginHeader), []byte(in.Service))
	}
	if !c.request.Forwardable() {
		return nil, notRun(reasonRequest)
	}
	return c, nil
}

// timeoutOf returns the timeout that the header states, but at most limit; without a
// header it returns limit. The second result is false for a header that is not a
// positive number.
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
	return in.idPrefix + strconv.FormatUint(in.sequence.Add(1), 36)
}

// callerIP returns the caller's IP address.
func callerIP(ctx *fasthttp.RequestCtx) netip.Addr {
	address, ok := ctx.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{} // the listener accepts TCP only
	}
	return address.AddrPort().Addr().Unmap()
}

// rankOf returns the rank of a request with an id, which is of a class unless a request
// that runs at the local target makes it. The second result reports whether that request
// is a repeated one.
func (in *Ingress) rankOf(id []byte, class model.Class) (admit.Rank, bool) {
	if parent, ok := in.parent(id); ok {
		return parent.Rank.Inner(), parent.Repeated
	}
	return admit.NewRank(class), false
}

// parent returns the request on whose behalf the request with an id is made; false if
// none runs at the local target.
func (in *Ingress) parent(id []byte) (*wire.Request, bool) {
	if in.Gateway == nil || in.Dialect.ParentID == nil {
		return nil, false
	}
	return in.Gateway.Running(ident.RequestID(in.Dialect.ParentID(id)))
}
