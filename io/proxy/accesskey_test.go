package proxy

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/view"
	"hickoryrail/io/wire"
)

type (
	// fakeFreshness is a Freshness with a fixed answer. check, if set, runs first.
	fakeFreshness struct {
		retryAfter clock.Millis
		check      func()
	}

	// fakeCaps is a Caps that admits requests while left is above 0, and counts.
	fakeCaps struct {
		left            int
		taken, returned []ident.TeamName
	}
)

func (f *fakeFreshness) Check() (clock.Millis, bool) {
	if f.check != nil {
		f.check()
	}
	return f.retryAfter, f.retryAfter == 0
}

func (c *fakeCaps) Take(_ context.Context, t *model.Team) (clock.Millis, bool) {
	c.taken = append(c.taken, t.Name)
	c.left--
	return 250, c.left >= 0
}

func (c *fakeCaps) Return(team ident.TeamName) {
	c.returned = append(c.returned, team)
}

// init fixes rapid's seed, so that every run tries the same cases. A -rapid.seed
// on the command line takes precedence.
func init() {
	if err := errors.Join(flag.Set("rapid.seed", "20261206"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
}

// teamRules returns rules whose routes /check and /browse need a key while /order is
// anonymous, with the teams north, which has the key n-key and the class Browse, and south,
// which has the keys s-1 and s-2 and a cap.
func teamRules() model.Configuration {
	c := configuration(4)
	for i := range c.Rules.Routes {
		c.Rules.Routes[i].Anonymous = c.Rules.Routes[i].Name == "order"
	}
	key := func(text string) model.KeyDigest { return model.DigestKey([]byte(text)) }
	c.Rules.Teams = []model.Team{
		{Name: "north", Keys: []model.KeyDigest{key("n-key")}, HasClass: true, Class: model.Browse},
		{Name: "south", Keys: []model.KeyDigest{key("s-1"), key("s-2")}, RequestsPerSecond: 5},
	}
	return c
}

// viewOf returns the view of a configuration without targets.
func viewOf(t rapid.TB, v ident.Version, c model.Configuration) *view.View {
	t.Helper()
	r, err := model.NewRelease(v, "e", c)
	if err != nil {
		t.Fatal(err)
	}
	return view.Build(r, nil)
}

// newTeamIngress returns an ingress without a listener for decisions on requests.
func newTeamIngress(t rapid.TB, c model.Configuration) *Ingress {
	t.Helper()
	in := &Ingress{Clock: clock.NewSystem(), Dialect: customDialect().withDefaults(), openedAt: -clock.Minute}
	in.Dialect.TeamHeader = "Team-Of"
	if err := in.metrics.register(nil); err != nil {
		t.Fatal(err)
	}
	in.view.Store(viewOf(t, 1, c))
	return in
}

// requestWith returns a request for path with header fields, given as names and values.
func requestWith(path string, fields ...string) *fasthttp.RequestCtx {
	var r fasthttp.Request
	r.SetRequestURI(path)
	r.Header.SetMethod("GET")
	for i := 0; i+1 < len(fields); i += 2 {
		r.Header.Add(fields[i], fields[i+1])
	}
	var ctx fasthttp.RequestCtx
	ctx.Init(&r, nil, nil)
	return &ctx
}

// decideOn returns the call of a request, or the reason of its refusal.
func decideOn(in *Ingress, path string, fields ...string) (*call, string) {
	c, refusal := in.newCall(context.Background(), requestWith(path, fields...), in.Clock.Now())
	if refusal == nil {
		refusal = in.takeCap(c)
	}
	if refusal != nil {
		return nil, refusal.Reason
	}
	return c, ""
}

// TestAccessKeys guards against a request that is admitted without the one key of a team
// that it needs, or that is counted for another team, and against a valid one that is
// refused.
func TestAccessKeys(t *testing.T) {
	const authorization = "Authorization"
	for name, c := range map[string]struct {
		fields []string
		team   ident.TeamName
		reason string
		// served is set if the request is served on an anonymous route.
		served bool
	}{
		"no key":               {nil, "", reasonNoKey, true},
		"key":                  {[]string{authorization, "Bearer n-key"}, "north", "", true},
		"another key":          {[]string{authorization, "bearer  s-2 "}, "south", "", true},
		"lower-case name":      {[]string{"authorization", "BEARER s-1"}, "south", "", true},
		"unknown key":          {[]string{authorization, "Bearer x-key"}, "", reasonUnknownKey, false},
		"key in other case":    {[]string{authorization, "Bearer N-key"}, "", reasonUnknownKey, false},
		"start of a key":       {[]string{authorization, "Bearer n-ke"}, "", reasonUnknownKey, false},
		"empty field":          {[]string{authorization, ""}, "", reasonMalformedKey, false},
		"scheme only":          {[]string{authorization, "Bearer"}, "", reasonMalformedKey, false},
		"scheme and space":     {[]string{authorization, "Bearer "}, "", reasonMalformedKey, false},
		"key only":             {[]string{authorization, "n-key"}, "", reasonMalformedKey, false},
		"another scheme":       {[]string{authorization, "Basic n-key"}, "", reasonMalformedKey, false},
		"longer scheme":        {[]string{authorization, "BearerX n-key"}, "", reasonMalformedKey, false},
		"tab as a separator":   {[]string{authorization, "Bearer\tn-key"}, "", reasonMalformedKey, false},
		"two keys in a field":  {[]string{authorization, "Bearer n-key s-1"}, "", reasonMalformedKey, false},
		"list of credentials":  {[]string{authorization, "Bearer n-key, Bearer s-1"}, "", reasonMalformedKey, false},
		"two fields":           {[]string{authorization, "Bearer n-key", authorization, "Bearer s-1"}, "", reasonMalformedKey, false},
		"same field twice":     {[]string{authorization, "Bearer n-key", authorization, "Bearer n-key"}, "", reasonMalformedKey, false},
		"empty second field":   {[]string{authorization, "Bearer n-key", "authorization", ""}, "", reasonMalformedKey, false},
		"key in another field": {[]string{"Proxy-Authorization", "Bearer n-key"}, "", reasonNoKey, true},
		"team's name":          {[]string{"Team-Of", "north"}, "", reasonNoKey, true},
		"forged parent":        {[]string{"Call", "parent.call"}, "", reasonNoKey, true},
		"dropped by the list":  {[]string{authorization, "Bearer n-key", "Connection", "Authorization"}, "north", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := newTeamIngress(t, teamRules())
			in.Gateway = &Gateway{Clock: in.Clock, Dialect: in.Dialect}
			in.Dialect.ParentID = func(id []byte) []byte { return bytes.TrimSuffix(id, []byte(".call")) }
			for path, anonymous := range map[string]bool{"/check/x": false, "/order/x": true} {
				got, reason := decideOn(in, path, c.fields...)
				if anonymous && c.served {
					is.Equal(reason, "")
				} else {
					is.Equal(reason, c.reason)
				}
				if reason != "" {
					is.Equal(statusOf(notRun(reason)), fasthttp.StatusUnauthorized)
					continue
				}
				is.Equal(got.team != nil, c.team != "")
				is.Equal(string(got.request.Headers.Get("Team-Of")), string(c.team))
				is.Equal(len(got.request.Headers.Get(authorization)), 0)
			}
		})
	}
}

// TestOrderOfChecks guards against a reply that says more than the node knows: a node
// without a configuration, or with an old one, cannot tell that a key is unknown.
func TestOrderOfChecks(t *testing.T) {
	is := is.New(t)
	in := newTeamIngress(t, teamRules())
	caps := &fakeCaps{}
	in.Caps = caps
	in.Freshness = &fakeFreshness{retryAfter: 700}
	for _, key := range []string{"Bearer n-key", "Bearer unknown", "malformed"} {
		for _, path := range []string{"/check/x", "/order/x"} {
			ctx := requestWith(path, "Authorization", key)
			_, refusal := in.newCall(context.Background(), ctx, in.Clock.Now())
			is.Equal(refusal.Reason, reasonStale)
			is.Equal(refusal.RetryAfterMillis, 700*clock.Millis(1))
			is.Equal(statusOf(refusal), fasthttp.StatusServiceUnavailable)
		}
	}
	_, reason := decideOn(in, "/check/x")
	is.Equal(reason, reasonStale)
	_, reason = decideOn(in, "/order/x")
	is.Equal(reason, "") // anonymous
	_, reason = decideOn(in, "/nowhere", "Authorization", "Bearer unknown")
	is.Equal(reason, reasonNoRoute)
	in.Freshness = &fakeFreshness{}
	_, reason = decideOn(in, "/check/x", "Authorization", "Bearer unknown")
	is.Equal(reason, reasonUnknownKey)
	is.Equal(len(caps.taken), 0)
	_, reason = decideOn(in, "/check/x", "Authorization", "Bearer s-1")
	is.Equal(reason, ReasonCap)
	_, reason = decideOn(in, "/check/x", "Authorization", "Bearer n-key")
	is.Equal(reason, "") // a team without a cap
	is.Equal(caps.taken, []ident.TeamName{"south"})
	in.view.Store(nil)
	_, reason = decideOn(in, "/check/x", "Authorization", "Bearer unknown")
	is.Equal(reason, reasonNoView)
}

// TestProofIsNotOfALaterRelease guards against a revoked key that is admitted by the former
// release, because the proof of the release that revokes it arrived meanwhile.
func TestProofIsNotOfALaterRelease(t *testing.T) {
	is := is.New(t)
	in := newTeamIngress(t, teamRules())
	revoked := teamRules()
	revoked.Rules.Teams = revoked.Rules.Teams[1:]
	later := viewOf(t, 2, revoked)
	in.Freshness = &fakeFreshness{check: func() { in.view.Store(later) }}
	_, reason := decideOn(in, "/check/x", "Authorization", "Bearer n-key")
	is.Equal(reason, reasonUnknownKey)
}

// TestStartWaitsForProof guards against a node that has just started and refuses requests
// with keys although its first proof is about to arrive, against one that makes others wait
// for it, and against a wait later on.
func TestStartWaitsForProof(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		openedAt clock.Millis
		reason   string
		checks   int
	}{
		"with a key":      {"/check/x", clock.Minute, "", 4},
		"no key needed":   {"/order/x", clock.Minute, "", 1},
		"long after":      {"/check/x", -clock.Minute, reasonStale, 1},
		"unknown route":   {"/nowhere", clock.Minute, reasonNoRoute, 1},
		"malformed route": {"/check/../x", clock.Minute, reasonPath, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := newTeamIngress(t, teamRules())
			in.openedAt = in.Clock.Now() + c.openedAt
			checks := 0
			f := &fakeFreshness{retryAfter: 9}
			f.check = func() {
				if checks++; checks == 3 {
					f.retryAfter = 0
				}
			}
			in.Freshness = f
			fields := []string{"Authorization", "Bearer n-key"}
			if c.path == "/order/x" {
				fields = nil
			}
			_, reason := decideOn(in, c.path, fields...)
			is.Equal(reason, c.reason)
			is.Equal(checks, c.checks)
		})
	}
}

// TestRankOfTeam guards against a team's class that does not go before that of the route, or
// that also changes the class by which requests are counted.
func TestRankOfTeam(t *testing.T) {
	is := is.New(t)
	in := newTeamIngress(t, teamRules())
	c, _ := decideOn(in, "/check/x", "Authorization", "Bearer n-key")
	is.Equal(c.request.Rank, admit.NewRank(model.Browse))
	is.Equal(c.request.Class, model.Check)
	c, _ = decideOn(in, "/order/x", "Authorization", "Bearer s-1") // a team without a class
	is.Equal(c.request.Rank, admit.NewRank(model.Action))
}

// TestHeadersWithoutTeams guards against a header field that is dropped, changed or added in
// a configuration without teams, where Authorization and the team's header are the caller's
// own, and against a check of such requests.
func TestHeadersWithoutTeams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := newTeamIngress(t, configuration(4))
		in.Freshness = &fakeFreshness{retryAfter: 1}
		caps := &fakeCaps{}
		in.Caps = caps
		names := []string{"Authorization", "Team-Of", "Hickoryrail-Team", "X-One"}
		values := []string{"", "Bearer k", "Basic YTpi", "north", "a, b"}
		var fields []string
		var want wire.Headers
		for range rapid.IntRange(0, 6).Draw(t, "fields") {
			name, value := rapid.SampledFrom(names).Draw(t, "name"), rapid.SampledFrom(values).Draw(t, "value")
			fields = append(fields, name, value)
			want.Append([]byte(name), []byte(value))
		}
		c, reason := decideOn(in, "/check/x", fields...)
		want.Append([]byte("From-Service"), nil)
		if reason != "" || c.team != nil || !bytes.Equal(c.request.Headers, want) {
			t.Fatalf("fields %q are forwarded as %q: %s", fields, c.request.Headers, reason)
		}
		if c.request.Rank != admit.NewRank(model.Check) || len(caps.taken) > 0 {
			t.Fatal("the request is treated as that of a team")
		}
	})
}

// TestBearerKey guards against a key that contains a separator or a part of the scheme, for
// any value of the field.
func TestBearerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.SliceOf(rapid.SampledFrom([]byte("Bearer k\t,\x00\x7f\xff"))).Draw(t, "value")
		key, ok := bearerKey(value)
		if ok != (len(key) > 0) {
			t.Fatalf("key %q of %q", key, value)
		}
		if ok && (bytes.ContainsAny(key, " \t\x00\x7f") || !bytes.HasSuffix(bytes.TrimRight(value, " "), fmt.Appendf(nil, " %s", key))) {
			t.Fatalf("key %q of %q", key, value)
		}
	})
}
