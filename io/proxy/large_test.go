package proxy

import (
	"context"
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
