package proxy

import (
	"bytes"
	"context"
	"fmt"
	"iter"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/result"
	"hickoryrail/io/keys"
	"hickoryrail/io/peer"
	"hickoryrail/io/plat"
	"hickoryrail/io/wire"
)

type (
	// quicPeers sends calls over QUIC to the nodes of a fleet.
	quicPeers struct {
		*peer.Transport
		addresses map[ident.NodeID]string
	}

	// memoryStore keeps rows in memory; its calls fail while down is set.
	memoryStore struct {
		plat.Store
		mu   sync.Mutex
		rows map[string]plat.Row
		down atomic.Bool
	}
)

func (q *quicPeers) Call(ctx context.Context, to ident.NodeID, _ string, body []byte) ([]byte, error) {
	return q.Transport.Call(ctx, to, q.addresses[to], body)
}

func (q *quicPeers) CallFresh(ctx context.Context, to ident.NodeID, _ string, body []byte) ([]byte, error) {
	return q.Transport.CallFresh(ctx, to, q.addresses[to], body)
}

func (s *memoryStore) ReadRow(_ context.Context, key string) (plat.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down.Load() {
		return plat.Row{}, result.NewError(result.NotRun, "down", nil)
	}
	return s.rows[key], nil
}

func (s *memoryStore) WriteRow(_ context.Context, key string, value []byte, revision ident.Revision) (plat.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down.Load():
		return plat.Row{}, result.NewError(result.NotRun, "down", nil)
	case s.rows[key].Revision != revision:
		return plat.Row{}, plat.ErrConflict
	}
	s.rows[key] = plat.Row{Key: key, Value: value, Revision: revision + 1}
	return s.rows[key], nil
}

// newQUICPeers starts a QUIC transport for each node and returns that of the ingress.
func newQUICPeers(t *testing.T, f *fleet) *quicPeers {
	directory := t.TempDir() + "/keys"
	nodes := []ident.NodeID{"ingress"}
	for node := range f.gateways {
		nodes = append(nodes, node)
	}
	if _, err := keys.CreateFleet(directory, nodes); err != nil {
		t.Fatal(err)
	}
	q := &quicPeers{addresses: make(map[ident.NodeID]string)}
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	t.Cleanup(func() {
		stop()
		group.Wait()
	})
	for _, node := range nodes {
		identity, err := keys.LoadIdentity(directory, node)
		if err != nil {
			t.Fatal(err)
		}
		p := &peer.Transport{Self: node, Listen: "127.0.0.1:0", Identity: identity}
		if g := f.gateways[node]; g != nil {
			p.OnCall = g.OnCall
		} else {
			q.Transport = p
		}
		if err := p.Open(); err != nil {
			t.Fatal(err)
		}
		q.addresses[node] = p.Address()
		group.Go(func() { _ = p.Run(ctx) })
	}
	return q
}

// TestAnswersNeverCross guards against a caller that gets another caller's response
// or only a part of its own while other responses are late, cut off by their deadline
// or abandoned by their callers.
func TestAnswersNeverCross(t *testing.T) {
	is := is.New(t)
	targets := []*fakeTarget{newFakeTarget(t), newFakeTarget(t)}
	f := newFleet(t, 24, targets...)
	in := newIngress(t, f)
	in.Peers = newQUICPeers(t, f)
	const workers, rounds = 24, 40
	var answered, refused, gaveUp atomic.Int64
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			c := &http.Client{Transport: &http.Transport{}}
			defer c.CloseIdleConnections()
			for i := range rounds {
				unique := fmt.Sprintf("%d-%d-", w, i)
				body := strings.Repeat(unique, 10+(w*rounds+i)*7%900)
				path, timeout := "/check/echo", "20000"
				switch i % 4 {
				case 1:
					path, timeout = "/order/slow?ms=40", "15"
				case 2:
					path = "/check/slow?ms=5"
				}
				c.Timeout = 0
				if i%8 == 6 {
					c.Timeout = 3 * time.Millisecond // the caller gives up
				}
				resp, got, err := send(c, in, path, body, "X-Unique", unique, headerTimeout, timeout)
				switch {
				case err != nil:
					gaveUp.Add(1)
				case resp.Header.Get(headerVerdict) != "Ran":
					refused.Add(1)
				case got != body || resp.Header.Get("X-Echo") != unique:
					t.Errorf("%s got an answer to %q with %d bytes", unique, resp.Header.Get("X-Echo"), len(got))
				default:
					answered.Add(1)
				}
			}
		})
	}
	group.Wait()
	is.True(answered.Load() >= workers*rounds/2)
	is.True(refused.Load() > 0)
	is.True(gaveUp.Load() > 0)
}

// overwrite overwrites memory that fasthttp reuses for the next request.
func overwrite(fields iter.Seq2[[]byte, []byte], parts ...[]byte) {
	for name, value := range fields {
		parts = append(parts, name, value)
	}
	for _, p := range parts {
		for i := range p {
			p[i] = '#'
		}
	}
}

// TestCallsOwnTheirMemory guards against a call that refers to memory of a handler
// that has returned, and a response that refers to memory of the pooled client.
func TestCallsOwnTheirMemory(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4, newFakeTarget(t))
	in := newIngress(t, f)
	var request fasthttp.Request
	request.SetRequestURI("/check/echo?q=1")
	request.Header.SetMethod("POST")
	request.Header.Set("X-Unique", "value")
	request.SetBodyString("body")
	var ctx fasthttp.RequestCtx
	ctx.Init(&request, nil, nil)
	c, refusal := in.newCall(context.Background(), &ctx, in.Clock.Now())
	is.True(refusal == nil)
	before := encode(c.request)
	h := &ctx.Request.Header
	overwrite(h.All(), ctx.Request.Body(), h.RequestURI(), h.Method())
	is.True(bytes.Equal(before, encode(c.request)))

	g := f.gateways["node-0"]
	answers := make(map[string]*wire.Response)
	for i := range 50 {
		r := c.request
		body := fmt.Sprint("answer ", i)
		r.ID, r.Gate, r.Target, r.Body, r.RemainingMillis = ident.RequestID(body), gateIncarnation, "target-0", []byte(body), 20000
		answers[body] = g.Forward(context.Background(), &r)
	}
	for body, resp := range answers {
		is.Equal(string(resp.Body), body)
	}
}

// TestKeyedRequestRunsOnce guards against running a resubmitted action again, and
// against running one whose key could not be claimed.
func TestKeyedRequestRunsOnce(t *testing.T) {
	is := is.New(t)
	target := newFakeTarget(t)
	f := newFleet(t, 4, target)
	store := &memoryStore{rows: make(map[string]plat.Row)}
	first, second := newIngress(t, f), newIngress(t, f)
	first.Store, second.Store = store, store
	order := func(in *Ingress, path, body, key string) (int, string, string) {
		resp, got, err := send(http.DefaultClient, in, path, body, headerIdempotencyKey, key, headerCaller, "shop-1")
		is.NoErr(err)
		in.background.Wait() // the outcome is stored
		return resp.StatusCode, got, resp.Header.Get(headerVerdict)
	}
	status, got, _ := order(first, "/order/echo", "pallet", "k1")
	is.Equal(status, 200)
	status, again, _ := order(second, "/order/echo", "pallet", "k1")
	is.Equal(status, 200)
	is.Equal(again, got)
	is.Equal(target.runCount("pallet"), 1)

	status, _, _ = order(first, "/order/abort", "lost", "k2")
	is.Equal(status, 502)
	status, _, verdict := order(second, "/order/abort", "lost", "k2")
	is.Equal(status, 409)
	is.Equal(verdict, "MayHaveRun")
	is.Equal(target.runCount("lost"), 1)

	store.down.Store(true)
	status, _, verdict = order(first, "/order/echo", "no store", "k3")
	is.Equal(status, 503)
	is.Equal(verdict, "NotRun")
	is.Equal(target.runCount("no store"), 0)
	store.down.Store(false)
	f.gateways["node-0"].DrainTarget()
	_, _, verdict = order(first, "/order/echo", "released", "k4")
	is.Equal(verdict, "NotRun")
	is.NoErr(f.gateways["node-0"].Announce(Announcement{Target: "target-0", Address: target.address, Slots: 4, Connections: 9}))
	status, _, _ = order(first, "/order/echo", "released", "k4")
	is.Equal(status, 200) // a claim that ended as not run can be claimed again
}

// TestKeyOfAnotherRequest guards against replaying the outcome of one request for
// another one that reuses its idempotency key, and against forwarding the latter.
func TestKeyOfAnotherRequest(t *testing.T) {
	is := is.New(t)
	target := newFakeTarget(t)
	f := newFleet(t, 4, target)
	store := &memoryStore{rows: make(map[string]plat.Row)}
	first, second := newIngress(t, f), newIngress(t, f)
	first.Store, second.Store = store, store
	order := func(in *Ingress, method, path, body string) (int, string) {
		req, err := http.NewRequest(method, "http://"+in.Address()+path, strings.NewReader(body))
		is.NoErr(err)
		req.Header.Set(headerIdempotencyKey, "k1")
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		in.background.Wait() // the outcome is stored
		return resp.StatusCode, resp.Header.Get(headerVerdict)
	}
	status, _ := order(first, http.MethodPost, "/order/echo", "pallet")
	is.Equal(status, 200)
	for _, other := range [][3]string{
		{http.MethodPost, "/order/echo", "another"},
		{http.MethodPost, "/order/echo?copy=1", "pallet"},
		{http.MethodPut, "/order/echo", "pallet"},
	} {
		status, verdict := order(second, other[0], other[1], other[2])
		is.Equal(status, 422)
		is.Equal(verdict, "NotRun")
	}
	is.Equal(target.runCount("pallet"), 1)
	is.Equal(target.runCount("another"), 0)
	status, verdict := order(second, http.MethodPost, "/order/echo", "pallet")
	is.Equal(status, 200) // the refusals did not change the stored outcome
	is.Equal(verdict, "Ran")
}

// TestHedgeAnswersFirst guards against a hedge that is not sent or goes to the same
// target, and against a losing attempt that keeps its slot.
func TestHedgeAnswersFirst(t *testing.T) {
	is := is.New(t)
	targets := []*fakeTarget{newFakeTarget(t), newFakeTarget(t)}
	f := newFleet(t, 1, targets...)
	in := newIngress(t, f)
	in.Policy.Budget.RecordCall(in.Clock.Now())
	var calls atomic.Int64
	f.intercept = func(ctx context.Context, g *Gateway, body []byte) ([]byte, error) {
		number := calls.Add(1)
		if number == 1 {
			body = bytes.Replace(body, []byte("/check/echo"), []byte("/check/hold"), 1)
		}
		// The attempt that is delivered second waits until the held one is running,
		// so that its response cancels a running attempt.
		for number > 1 && ctx.Err() == nil && targets[0].runCount("hedged")+targets[1].runCount("hedged") == 0 {
			time.Sleep(time.Millisecond)
		}
		return g.OnCall(ctx, "ingress", body), nil
	}
	c, _ := f.view.Route("", "/check/echo")
	c.HedgeAfterMillis = 1
	r := &call{ctx: context.Background(), view: f.view, route: c, deadline: in.Clock.Now() + 2*clock.Minute, id: "hedged", request: wire.Request{
		Idempotent: true, Method: "POST", URI: []byte("/check/echo"), Body: []byte("hedged"),
	}}
	resp := in.forward(r)
	is.Equal(resp.Verdict, result.Ran)
	is.Equal(string(resp.Body), "hedged")
	is.Equal(targets[0].runCount("hedged")+targets[1].runCount("hedged"), 2)
	is.Equal(targets[0].runCount("hedged"), 1)
	// If the hedge is delivered first, it is the held attempt, and it outlives the call.
	in.background.Wait()
	for _, g := range f.gateways {
		is.Equal(g.Load().Free, 1) // the cancelled attempt has released its slot
	}
	r.tried = []ident.TargetID{"target-0", "target-1"}
	r.state.Outstanding, r.state.Sent = 1, 1
	var h hedge
	in.startHedge(r, &h, nil, 2)
	is.True(!h.started) // no other target is left
}
