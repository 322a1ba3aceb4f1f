package grant

import (
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

// teamSuffix returns a suffix that makes names distinct.
func teamSuffix(i int) ident.TeamName {
	return ident.TeamName(strconv.Itoa(i))
}

// membersOf returns the view of a node that knows a number of members, some of which are
// live.
func membersOf(live, known int) *members {
	m := &members{self: nodeName(0), selfHash: hashOf(nodeName(0))}
	var list []Member
	for i := range live {
		list = append(list, Member{Node: nodeName(i)})
	}
	m.set(0, list, known)
	return m
}

// TestDividedFleet guards against parts of a divided fleet that together hand out more than
// the cap, and against nodes whose end costs others a part of it.
func TestDividedFleet(t *testing.T) {
	is := is.New(t)
	now := clock.Minute
	for _, known := range []int{1, 2, 3, 16, 61, 790} {
		for live := 1; live < known; live++ {
			both := membersOf(live, known).share(now, 0) + membersOf(known-live, known).share(now, 0)
			is.True(both <= 1+missingTolerance+1e-9)
			// The other nodes have no coordinator.
			alone := membersOf(live, known).share(now, 0) + safeShare*float64(known-live)/float64(known)
			is.True(alone <= 1+missingTolerance+1e-9)
			is.Equal(membersOf(known, known).share(now, known-live), membersOf(live, known).share(now, 0))
		}
		is.Equal(membersOf(known, known).share(now, 0), 1.0)
	}
	is.Equal(membersOf(60, 61).share(now, 0), 1.0)
}

// TestFreshNodeIsNotAlone guards against a node that takes itself for the whole fleet just
// after its start, and hands out the whole cap.
func TestFreshNodeIsNotAlone(t *testing.T) {
	is := is.New(t)
	m := membersOf(1, 1)
	is.Equal(m.nodes(0), assumedNodes)
	is.Equal(m.nodes(aloneMillis), 1) // a fleet of one node
	c := coordinator{config: testConfig, members: m, pools: make(map[ident.TeamName]*pool)}
	request := Message{Asks: []Ask{{Team: testTeam, RequestsPerSecond: 10, Waiting: 1, Demand: 1}}}
	is.True(c.request(0, "n1", &request).Grants[0].Declined)
}

// TestUnreachedMembers guards against a coordinator that hands out the whole cap while members
// which have never asked it have no contact with it.
func TestUnreachedMembers(t *testing.T) {
	is := is.New(t)
	m := membersOf(61, 61)
	for unreached := range 61 {
		m.unreached = unreached
		is.Equal(m.share(clock.Minute, 0), membersOf(61-unreached, 61).share(clock.Minute, 0))
		is.Equal(m.share(clock.Minute, 60), membersOf(1, 61).share(clock.Minute, 0))
	}
}

// TestSilentHoldersLeaveTheBurst guards against requests within a cap that are refused because
// many nodes have had no requests of the team for a moment: they count as silent, which must
// not take away the stock.
func TestSilentHoldersLeaveTheBurst(t *testing.T) {
	is := is.New(t)
	m := membersOf(61, 61)
	limits := Limits{Rate: 100, Burst: 100}
	p := &pool{config: testConfig, limits: limits, capacity: testConfig.capacity(limits), holders: make(map[ident.NodeID]*holder)}
	p.stock, p.at, p.silentAt, p.silent = p.capacity, clock.Minute, clock.Minute, 40
	p.accrue(clock.Minute, m)
	is.True(p.share < 0.5)
	is.Equal(p.stock, p.capacity)
	m.unreached = 40
	p.accrue(clock.Minute, m)
	is.True(p.stock < p.capacity/2)
}

// TestSince guards against a new coordinator that starts with a full stock, and against an
// old one that starts without one.
func TestSince(t *testing.T) {
	is := is.New(t)
	m := membersOf(3, 3)
	team := hashOf(testTeam)
	is.Equal(m.since(team), clock.Millis(0))
	var highest Member
	highest, _ = m.coordinator(team)
	var rest []Member
	for _, l := range m.live {
		if l.Node != highest.Node {
			rest = append(rest, l.Member)
		}
	}
	m.set(clock.Minute, rest, 3)
	if highest.Node != m.self {
		is.Equal(m.since(team), clock.Minute)
	}
	m.set(clock.Minute+departureMillis, rest, 3)
	is.Equal(m.since(team), clock.Millis(0))
}

// TestFewTeamsMove guards against a change of the members that gives teams of other nodes
// another coordinator.
func TestFewTeamsMove(t *testing.T) {
	is := is.New(t)
	before, after := membersOf(61, 61), membersOf(60, 61)
	moved := 0
	for i := range 2000 {
		team := hashOf(testTeam + teamSuffix(i))
		a, _ := before.coordinator(team)
		b, _ := after.coordinator(team)
		if a != b {
			is.Equal(a.Node, nodeName(60))
			moved++
		}
	}
	is.True(moved > 10 && moved < 70)
}

// TestExtremeTeams guards against a team whose cap or name makes messages invalid, which
// would take away the tokens of all other teams in them.
func TestExtremeTeams(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(3)
	i := f.other(testTeam)
	team := model.Team{RequestsPerSecond: 1e300, BurstRequests: 1e300}
	f.load(clock.Second, LimitsOf(&team), map[int]float64{i: 100})
	long := testTeam + ident.TeamName(strings.Repeat("x", maxTeamBytes))
	is.True(f.agents[i].Take(f.now, long, Limits{Rate: 1, Burst: 1}).Outcome != Waiting)
	f.dropped = func(_ ident.NodeID, a Action) bool {
		is.True(a.Message.Valid())
		return false
	}
	f.agents[i].node.usages[testTeam].arrived = maxCount + 1
	is.True(f.load(clock.Second, LimitsOf(&team), map[int]float64{i: 100})[i] >= 99) // the last may still wait
}
