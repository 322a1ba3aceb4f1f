package proxy

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"hickoryrail/core/model"
	"hickoryrail/core/view"
	"hickoryrail/io/wire"
)

// requestTarget is the target of a request line in origin form, and the host that it is for.
type requestTarget struct {
	host, uri []byte
}

// parseRequestTarget returns the target of a request line that is in origin form or in
// absolute form, with the host of the Host field or of the authority (RFC 9112, section
// 3.2). The path and the query are those that the caller sent. It returns false for the
// other forms, and for a target with a fragment, which no request line has.
func parseRequestTarget(line, host []byte) (requestTarget, bool) {
	if bytes.IndexByte(line, '#') >= 0 {
		return requestTarget{}, false
	}
	if len(line) > 0 && line[0] == '/' {
		return requestTarget{host: host, uri: line}, true
	}
	scheme, rest, found := bytes.Cut(line, []byte("://"))
	if !found || !bytes.EqualFold(scheme, []byte("http")) && !bytes.EqualFold(scheme, []byte("https")) {
		return requestTarget{}, false
	}
	end := bytes.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	authority, uri := rest[:end], rest[end:]
	if len(authority) == 0 || bytes.ContainsAny(authority, "@\\") {
		return requestTarget{}, false
	}
	if len(uri) == 0 || uri[0] == '?' {
		uri = append([]byte{'/'}, uri...)
	}
	return requestTarget{host: authority, uri: uri}, true
}

// path returns the path of the target as it was sent.
func (t requestTarget) path() []byte {
	path, _, _ := bytes.Cut(t.uri, []byte{'?'})
	return path
}

// normalizedPath returns the path decoded, without empty and dot segments.
func (t requestTarget) normalizedPath() string {
	var u fasthttp.URI
	u.SetPathBytes(t.path())
	return string(u.Path())
}

// routeOf returns the route and the target to forward. It refuses a path whose
// normalized form matches another route: the target might handle the request by that
// form, under the other route, whose retry rules differ.
func routeOf(v *view.View, ctx *fasthttp.RequestCtx) (model.Route, requestTarget, *wire.Response) {
	t, ok := parseRequestTarget(ctx.Request.Header.RequestURI(), ctx.Request.Header.Host())
	if !ok {
		return model.Route{}, t, notRun(reasonTarget)
	}
	path, host := string(t.path()), string(t.host)
	r, ok := v.Route(host, path)
	if normalized := t.normalizedPath(); path != normalized {
		if other, found := v.Route(host, normalized); found != ok || other.Name != r.Name {
			return model.Route{}, t, notRun(reasonPath)
		}
	}
	if !ok {
		return model.Route{}, t, notRun(reasonNoRoute)
	}
	return r, t, nil
}
