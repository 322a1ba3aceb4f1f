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

// foreign is a dialect with other names than the product's own.
func foreign() Dialect {
	return Dialect{
		Timeout: "Time-Left", Request: "Call", Origin: "From-Service", Target: "For-Target", Proof: "Stamp", Plain: true,
		Unexecuted: func(status int, header func(string) []byte) bool {
			return status == http.StatusMisdirectedRequest || len(header("Unrun")) > 0
		},
	}
}

// scripted is a target that answers each connection's requests with the given bytes
// and keeps the requests.
type scripted struct {
	address  string
	requests chan *http.Request
}

// newScripted starts a target; %s in an answer stands for the request's id. With
// closes, each connection ends with its answer.
func newScripted(t *testing.T, answer string, closes bool) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &scripted{address: l.Addr().String(), requests: make(chan *http.Request, 16)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, answer, closes)
		}
	}()
	return s
}

// serve answers the requests of one connection.
func (s *scripted) serve(c net.Conn, answer string, closes bool) {
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

// forward sends one request through a gateway that speaks a foreign dialect.
func (s *scripted) forward(t *testing.T, idempotent bool) (*wire.Response, *Gateway) {
	t.Helper()
	g := &Gateway{Self: "node", Incarnation: gateLife, Clock: clock.NewSystem(), Dialect: foreign()}
	if err := g.Open(); err != nil {
		t.Fatal(err)
	}
	if err := g.Announce(Announcement{Target: "t-1", Address: s.address, Slots: 2, Connections: 9}); err != nil {
		t.Fatal(err)
	}
	return g.Forward(context.Background(), foreignRequest(1, idempotent)), g
}

// foreignRequest returns a request with the caller's id c-N.
func foreignRequest(n int, idempotent bool) *wire.Request {
	var h wire.Headers
	h.Append([]byte("Host"), []byte("h.example"))
	h.Append([]byte("Call"), fmt.Appendf(nil, "c-%d", n))
	return &wire.Request{
		ID: ident.RequestID(strconv.Itoa(n)), Gate: gateLife, Target: "t-1", Attempt: 1, Route: "r", Idempotent: idempotent,
		RemainingMillis: 2000, Method: "GET", URI: []byte("/p"), Headers: h,
	}
}

// TestForeignAnswers guards against an answer that is passed on although it is not
// the target's whole one, and against a verdict that claims more than the answer
// shows.
func TestForeignAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer  string
		closes  bool
		verdict result.Verdict
		body    string
		reason  string
	}{
		"whole":        {"HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok", false, result.Ran, "ok", ""},
		"until close":  {"HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\nConnection: close\r\n\r\nlong body", true, result.Ran, "long body", ""},
		"no proof":     {"HTTP/1.1 200 OK\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok", false, result.MayHaveRun, "", reasonProof},
		"encoded":      {"HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", false, result.MayHaveRun, "", reasonProof},
		"cut":          {"HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 9\r\n\r\nok", true, result.MayHaveRun, "", reasonTargetLost},
		"unrun":        {"HTTP/1.1 503 Busy\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n", false, result.NotRun, "", reasonUnexecuted},
		"other target": {"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", false, result.NotRun, "", reasonUnexecuted},
		"failure":      {"HTTP/1.1 500 No\r\nCall: %s\r\nContent-Length: 2\r\n\r\nno", false, result.Ran, "no", ""},
		"late one first": {
			"HTTP/1.1 200 OK\r\nStamp: s\r\nCall: earlier\r\nContent-Length: 3\r\n\r\nold" +
				"HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\nContent-Length: 3\r\n\r\nnew", false, result.Ran, "new", "",
		},
		"nonsense": {"hello\r\n\r\n", true, result.MayHaveRun, "", reasonTargetLost},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp, _ := newScripted(t, c.answer, c.closes).forward(t, false)
			is.Equal(resp.Verdict, c.verdict)
			is.Equal(string(resp.Body), c.body)
			is.Equal(resp.Reason, c.reason)
			is.Equal(resp.Arrived, true)
		})
	}
}

// TestExtraAnswer guards against the second answer to a request that becomes the
// answer to the next one.
func TestExtraAnswer(t *testing.T) {
	is := is.New(t)
	one := "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 2\r\n\r\n"
	resp, g := newScripted(t, one+"ok"+one+"no", false).forward(t, true)
	is.Equal(string(resp.Body), "ok")
	for n := 2; n < 5; n++ {
		resp = g.Forward(context.Background(), foreignRequest(n, true))
		is.Equal(string(resp.Body), "ok")
	}
}

// TestForeignRequest guards against header fields of the caller that pass for the
// node's own, and against a request without the fields that the target needs.
func TestForeignRequest(t *testing.T) {
	is := is.New(t)
	s := newScripted(t, "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok", false)
	f := newFleet(t, 4)
	g := &Gateway{Self: "ingress", Incarnation: gateLife, Clock: clock.NewSystem(), Dialect: foreign()}
	is.NoErr(g.Open())
	is.NoErr(g.Announce(Announcement{Target: "t-1", Address: s.address, Slots: 2, Connections: 9}))
	in := newForeignIngress(t, f, g)
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

// lineSink keeps decisions.
type lineSink struct {
	mu    sync.Mutex
	lines []logs.Decision
}

func (s *lineSink) Record(d logs.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, d)
}

// TestRefusalHasLine guards against a request that is refused before it is routed and
// that the log does not know.
func TestRefusalHasLine(t *testing.T) {
	is := is.New(t)
	g := &Gateway{Self: "ingress", Incarnation: gateLife, Clock: clock.NewSystem(), Dialect: foreign()}
	is.NoErr(g.Open())
	in := newForeignIngress(t, newFleet(t, 4), g)
	sink := &lineSink{}
	in.Log = sink
	resp, _, err := send(http.DefaultClient, in, "/nowhere", "", "Call", "c-10")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusNotFound)
	sink.mu.Lock()
	defer sink.mu.Unlock()
	is.Equal(len(sink.lines), 1)
	is.Equal(sink.lines[0].Kind, logs.Answer)
	is.Equal(sink.lines[0].Request, ident.RequestID("c-10"))
	is.Equal(sink.lines[0].Reason, reasonNoRoute)
	is.Equal(sink.lines[0].Version, ident.Version(1))
}

// newForeignIngress starts an ingress whose one target is behind its own gateway.
func newForeignIngress(t *testing.T, f *fleet, g *Gateway) *Ingress {
	t.Helper()
	release := f.view.Release()
	f.view = view.Build(release, []member.Record{{
		Node: "ingress", Service: "shop", Target: "t-1", TargetState: member.Ready,
		GateIncarnation: gateLife, FailureDomain: "a", Region: "r", PeerAddress: "peer",
	}})
	random := rand.New(rand.NewPCG(1, 2))
	in := &Ingress{
		Self: "ingress", Listen: "127.0.0.1:0", Clock: clock.NewSystem(), Gateway: g, Dialect: foreign(), Service: "shop",
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
