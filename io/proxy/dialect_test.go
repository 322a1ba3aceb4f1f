package proxy

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/result"
	"hickoryrail/core/retry"
	"hickoryrail/core/route"
	"hickoryrail/core/view"
	"hickoryrail/io/logs"
	"hickoryrail/io/wire"
)

// customDialect returns a dialect whose header names differ from hickoryrail's own.
func customDialect() Dialect {
	return Dialect{
		TimeoutHeader: "Time-Left", RequestIDHeader: "Call", OriginHeader: "From-Service", TargetHeader: "For-Target",
		SignatureHeader: "Stamp", OmitVerdictHeaders: true,
		Unexecuted: func(status int, header func(string) []byte) bool {
			return status == http.StatusMisdirectedRequest || len(header("Unrun")) > 0
		},
		Promises: func(status int) bool {
			return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
		},
	}
}

// scriptedTarget is a target that answers every request with the given bytes and
// records the requests.
type scriptedTarget struct {
	address  string
	requests chan *http.Request
}

// newScriptedTarget starts a target that sends response to each request, with the
// request's id in place of %s. With closes, it closes each connection after the first
// response.
func newScriptedTarget(t *testing.T, response string, closes bool) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedTarget{address: l.Addr().String(), requests: make(chan *http.Request, 16)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, response, closes)
		}
	}()
	return s
}

// serve answers the requests of one connection.
func (s *scriptedTarget) serve(c net.Conn, answer string, closes bool) {
	defer c.Close()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		s.requests <- r
		if _, err := c.Write([]byte(strings.ReplaceAll(answer, "%s", r.Header.Get("Call")))); err != nil || closes {
			return
		}
	}
}

// forward sends one request through a gateway with customDialect.
func (s *scriptedTarget) forward(t *testing.T, idempotent bool) (*wire.Response, *Gateway) {
	t.Helper()
	g := &Gateway{Self: "node", Incarnation: gateIncarnation, Clock: clock.NewSystem(), Dialect: customDialect()}
	if err := g.Open(); err != nil {
		t.Fatal(err)
	}
	if err := g.Announce(Announcement{Target: "t-1", Address: s.address, Slots: 2, Connections: 9}); err != nil {
		t.Fatal(err)
	}
	return g.Forward(context.Background(), customRequest(1, idempotent)), g
}

// customRequest returns a request with the caller's id c-N, under customDialect.
func customRequest(n int, idempotent bool) *wire.Request {
	var h wire.Headers
	h.Append([]byte("Host"), []byte("h.example"))
	h.Append([]byte("Call"), fmt.Appendf(nil, "c-%d", n))
	return &wire.Request{
		ID: ident.RequestID(strconv.Itoa(n)), Gate: gateIncarnation, Target: "t-1", Attempt: 1, Route: "r", Idempotent: idempotent,
		RemainingMillis: 2000, Method: "GET", URI: []byte("/p"), Headers: h,
	}
}

// TestDialectAnswers guards against a response that is passed on although it is
// incomplete or not the target's own, and against a verdict that the response does
// not justify.
func TestDialectAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer  string
		closes  bool
		verdict result.Verdict
		body    string
		reason  string
	}{
		"whole":        {"HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok", false, result.Ran, "ok", ""},
		"until close":  {"HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\nConnection: close\r\n\r\nlong body", true, result.Ran, "long body", ""},
		"no proof":     {"HTTP/1.1 200 OK\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok", false, result.MayHaveRun, "", reasonUnsigned},
		"encoded":      {"HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", false, result.MayHaveRun, "", reasonUnsigned},
		"cut":          {"HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 9\r\n\r\nok", true, result.MayHaveRun, "", reasonTargetLost},
		"unrun":        {"HTTP/1.1 503 Busy\r\nUnrun: 1\r\nCall: %s\r\nContent-Length: 0\r\n\r\n", false, result.NotRun, "", reasonUnexecuted},
		"other target": {"HTTP/1.1 421 Other\r\nCall: %s\r\nContent-Length: 0\r\n\r\n", false, result.NotRun, "", reasonUnexecuted},
		"failure":      {"HTTP/1.1 500 No\r\nCall: %s\r\nContent-Length: 2\r\n\r\nno", false, result.Ran, "no", ""},
		"late one first": {
			"HTTP/1.1 200 OK\r\nStamp: s\r\nCall: earlier\r\nContent-Length: 3\r\n\r\nold" +
				"HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\nContent-Length: 3\r\n\r\nnew", false, result.Ran, "new", "",
		},
		"nonsense": {"hello\r\n\r\n", true, result.MayHaveRun, "", reasonTargetLost},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp, _ := newScriptedTarget(t, c.answer, c.closes).forward(t, false)
			is.Equal(resp.Verdict, c.verdict)
			is.Equal(string(resp.Body), c.body)
			is.Equal(resp.Reason, c.reason)
			is.Equal(resp.Arrived, true)
		})
	}
}

// TestExtraAnswer guards against a second response to one request that is read as the
// response to the next request.
func TestExtraAnswer(t *testing.T) {
	is := is.New(t)
	one := "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 2\r\n\r\n"
	resp, g := newScriptedTarget(t, one+"ok"+one+"no", false).forward(t, true)
	is.Equal(string(resp.Body), "ok")
	for n := 2; n < 5; n++ {
		resp = g.Forward(context.Background(), customRequest(n, true))
		is.Equal(string(resp.Body), "ok")
	}
}

// TestDialectRequest guards against a caller's header fields that are forwarded in
// place of those that the node sets, and against a request without the fields that
// the target needs.
func TestDialectRequest(t *testing.T) {
	is := is.New(t)
	s := newScriptedTarget(t, "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok", false)
	f := newFleet(t, 4)
	g := &Gateway{Self: "ingress", Incarnation: gateIncarnation, Clock: clock.NewSystem(), Dialect: customDialect()}
	is.NoErr(g.Open())
	is.NoErr(g.Announce(Announcement{Target: "t-1", Address: s.address, Slots: 2, Connections: 9}))
	in := newCustomIngress(t, f, g)
	resp, body, err := send(http.DefaultClient, in, "/order/x", "cartons=3",
		"Call", "c-9", "From-Service", "forged", "For-Target", "forged", "Time-Left", "700")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "ok")
	is.Equal(resp.Header.Get("Stamp"), "s")
	is.Equal(resp.Header.Get(headerVerdict), "")
	got := <-s.requests
	is.Equal(got.Header.Values("From-Service"), []string{"shop"})
	is.Equal(got.Header.Values("For-Target"), []string{"t-1"})
	is.Equal(got.Header.Values("Call"), []string{"c-9"})
	left, err := strconv.Atoi(got.Header.Get("Time-Left"))
	is.NoErr(err)
	is.True(left > 0 && left <= 700)
	is.Equal(len(got.Header.Values("Time-Left")), 1)
}

// decisionSink records decisions.
type decisionSink struct {
	mu        sync.Mutex
	decisions []logs.Decision
}

func (s *decisionSink) Record(d logs.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decisions = append(s.decisions, d)
}

// TestRefusalIsLogged guards against a request that is refused before it is routed
// and does not appear in the decision log.
func TestRefusalIsLogged(t *testing.T) {
	is := is.New(t)
	g := &Gateway{Self: "ingress", Incarnation: gateIncarnation, Clock: clock.NewSystem(), Dialect: customDialect()}
	is.NoErr(g.Open())
	in := newCustomIngress(t, newFleet(t, 4), g)
	sink := &decisionSink{}
	in.Log = sink
	resp, _, err := send(http.DefaultClient, in, "/nowhere", "", "Call", "c-10")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusNotFound)
	sink.mu.Lock()
	defer sink.mu.Unlock()
	is.Equal(len(sink.decisions), 1)
	is.Equal(sink.decisions[0].Kind, logs.Answer)
	is.Equal(sink.decisions[0].Request, ident.RequestID("c-10"))
	is.Equal(sink.decisions[0].Reason, reasonNoRoute)
	is.Equal(sink.decisions[0].Version, ident.Version(1))
}

// newCustomIngress starts an ingress with customDialect whose only target is behind
// its own gateway g.
func newCustomIngress(t *testing.T, f *fleet, g *Gateway) *Ingress {
	t.Helper()
	release := f.view.Release()
	f.view = view.Build(release, []member.Record{{
		Node: "ingress", Service: "shop", Target: "t-1", TargetState: member.Ready,
		GateIncarnation: gateIncarnation, FailureDomain: "a", Region: "r", PeerAddress: "peer",
	}})
	random := rand.New(rand.NewPCG(1, 2))
	in := &Ingress{
		Self: "ingress", Listen: "127.0.0.1:0", Clock: clock.NewSystem(), Gateway: g, Dialect: customDialect(), Service: "shop",
		Picker: &route.Picker{Self: "ingress", FailureDomain: "a", Region: "r", Rand: random},
		Policy: &retry.Policy{WindowBudget: &retry.WindowBudget{Fixed: 9, WindowMillis: clock.Second, Nodes: 1}, Rand: random},
	}
	if err := in.Open(); err != nil {
		t.Fatal(err)
	}
	in.SetView(f.view, 1)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- in.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return in
}
