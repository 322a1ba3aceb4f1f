package grant

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

// sum adds up the admitted requests of all nodes.
func sum(admitted map[int]int) int {
	n := 0
	for _, v := range admitted {
		n += v
	}
	return n
}

// TestOneNodeTakesWholeCap guards against a cap that is divided into fixed shares, so that
// a team whose requests all reach one node gets a part of it.
func TestOneNodeTakesWholeCap(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(8)
	l := Limits{Rate: 100, Burst: 100}
	got := sum(f.load(5*clock.Second, l, map[int]float64{f.other(testTeam): 300}))
	is.True(float64(got) >= 0.99*600)
	is.True(float64(got) <= bound(l, 5*clock.Second))
}

// TestNodesShareCapByDemand guards against a cap that each node applies on its own, and
// against grants that go to the nodes that ask first or most often.
func TestNodesShareCapByDemand(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(8)
	l := Limits{Rate: 200, Burst: 50}
	demand := map[int]float64{0: 400, 1: 100, 2: 100, 3: 100, 4: 100}
	f.load(2*clock.Second, l, demand)
	got := f.load(5*clock.Second, l, demand)
	is.True(float64(sum(got)) >= 0.95*1000)
	is.True(float64(sum(got)) <= bound(l, 5*clock.Second))
	for i := 1; i < 5; i++ {
		ratio := float64(got[0]) / float64(got[i])
		is.True(ratio > 3 && ratio < 5)
	}
}

// TestBelowCap guards against requests below the cap that are refused, because tokens lie
// at nodes that do not use them.
func TestBelowCap(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(8)
	l := Limits{Rate: 60, Burst: 60}
	got := f.load(10*clock.Second, l, map[int]float64{0: 1, 1: 2, 2: 5, 3: 9, 4: 1, 5: 1, 6: 15, 7: 6})
	is.True(sum(got) >= 398) // 40 a second
}

// TestRefusalStatesTime guards against refusals without a time, or with one at which a
// request is refused again although no other came in between.
func TestRefusalStatesTime(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(3)
	l := Limits{Rate: 4, Burst: 4}
	i := f.other(testTeam)
	d := f.take(t, i, l)
	for d.Outcome == Admitted {
		d = f.take(t, i, l)
	}
	is.Equal(d.Outcome, Refused)
	is.True(d.RetryMillis > 0 && d.RetryMillis <= 3*clock.Second)
	f.run(d.RetryMillis, nil)
	is.Equal(f.take(t, i, l).Outcome, Admitted)
}

// TestOverloadAsksSeldom guards against a message for each refused request.
func TestOverloadAsksSeldom(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(3)
	l := Limits{Rate: 20, Burst: 5}
	i := f.other(testTeam)
	f.load(clock.Second, l, map[int]float64{i: 500})
	f.sent = [2]int{}
	f.load(10*clock.Second, l, map[int]float64{i: 500})
	is.True(f.sent[Request] <= 110)
}

// TestLostMessages guards against tokens that are lost with a Reply, and against tokens that
// count twice after one.
func TestLostMessages(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(3)
	l := Limits{Rate: 100, Burst: 100}
	n := 0
	f.dropped = func(_ ident.NodeID, a Action) bool { n++; return n%5 == 0 }
	got := sum(f.load(10*clock.Second, l, map[int]float64{f.other(testTeam): 60}))
	is.True(got >= 540)
	got = sum(f.load(5*clock.Second, l, map[int]float64{f.other(testTeam): 500}))
	is.True(float64(got) <= bound(l, 5*clock.Second))
}

// TestTokensLapse guards against a node that uses its tokens after a pause, when the
// coordinator has handed them out again.
func TestTokensLapse(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(3)
	l := Limits{Rate: 100, Burst: 100}
	i := f.other(testTeam)
	f.load(2*clock.Second, l, map[int]float64{i: 50})
	u := f.agents[i].node.usages[testTeam]
	is.True(u.tokens > 0)
	f.now += leaseMillis
	is.Equal(f.agents[i].Take(f.now, testTeam, l).Outcome, Waiting)
	is.Equal(u.tokens, 0)
}

// TestLateReply guards against tokens of a Reply that arrives after its lease, or after a
// later Request.
func TestLateReply(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(3)
	l := Limits{Rate: 100, Burst: 100}
	i := f.other(testTeam)
	var replies []Action
	f.dropped = func(_ ident.NodeID, a Action) bool {
		if a.Message.Kind == Reply {
			replies = append(replies, a)
		}
		return a.Message.Kind == Reply
	}
	f.take(t, i, l)
	a := f.agents[i]
	from := Member{Node: nodeName(f.coordinator(testTeam))}
	f.now += leaseMillis
	a.Receive(f.now, from, &replies[len(replies)-1].Message)
	is.Equal(a.node.usages[testTeam].tokens, 0)
	f.take(t, i, l)
	a.Receive(f.now, from, &replies[0].Message)
	is.Equal(a.node.usages[testTeam].tokens, 0)
}

// TestRestartedNode guards against a refund of tokens that a node used before it restarted.
func TestRestartedNode(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(3)
	l := Limits{Rate: 100, Burst: 100}
	i := f.other(testTeam)
	total := 0
	for range 10 {
		total += sum(f.load(500*clock.Millis(1), l, map[int]float64{i: 400}))
		f.start(i)
		f.tellMembers(i, 3)
	}
	is.True(float64(total) <= bound(l, 5*clock.Second))
}

// TestSilentCoordinator guards against requests that wait or are all refused while the
// coordinator does not answer, and against the safe part going on when it does.
func TestSilentCoordinator(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(4)
	l := Limits{Rate: 100, Burst: 100}
	i, coordinator := f.other(testTeam), f.coordinator(testTeam)
	f.load(clock.Second, l, map[int]float64{i: 10})
	f.cut[nodeName(coordinator)] = true
	got := sum(f.load(4*clock.Second, l, map[int]float64{i: 10}))
	is.True(got >= 38) // a fourth of the cap is 25/s
	is.True(f.agents[i].Take(f.now, testTeam, l).Outcome != Waiting)
	f.cut = nil
	f.load(2*clock.Second, l, map[int]float64{i: 10})
	is.Equal(f.take(t, i, l).Outcome, Admitted)
}

// TestSmallTeamRecovers guards against a small team, whose requests the safe part refuses,
// that goes on to be refused when the coordinator answers again.
func TestSmallTeamRecovers(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(16)
	l := Limits{Rate: 1, Burst: 3}
	i := f.other(testTeam)
	f.cut[nodeName(i)] = true
	for range 5 {
		f.take(t, i, l)
		f.run(probeMillis, nil)
	}
	f.cut = nil
	f.agents[i].Take(f.now, testTeam, l)
	f.run(50*clock.Millis(1), nil)
	is.Equal(f.take(t, i, l).Outcome, Admitted)
}

// TestSafeParts guards against nodes that together exceed the cap when none reaches the
// coordinator.
func TestSafeParts(t *testing.T) {
	is := is.New(t)
	for _, l := range []Limits{{Rate: 5, Burst: 5}, {Rate: 100}, {Rate: 800, Burst: 800}} {
		f := newTestFleet(61)
		demand := make(map[int]float64)
		for i := range f.agents {
			demand[i] = l.Rate
		}
		f.load(2*clock.Second, l, demand)
		for i := range f.agents {
			f.cut[nodeName(i)] = true
		}
		is.True(float64(sum(f.load(5*clock.Second, l, demand))) <= bound(l, 5*clock.Second))
	}
}

// TestDeclined guards against two coordinators while views of the fleet differ, and against
// requests that then wait in vain.
func TestDeclined(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(4)
	l := Limits{Rate: 100, Burst: 100}
	coordinator := f.coordinator(testTeam)
	// One node does not know the coordinator yet, and takes another for it.
	var list []Member
	for j := range f.agents {
		if j != coordinator {
			list = append(list, Member{Node: nodeName(j)})
		}
	}
	i := f.other(testTeam)
	f.agents[i].SetMembers(f.now, list, len(f.agents))
	if m, _ := f.agents[i].members.coordinator(hashOf(testTeam)); m.Node == nodeName(i) {
		f.tellMembers(i, len(f.agents))
		i = (i + 1) % len(f.agents)
		f.agents[i].SetMembers(f.now, list, len(f.agents))
	}
	start := f.now
	f.take(t, i, l)
	is.True(f.now-start < 10*clock.Millis(1))
	for j, other := range f.agents {
		is.Equal(other.Coordinates(testTeam) && j != coordinator, false)
	}
}

// TestNewCoordinatorStartsEmpty guards against a burst that two coordinators hand out one
// after the other.
func TestNewCoordinatorStartsEmpty(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(4)
	l := Limits{Rate: 10, Burst: 300}
	i := f.other(testTeam)
	total := sum(f.load(clock.Second, l, map[int]float64{i: 400}))
	// The highest node departs, whichever coordinates the team, until another does.
	before := f.coordinator(testTeam)
	for j := range f.agents {
		var list []Member
		for k := range f.agents {
			if k != before {
				list = append(list, Member{Node: nodeName(k)})
			}
		}
		f.agents[j].SetMembers(f.now, list, len(f.agents))
	}
	total += sum(f.load(4*clock.Second, l, map[int]float64{i: 400}))
	is.True(float64(total) <= bound(l, 5*clock.Second))
}

// TestPausedCoordinator guards against a coordinator that hands out a full stock after a
// pause in which another coordinated its teams.
func TestPausedCoordinator(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(3)
	l := Limits{Rate: 100, Burst: 500}
	coordinator := f.coordinator(testTeam)
	f.load(clock.Second, l, map[int]float64{f.other(testTeam): 20})
	a := f.agents[coordinator]
	is.True(a.coordinator.pools[testTeam].stock > 100)
	a.Tick(f.now + pauseMillis)
	is.True(!a.Coordinates(testTeam))
	f.now += leaseMillis // no node has tokens any more
	f.take(t, f.other(testTeam), l)
	is.True(a.coordinator.pools[testTeam].stock < 50)
}

// TestHealedFleet guards against a coordinator that hands out the stock of the smaller part of
// a divided fleet, when another has handed out that of the larger part.
func TestHealedFleet(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(5)
	l := Limits{Rate: 100, Burst: 100}
	coordinator := f.coordinator(testTeam)
	f.load(clock.Second, l, map[int]float64{f.other(testTeam): 20})
	a := f.agents[coordinator]
	all := make([]Member, 0, len(f.agents))
	for i := range f.agents {
		all = append(all, Member{Node: nodeName(i)})
	}
	own := Member{Node: nodeName(coordinator)}
	a.SetMembers(f.now, []Member{own}, len(f.agents))
	is.True(a.Coordinates(testTeam))
	a.SetMembers(f.now, all, len(f.agents))
	is.True(!a.Coordinates(testTeam))
	is.Equal(a.members.startedAt, f.now)
}

// TestLoweredCap guards against tokens of an earlier, higher cap.
func TestLoweredCap(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(4)
	high, low := Limits{Rate: 400, Burst: 400}, Limits{Rate: 20, Burst: 20}
	demand := map[int]float64{0: 90, 1: 90, 2: 90, 3: 90}
	f.load(2*clock.Second, high, demand)
	for _, a := range f.agents {
		a.SetTeams(2, []model.Team{{Name: testTeam, RequestsPerSecond: low.Rate, BurstRequests: low.Burst}})
	}
	is.True(float64(sum(f.load(5*clock.Second, low, demand))) <= bound(low, 5*clock.Second))
	for _, a := range f.agents {
		a.SetTeams(3, []model.Team{{Name: testTeam, RequestsPerSecond: high.Rate, BurstRequests: high.Burst}})
	}
	f.load(clock.Second, high, demand)
	is.True(sum(f.load(2*clock.Second, high, demand)) >= 710)
}

// TestReturn guards against requests that never reached a target and still count.
func TestReturn(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(3)
	l := Limits{Rate: 1, Burst: 10}
	i := f.other(testTeam)
	for range 200 {
		is.Equal(f.take(t, i, l).Outcome, Admitted)
		f.agents[i].Return(f.now, testTeam)
	}
}

// TestStateIsDropped guards against memory for teams without traffic.
func TestStateIsDropped(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(3)
	l := Limits{Rate: 100, Burst: 10}
	f.load(clock.Second, l, map[int]float64{0: 30, 1: 30, 2: 30})
	f.now += poolIdleMillis + sweepMillis
	f.run(10*clock.Millis(1), nil)
	for _, a := range f.agents {
		used, coordinated := a.Teams()
		is.Equal(used+coordinated, 0)
		is.Equal(len(a.node.links), 0)
	}
}

// TestUnknownTeamsAreBounded guards against a node that makes a coordinator keep state
// without bound.
func TestUnknownTeamsAreBounded(t *testing.T) {
	is := is.New(t)
	a := NewAgent(0, testConfig, "n0", 1, rand.New(rand.NewPCG(1, 1)))
	a.SetMembers(0, []Member{{Node: "n0"}}, 1)
	m := Message{Asks: []Ask{{RequestsPerSecond: 1, Waiting: 1, Demand: 1}}}
	for i := range maxPools + 100 {
		m.Asks[0].Team = testTeam + teamSuffix(i)
		a.coordinator.request(aloneMillis, "n1", &m)
	}
	_, coordinated := a.Teams()
	is.Equal(coordinated, maxPools)
}

// TestTakeAllocates guards against allocations for requests of a node with tokens.
func TestTakeAllocates(t *testing.T) {
	f := newTestFleet(3)
	l := Limits{Rate: 1e6, Burst: 1e6}
	i := f.other(testTeam)
	f.load(clock.Second, l, map[int]float64{i: 5000})
	a := f.agents[i]
	if n := testing.AllocsPerRun(200, func() { a.Take(f.now, testTeam, l) }); n > 0 {
		t.Fatalf("%v allocations", n)
	}
}

// BenchmarkTake measures a request at a node with tokens.
func BenchmarkTake(b *testing.B) {
	f := newTestFleet(3)
	l := Limits{Rate: 1e6, Burst: 1e6}
	i := f.other(testTeam)
	f.load(clock.Second, l, map[int]float64{i: 5000})
	for b.Loop() {
		f.agents[i].Take(f.now, testTeam, l)
	}
}
