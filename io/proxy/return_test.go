package proxy

import (
	"fmt"
	"math/rand/v2"
	"testing"

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

// TestReturnsOfRefusals guards against a burst of refused callers that are all asked to come
// back into it, and against other delays where the configuration has no teams or the refusal
// has another cause.
func TestReturnsOfRefusals(t *testing.T) {
	is := is.New(t)
	in := newTeamIngress(t, teamRules())
	in.Returns = &retry.Returns{Rand: rand.New(rand.NewPCG(1, 2))}
	in.Picker = &route.Picker{Self: "n", FailureDomain: "a", Region: "r", Rand: rand.New(rand.NewPCG(1, 2))}
	refuse := func(rules *call, reason string) clock.Millis {
		resp := notRun(reason)
		in.nameReturn(rules, resp)
		return resp.RetryAfterMillis
	}
	now := in.Clock.Now()
	c, refusal := in.newCall(t.Context(), requestWith("/order/x"), now)
	is.True(refusal == nil)
	c.callerDeadline = now + 6000
	for range 20 {
		refuse(c, admit.ReasonGoal)
	}
	is.True(refuse(c, admit.ReasonGoal) > 500)            // in the upper half of a third of the caller's time
	is.Equal(refuse(c, reasonDraining), clock.Millis(0))  // another target may serve at once
	in.nameReturn(c, &wire.Response{Verdict: result.Ran}) // counts an answer
	c.view = viewOf(t, 2, configuration(4))
	is.Equal(refuse(c, admit.ReasonGoal), clock.Millis(0)) // no teams
	pace(t, in.Clock.Now(), in.Picker, c)
	in.paceStated.Store(true)
	is.True(refuse(c, admit.ReasonGoal) > 500) // targets that state their pace
}

// pace makes the picker hear the pace of a target of a call's service.
func pace(t *testing.T, now clock.Millis, p *route.Picker, c *call) {
	t.Helper()
	r, err := model.NewRelease(3, "e", configuration(4))
	if err != nil {
		t.Fatal(err)
	}
	p.SetView(now, view.Build(r, []member.Record{{Node: "n", Service: "shop", Target: "t", TargetState: member.Ready, GateIncarnation: 1}}))
	if _, ok := p.Pick(now, c.route.Service, nil); !ok {
		t.Fatal("no target")
	}
	p.Done(now, "t", route.Outcome{Delay: 10, Verdict: result.Ran, Stated: route.StatedLoad{Slots: 4, Pace: 1}, Gate: 1})
}

// TestGateTeams guards against a gate that does not learn the teams of its calls, and against
// one that divides its slots by a header of callers where the configuration has no teams.
func TestGateTeams(t *testing.T) {
	for _, teams := range []bool{true, false} {
		t.Run(fmt.Sprint("teams ", teams), func(t *testing.T) {
			is := is.New(t)
			g := &Gateway{Self: "n", Incarnation: gateIncarnation, Clock: clock.NewSystem(), Order: admit.ByGoal, QueueLength: 2}
			is.NoErr(g.Open())
			is.NoErr(g.Announce(Announcement{Target: "t", Address: "127.0.0.1:1", Slots: 1, Connections: 9}))
			g.SetTeams(teams)
			arrive := func(id, team string) *gateCall {
				c := &gateCall{request: &wire.Request{ID: ident.RequestID(id), Gate: gateIncarnation, Target: "t", Rank: 3, Attempt: 1}}
				c.request.Headers.Append([]byte(headerTeam), []byte(team))
				now := g.Clock.Now()
				_, _, _ = g.arrive(now, now+10_000, c)
				return c
			}
			arrive("run", "a")
			arrive("first", "a")
			last := arrive("last", "a")
			other := arrive("other", "b")
			is.Equal(last.decided, teams)   // displaced by the other team's call
			is.Equal(other.decided, !teams) // or that is refused
		})
	}
}
