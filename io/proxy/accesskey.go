package proxy

import (
	"bytes"
	"context"

	"github.com/valyala/fasthttp"

	"hickoryrail/core/clock"
	"hickoryrail/core/model"
	"hickoryrail/core/view"
	"hickoryrail/io/wire"
)

const (
	// headerAuthorization carries the caller's access key (RFC 9110, 11.6.2).
	headerAuthorization = "Authorization"
	// headerChallenge names the scheme that a request without a valid key must use.
	headerChallenge = "WWW-Authenticate"
	// bearerScheme is the scheme of access keys (RFC 6750, 2.1); its case has no meaning.
	bearerScheme = "Bearer"
	// challenge is the value of headerChallenge.
	challenge = `Bearer realm="hickoryrail"`
)

// Reasons of requests that are rejected because of their team.
const (
	reasonNoKey        = "request has no access key"
	reasonMalformedKey = "Authorization is not one access key"
	reasonUnknownKey   = "access key is unknown"
	reasonStale        = "configuration is not known to be the newest"
	// ReasonCap is the reason of a request beyond its team's usage cap.
	ReasonCap = "team is beyond its usage cap"
)

// rejectionLabels holds the metric's label of each reason above.
var rejectionLabels = map[string]string{
	reasonNoKey:        "no-key",
	reasonMalformedKey: "malformed-key",
	reasonUnknownKey:   "unknown-key",
	reasonStale:        "stale-configuration",
	ReasonCap:          "usage-cap",
}

// rejected returns the outcome of a request that is rejected because of its team. A
// retryAfter of 0 stands for the dialect's.
func rejected(reason string, retryAfter clock.Millis) *wire.Response {
	resp := notRun(reason)
	resp.RetryAfterMillis = retryAfter
	return resp
}

// admission is what decides on a request: a view, the route there and the caller's team.
type admission struct {
	view   *view.View
	route  model.Route
	target requestTarget
	team   *model.Team
}

// admit decides on a request by the current view, which was v. It returns a refusal for a
// request that is not admitted; the route is then set if it is known. After the start it
// waits for the first proof: a node that has just started gets one soon, and its callers
// would use up their retries.
func (in *Ingress) admit(callerCtx context.Context, ctx *fasthttp.RequestCtx, v *view.View, now, timeout clock.Millis) (admission, *wire.Response) {
	for {
		current, stale := in.provenView(v)
		r, target, refusal := routeOf(current, ctx)
		a := admission{view: current, route: r, target: target}
		if refusal != nil {
			return a, refusal
		}
		a.team, refusal = teamOf(current, &r, &ctx.Request.Header, stale)
		if refusal == nil || refusal.Reason != reasonStale || !in.awaitProof(callerCtx, now, timeout) {
			return a, refusal
		}
	}
}

// provenView returns the view that decides on a request with an access key, and the
// rejection of such requests if Freshness does not vouch for it. Freshness is asked before
// the view is loaded: in the other order the proof could be that of a later release, which
// arrives in between.
func (in *Ingress) provenView(v *view.View) (*view.View, *wire.Response) {
	if in.Freshness == nil || !v.HasTeams() {
		return v, nil
	}
	retryAfter, ok := in.Freshness.Check()
	v = in.view.Load()
	if ok {
		return v, nil
	}
	return v, rejected(reasonStale, retryAfter)
}

// teamOf returns the team of a request to route r, or a rejection. The team is nil for a
// request without a key to an anonymous route, and in a configuration without teams. A
// request with a key is rejected while stale is set, also on an anonymous route: its key
// may have been revoked.
func teamOf(v *view.View, r *model.Route, h *fasthttp.RequestHeader, stale *wire.Response) (*model.Team, *wire.Response) {
	if !v.HasTeams() {
		return nil, nil
	}
	credentials := h.PeekAll(headerAuthorization)
	if len(credentials) == 0 && r.Anonymous {
		return nil, nil
	}
	if stale != nil {
		return nil, stale
	}
	if len(credentials) == 0 {
		return nil, rejected(reasonNoKey, 0)
	}
	key, ok := bearerKey(credentials[0])
	if !ok || len(credentials) > 1 {
		return nil, rejected(reasonMalformedKey, 0)
	}
	t := v.Team(model.DigestKey(key))
	if t == nil {
		return nil, rejected(reasonUnknownKey, 0)
	}
	return t, nil
}

// bearerKey returns the access key in the value of an Authorization field. A key consists
// of visible bytes only, so that a list of several credentials has none.
func bearerKey(value []byte) ([]byte, bool) {
	scheme, rest, found := bytes.Cut(value, []byte{' '})
	if !found || !bytes.EqualFold(scheme, []byte(bearerScheme)) {
		return nil, false
	}
	key := bytes.Trim(rest, " ")
	for _, c := range key {
		if c <= ' ' || c == 0x7f {
			return nil, false
		}
	}
	return key, len(key) > 0
}

// classOf returns the class that a request's rank derives from: that of its team, if the
// team has one, goes before that of the route.
func classOf(t *model.Team, r *model.Route) model.Class {
	if t != nil && t.HasClass {
		return t.Class
	}
	return r.Class
}

// takeCap counts a call against its team's usage cap. It returns a rejection if the call
// is beyond the cap.
func (in *Ingress) takeCap(c *call) *wire.Response {
	if in.Caps == nil || c.team == nil || !c.team.Capped() {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, (c.deadline - in.Clock.Now()).Duration())
	defer cancel()
	retryAfter, ok := in.Caps.Take(ctx, c.team)
	if !ok {
		return rejected(ReasonCap, retryAfter)
	}
	c.counted = true
	return nil
}

// returnCap takes back the count of a call that has reached no target.
func (in *Ingress) returnCap(c *call) {
	if c.counted && c.state.Arrivals == 0 {
		in.Caps.Return(c.team.Name)
	}
}
