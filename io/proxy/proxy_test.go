package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
	"hickoryrail/core/retry"
	"hickoryrail/core/route"
	"hickoryrail/core/view"
	"hickoryrail/io/wire"
)

// gateIncarnation is the incarnation of every gate in these tests.
const gateIncarnation ident.Incarnation = 7

type (
	// fleet is a set of gateways whose calls are delivered in memory.
	fleet struct {
		gateways map[ident.NodeID]*Gateway
		view     *view.View
		// records are those of the view's targets.
		records []member.Record
		// intercept, if set, replaces the delivery of a call.
		intercept func(ctx context.Context, g *Gateway, body []byte) ([]byte, error)
		// interceptFresh does the same for calls on a fresh connection.
		interceptFresh func(ctx context.Context, g *Gateway, body []byte) ([]byte, error)
	}

	// fakeTarget is an HTTP target whose behaviour is chosen by the request's path.
	fakeTarget struct {
		*http.Server
		address string
		// mu guards runs, the number of handled requests by body, and maxOpen, the
		// maximum of open.
		mu      sync.Mutex
		runs    map[string]int
		maxOpen int64
		// open counts handlers that have not returned.
		open atomic.Int64
		// release lets the requests to /hold finish once it is closed.
		release chan struct{}
	}
)

func (f *fleet) Call(ctx context.Context, to ident.NodeID, _ string, body []byte) ([]byte, error) {
	if f.intercept != nil {
		return f.intercept(ctx, f.gateways[to], body)
	}
	return f.gateways[to].OnCall(ctx, "ingress", bytes.Clone(body)), nil
}

func (f *fleet) CallFresh(ctx context.Context, to ident.NodeID, _ string, body []byte) ([]byte, error) {
	if f.interceptFresh != nil {
		return f.interceptFresh(ctx, f.gateways[to], body)
	}
	return f.gateways[to].OnCall(ctx, "ingress", bytes.Clone(body)), nil
}

// runCount returns the number of requests with a body that reached the target.
func (s *fakeTarget) runCount(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// newFakeTarget starts a target. The last element of a path selects its behaviour:
// echo returns the body, hold waits for release first, slow?ms= pauses in the middle
// of the response, abort closes the connection in the middle of the response, and
// identity sends a response without a length.
func newFakeTarget(t *testing.T) *fakeTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeTarget{address: l.Addr().String(), runs: make(map[string]int), release: make(chan struct{})}
	s.Server = &http.Server{Handler: http.HandlerFunc(s.handle)}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func (s *fakeTarget) handle(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.runs[string(body)]++
	s.maxOpen = max(s.maxOpen, s.open.Add(1))
	s.mu.Unlock()
	defer s.open.Add(-1)
	w.Header().Set("X-Host", r.Host)
	if r.Method == http.MethodHead {
		w.Header().Set("Content-Length", "42")
		return
	}
	w.Header().Set("X-Echo", r.Header.Get("X-Unique"))
	w.Header().Set("X-Hop", r.Header.Get("X-Drop")+r.Header.Get("Te")+r.Header.Get("Keep-Alive"))
	switch {
	case strings.HasSuffix(r.URL.Path, "/hold"):
		select {
		case <-s.release:
		case <-r.Context().Done():
		}
		_, _ = w.Write(body)
	case strings.HasSuffix(r.URL.Path, "/slow"):
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		w.(http.Flusher).Flush()
		ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
		time.Sleep(time.Duration(ms) * time.Millisecond)
		_, _ = w.Write(body[len(body)/2:])
	case strings.HasSuffix(r.URL.Path, "/abort"):
		c, b, _ := w.(http.Hijacker).Hijack()
		_, _ = b.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
		_ = b.Flush()
		_ = c.Close()
	case strings.HasSuffix(r.URL.Path, "/identity"):
		c, b, _ := w.(http.Hijacker).Hijack()
		_, _ = b.WriteString("HTTP/1.1 200 OK\r\n\r\npart")
		_ = b.Flush()
		_ = c.Close()
	default:
		_, _ = w.Write(body)
	}
}

// configuration returns one service with the idempotent routes /check and /browse and
// the route /order.
func configuration(slots int) model.Configuration {
	r := func(name string, class model.Class, idempotent bool) model.Route {
		return model.Route{
			Name: ident.RouteName(name), PathPrefix: "/" + name, Service: "shop", Class: class,
			Idempotent: idempotent, TimeoutMillis: 20000, MaxAttempts: 3, HedgeAfterMillis: -1,
		}
	}
	return model.Configuration{
		Inventory: model.Inventory{Services: []model.Service{{Name: "shop", Slots: ident.Slots(slots), Connections: 130}}},
		Rules: model.Rules{Routes: []model.Route{
			r("check", model.Check, true), r("order", model.Action, false), r("browse", model.Browse, true),
		}},
	}
}

// newFleet starts one gateway per target.
func newFleet(t testing.TB, slots int, targets ...*fakeTarget) *fleet {
	f := &fleet{gateways: make(map[ident.NodeID]*Gateway)}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	for i, s := range targets {
		node := ident.NodeID(fmt.Sprint("node-", i))
		g := &Gateway{Self: node, Incarnation: gateIncarnation, Clock: clock.NewSystem(), QueueLength: 512, Limits: Limits{BodyBytes: 64 << 10}}
		if err := g.Open(); err != nil {
			t.Fatal(err)
		}
		go func() { _ = g.Run(ctx) }()
		id := ident.TargetID(fmt.Sprint("target-", i))
		if err := g.Announce(Announcement{Target: id, Address: s.address, Slots: ident.Slots(slots), Connections: 130}); err != nil {
			t.Fatal(err)
		}
		f.gateways[node] = g
		f.records = append(f.records, member.Record{
			Node: node, Service: "shop", Target: id, TargetState: member.Ready,
			GateIncarnation: gateIncarnation, FailureDomain: "a", Region: "r", PeerAddress: "peer",
		})
	}
	release, err := model.NewRelease(1, "edit", configuration(slots))
	if err != nil {
		t.Fatal(err)
	}
	f.view = view.Build(release, f.records)
	return f
}

// newIngress starts an ingress in front of a fleet.
func newIngress(t testing.TB, f *fleet) *Ingress {
	random := rand.New(rand.NewPCG(1, 2))
	in := &Ingress{
		Self: "ingress", Listen: "127.0.0.1:0", Clock: clock.NewSystem(), Peers: f,
		Picker: &route.Picker{Self: "ingress", FailureDomain: "a", Region: "r", Rand: random},
		Policy: &retry.Policy{Budget: &retry.Budget{Ratio: 10}, Rand: random},
		Limits: Limits{BodyBytes: 64 << 10, HeaderBytes: 4 << 10},
	}
	if err := in.Open(); err != nil {
		t.Fatal(err)
	}
	in.SetView(f.view, 1)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = in.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return in
}

// send makes a POST request with a body and returns the response and its body.
func send(c *http.Client, in *Ingress, path, body string, headers ...string) (*http.Response, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+in.Address()+path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return resp, string(got), err
}

// TestRequestReachesTarget guards against a request that does not reach its target,
// lost header fields and forwarded hop-by-hop fields.
func TestRequestReachesTarget(t *testing.T) {
	is := is.New(t)
	in := newIngress(t, newFleet(t, 4, newFakeTarget(t)))
	resp, body, err := send(http.DefaultClient, in, "/check/echo?a=b", "hello",
		"X-Unique", "one", "Connection", "X-Drop", "X-Drop", "leak", "Te", "trailers", "Keep-Alive", "leak")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.Equal(body, "hello")
	is.Equal(resp.Header.Get("X-Echo"), "one")
	is.Equal(resp.Header.Get("X-Hop"), "")
	is.Equal(resp.Header.Get(headerVerdict), "Ran")
	is.Equal(resp.Header.Get("X-Host"), in.Address())
	for range 2 { // the connection to the target is reused
		resp, err = http.Head("http://" + in.Address() + "/check/echo")
		is.NoErr(err)
		_ = resp.Body.Close()
		is.Equal(resp.ContentLength, int64(42))
		is.Equal(resp.Header.Get(headerVerdict), "Ran")
	}
	resp, _, err = send(http.DefaultClient, in, "/nowhere", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 404)
	is.Equal(resp.Header.Get(headerVerdict), "NotRun")
	resp, _, err = send(http.DefaultClient, in, "/check/../order/echo", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 400) // two routes match, by raw and by normalized path
}

// TestLostConnectionIsVoided guards against running an action twice when the
// connection is lost before or after the request has arrived.
func TestLostConnectionIsVoided(t *testing.T) {
	is := is.New(t)
	target := newFakeTarget(t)
	f := newFleet(t, 4, target)
	lost := result.NewError(result.MayHaveRun, "connection lost", nil)
	first := true
	f.intercept = func(ctx context.Context, g *Gateway, body []byte) ([]byte, error) {
		if first {
			first = false
			return nil, lost
		}
		return g.OnCall(ctx, "ingress", body), nil
	}
	in := newIngress(t, f)
	resp, _, err := send(http.DefaultClient, in, "/order/echo", "lost before")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.Equal(target.runCount("lost before"), 1)

	f.intercept = func(ctx context.Context, g *Gateway, body []byte) ([]byte, error) {
		g.OnCall(ctx, "ingress", body)
		return nil, lost
	}
	resp, body, err := send(http.DefaultClient, in, "/order/echo", "lost after")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200) // the kept answer
	is.Equal(body, "lost after")
	is.Equal(target.runCount("lost after"), 1)

	var late []byte
	f.intercept = func(_ context.Context, _ *Gateway, body []byte) ([]byte, error) {
		if late == nil {
			late = bytes.Clone(body)
		}
		return nil, lost
	}
	resp, _, err = send(http.DefaultClient, in, "/order/echo", "late")
	is.NoErr(err)
	is.Equal(resp.Header.Get(headerVerdict), "NotRun")
	f.gateways["node-0"].OnCall(context.Background(), "ingress", late)
	is.Equal(target.runCount("late"), 0) // a voided attempt that arrives late does not run
}

// TestDuplicateDeliveryRunsOnce guards against running one request id twice.
func TestDuplicateDeliveryRunsOnce(t *testing.T) {
	is := is.New(t)
	target := newFakeTarget(t)
	g := newFleet(t, 8, target).gateways["node-0"]
	for _, idempotent := range []bool{true, false} {
		body := fmt.Sprint("twice ", idempotent)
		call := encode(wire.Call{Request: &wire.Request{
			ID: ident.RequestID(body), Gate: gateIncarnation, Target: "target-0", Attempt: 1, Idempotent: idempotent,
			RemainingMillis: 20000, Method: "POST", URI: []byte("/order/echo"), Body: []byte(body),
		}})
		var group sync.WaitGroup
		for range 16 {
			group.Go(func() { g.OnCall(context.Background(), "ingress", bytes.Clone(call)) })
		}
		group.Wait()
		is.Equal(target.runCount(body), 1)
		a, err := wire.DecodeAnswer(g.OnCall(context.Background(), "ingress", call), 1<<20)
		is.NoErr(err)
		is.True(a.Response.Verdict != result.NotRun) // it did run
	}
}

// TestWaitingCallExpires guards against a waiting call that is not refused at its
// deadline, so that its caller has to assume that it may have run.
func TestWaitingCallExpires(t *testing.T) {
	is := is.New(t)
	target := newFakeTarget(t)
	g := newFleet(t, 1, target).gateways["node-0"]
	send := func(id string, path string, millis clock.Millis) *wire.Response {
		return g.Forward(context.Background(), &wire.Request{
			ID: ident.RequestID(id), Gate: gateIncarnation, Target: "target-0", Attempt: 1,
			RemainingMillis: millis, Method: "POST", URI: []byte(path), Body: []byte(id),
		})
	}
	held := make(chan *wire.Response, 1)
	go func() { held <- send("held", "/order/hold", 20000) }()
	for target.open.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	resp := send("expires", "/order/echo", 30)
	is.Equal(resp.Verdict, result.NotRun)
	is.Equal(resp.Reason, admit.ReasonExpired)
	is.Equal(target.runCount("expires"), 0)
	close(target.release)
	is.Equal((<-held).Verdict, result.Ran)
}
