package proxy

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
	"hickoryrail/core/view"
	"hickoryrail/io/wire"
)

// withTeams gives a fleet the rules of teamRules, and keeps its targets.
func (f *fleet) withTeams(t *testing.T) {
	t.Helper()
	r, err := model.NewRelease(1, "e", teamRules())
	if err != nil {
		t.Fatal(err)
	}
	f.view = view.Build(r, f.records)
}

// TestTeamOfRequest guards against a target that learns an access key or a team that the
// caller chose, and against one that does not learn the team of the key.
func TestTeamOfRequest(t *testing.T) {
	is := is.New(t)
	s := newScriptedTarget(t, "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok", false)
	f := newFleet(t, 4)
	f.withTeams(t)
	g := &Gateway{Self: "ingress", Incarnation: gateIncarnation, Clock: clock.NewSystem(), Dialect: customDialect()}
	is.NoErr(g.Open())
	is.NoErr(g.Announce(Announcement{Target: "t-1", Address: s.address, Slots: 2, Connections: 9}))
	in := newCustomIngress(t, f, g)
	for _, c := range []struct {
		path string
		key  string
		team []string
	}{
		{"/check/x", "Bearer s-1", []string{"south"}},
		{"/order/x", "Bearer n-key", []string{"north"}},
		{"/order/x", "", nil},
	} {
		fields := []string{headerTeam, "forged"}
		if c.key != "" {
			fields = append(fields, "Authorization", c.key)
		}
		resp, _, err := send(http.DefaultClient, in, c.path, "", fields...)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		got := <-s.requests
		is.Equal(got.Header.Values(headerTeam), c.team)
		is.Equal(got.Header.Values("Authorization"), nil)
	}
}

// TestRejectionAnswers guards against a rejection without the status and the fields by which
// its caller knows that the request did not run, and when to try again.
func TestRejectionAnswers(t *testing.T) {
	is := is.New(t)
	target := newFakeTarget(t)
	f := newFleet(t, 4, target)
	f.withTeams(t)
	in := newIngress(t, f)
	in.Caps = &fakeCaps{}
	sink := &decisionSink{}
	in.Log = sink
	for _, c := range []struct {
		key, reason string
		stale       clock.Millis
		status      int
		retryAfter  string
		challenge   string
	}{
		{"Bearer unknown", reasonUnknownKey, 0, http.StatusUnauthorized, "", challenge},
		{"Bearer s-1", ReasonCap, 0, http.StatusTooManyRequests, "1", ""},
		{"Bearer n-key", reasonStale, 2500, http.StatusServiceUnavailable, "3", ""},
	} {
		in.Freshness = &fakeFreshness{retryAfter: c.stale}
		resp, _, err := send(http.DefaultClient, in, "/check/echo", "rejected", "Authorization", c.key)
		is.NoErr(err)
		is.Equal(resp.StatusCode, c.status)
		is.Equal(resp.Header.Get("Retry-After"), c.retryAfter)
		is.Equal(resp.Header.Get(headerChallenge), c.challenge)
		is.Equal(resp.Header.Get(headerVerdict), "NotRun")
		is.Equal(resp.Header.Get(headerReason), c.reason)
	}
	is.Equal(target.runCount("rejected"), 0)
	sink.mu.Lock()
	defer sink.mu.Unlock()
	is.Equal(len(sink.decisions), 3) // one line for each rejection
	is.Equal(sink.decisions[1].Team, ident.TeamName("south"))
	is.Equal(sink.decisions[1].Route, ident.RouteName("check"))
}

// TestCapCountsRequests guards against a request that uses a team's cap although it reached
// no target, one that does not use it although it may have run, and one that is counted
// twice because it was retried.
func TestCapCountsRequests(t *testing.T) {
	south := []ident.TeamName{"south"}
	for name, c := range map[string]struct {
		path, key string
		fail      error
		draining  bool
		taken     []ident.TeamName
		returned  []ident.TeamName
	}{
		"runs":               {path: "/check/echo", key: "Bearer s-1", taken: south},
		"may have run":       {path: "/check/abort", key: "Bearer s-2", taken: south},
		"not sent":           {path: "/check/echo", key: "Bearer s-1", fail: result.NewError(result.NotRun, "x", nil), taken: south, returned: south},
		"without an answer":  {path: "/check/echo", key: "Bearer s-1", fail: result.NewError(result.MayHaveRun, "x", errors.New("lost")), taken: south},
		"refused by gate":    {path: "/order/echo", key: "Bearer s-1", draining: true, taken: south, returned: south},
		"team without a cap": {path: "/check/echo", key: "Bearer n-key"},
		"no key":             {path: "/order/echo"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 4, newFakeTarget(t))
			f.withTeams(t)
			if c.fail != nil {
				f.intercept = func(context.Context, *Gateway, []byte) ([]byte, error) { return nil, c.fail }
			}
			if c.draining {
				f.gateways["node-0"].DrainTarget()
			}
			in := newIngress(t, f)
			caps := &fakeCaps{left: 9}
			in.Caps = caps
			fields := []string{headerTimeout, "300"}
			if c.key != "" {
				fields = append(fields, "Authorization", c.key)
			}
			_, _, err := send(http.DefaultClient, in, c.path, "body", fields...)
			is.NoErr(err)
			for in.inFlight.Load() > 0 {
				time.Sleep(time.Millisecond)
			}
			is.Equal(caps.taken, c.taken)
			is.Equal(caps.returned, c.returned)
		})
	}
}

// TestInnerCallWithoutKey guards against a call of a running request that is refused on an
// anonymous route, counts against a cap, loses the rank of its parent, or gets access to a
// route that needs a key. A caller without a running parent must get neither.
func TestInnerCallWithoutKey(t *testing.T) {
	is := is.New(t)
	target := newFakeTarget(t)
	f := newFleet(t, 4, target)
	f.withTeams(t)
	in := newIngress(t, f)
	in.Gateway = f.gateways["node-0"]
	in.Dialect.RequestIDHeader = "X-Id"
	in.Dialect.ParentID = func(id []byte) []byte { return bytes.TrimSuffix(id, []byte(".call")) }
	caps := &fakeCaps{}
	in.Caps = caps
	parentRank := admit.NewRank(model.Browse)
	parent := &wire.Request{
		ID: "parent-1", CallerID: "parent", Gate: gateIncarnation, Target: "target-0", Attempt: 1, Rank: parentRank,
		RemainingMillis: 20000, Method: "POST", URI: []byte("/order/hold"), Body: []byte("held"),
	}
	ended := make(chan *wire.Response, 1)
	go func() { ended <- in.Gateway.Forward(context.Background(), parent) }()
	for target.open.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	for _, c := range []struct {
		path, id string
		status   int
	}{
		{"/order/echo", "parent.call", http.StatusOK},
		{"/check/echo", "parent.call", http.StatusUnauthorized},
		{"/check/echo", "forged.call", http.StatusUnauthorized},
	} {
		resp, _, err := send(http.DefaultClient, in, c.path, "call", "X-Id", c.id)
		is.NoErr(err)
		is.Equal(resp.StatusCode, c.status)
	}
	c, reason := decideOn(in, "/order/x", "X-Id", "parent.call")
	is.Equal(reason, "")
	is.Equal(c.request.Rank, parentRank.Inner())
	is.True(c.team == nil)
	c, _ = decideOn(in, "/order/x", "X-Id", "forged.call")
	is.Equal(c.request.Rank, admit.NewRank(model.Action))
	// A caller that guesses the id of a running request does not evade its team's cap.
	_, reason = decideOn(in, "/order/x", "X-Id", "parent.call", "Authorization", "Bearer s-1")
	is.Equal(reason, ReasonCap)
	is.Equal(len(caps.taken), 1)
	close(target.release)
	is.Equal((<-ended).Verdict, result.Ran)
}

// TestKeyOwnersOfTeams guards against a team that gets the stored outcome of another one's
// request, because both use the same idempotency key.
func TestKeyOwnersOfTeams(t *testing.T) {
	is := is.New(t)
	caller := []byte("shop-1")
	north, south := &call{team: &model.Team{Name: "north"}}, &call{team: &model.Team{Name: "south"}}
	is.True(north.keyOwner(caller) != south.keyOwner(caller))
	is.Equal((&call{}).keyOwner(caller), "shop-1")
}
