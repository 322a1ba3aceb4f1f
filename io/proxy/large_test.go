package proxy

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/result"
	"hickoryrail/io/wire"
)

// busySender is a link that sends nothing before the goal of any call.
type busySender struct{}

// Backlog implements admit.Sender.
func (busySender) Backlog() (ident.Bytes, float64) { return 1 << 40, 1 }

// TestLinkRefusesLargeAnswers guards against a request for a large answer that runs although
// the link cannot send the answer in time, or that is refused without a certain verdict, and
// against other requests that are refused for the link.
func TestLinkRefusesLargeAnswers(t *testing.T) {
	is := is.New(t)
	s := newTurnTarget(t, func(int, int) string { return answerOK })
	registry := prometheus.NewRegistry()
	g := &Gateway{
		Self: "node", Incarnation: gateIncarnation, Clock: clock.NewSystem(), Dialect: customDialect(),
		Sender: busySender{}, Order: admit.ByGoal, Registry: registry,
	}
	is.NoErr(g.Open())
	is.NoErr(g.Announce(Announcement{Target: "t-1", Address: s.address, Slots: 2, Connections: 9}))
	n := 0
	forward := func(route ident.RouteName) *wire.Response {
		n++
		r := customRequest(n, true)
		r.Route = route
		return g.Forward(context.Background(), r)
	}
	g.SetLargeRoutes([]ident.RouteName{"download"})
	resp := forward("download")
	is.Equal(resp.Verdict, result.NotRun)
	is.Equal(resp.Reason, admit.ReasonLink)
	is.True(!resp.Arrived)
	is.Equal(len(s.seen()), 0)
	is.Equal(forward("lookup").Verdict, result.Ran)
	g.SetLargeRoutes(nil)
	is.Equal(forward("download").Verdict, result.Ran)
	is.Equal(len(s.seen()), 2)
	families, err := registry.Gather()
	is.NoErr(err)
	for _, f := range families {
		if f.GetName() == "hickoryrail_gateway_link_refused_total" {
			is.Equal(f.GetMetric()[0].GetCounter().GetValue(), 1.0)
		}
	}
}

// idleSender is a link with room.
type idleSender struct{}

// Backlog implements admit.Sender.
func (idleSender) Backlog() (ident.Bytes, float64) { return 0, 1e9 }

// TestSizeOfFailuresIsIgnored guards against a gate that expects small answers because its
// target has failed, and then admits more than the link can send.
func TestSizeOfFailuresIsIgnored(t *testing.T) {
	is := is.New(t)
	running, release := make(chan struct{}), make(chan struct{})
	s := newTurnTarget(t, func(_, turn int) string {
		switch turn {
		case 0:
			return strings.Replace(answerOK, "200 OK", "500 Failed", 1)
		case 1, 3:
			running <- struct{}{}
			<-release
		}
		return answerOK
	})
	g := &Gateway{Self: "node", Incarnation: gateIncarnation, Clock: clock.NewSystem(), Dialect: customDialect(), Sender: idleSender{}}
	is.NoErr(g.Open())
	is.NoErr(g.Announce(Announcement{Target: "t-1", Address: s.address, Slots: 2, Connections: 9}))
	g.SetLargeRoutes([]ident.RouteName{"download"})
	forward := func(n int) {
		r := customRequest(n, true)
		r.Route = "download"
		is.Equal(g.Forward(context.Background(), r).Verdict, result.Ran)
	}
	// expected returns the expected bytes of the answer to a request while that runs.
	expected := func(n int) float64 {
		done := make(chan struct{})
		go func() {
			forward(n)
			close(done)
		}()
		<-running
		bytes := g.answerBytes()
		release <- struct{}{}
		<-done
		return bytes
	}
	forward(1)                        // a failure
	unknown := expected(2)            // as before the first answer
	forward(3)                        // a second answer of two bytes
	is.True(unknown > 100_000)        // the failure of two bytes does not count
	is.Equal(expected(4), float64(2)) // the answers do
	is.Equal(g.answerBytes(), 0.0)
}
