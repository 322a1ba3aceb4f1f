package node

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/grant"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
	"hickoryrail/core/sets"
	"hickoryrail/io/logs"
	"hickoryrail/io/wire"
)

// testCaps are the usual bounds of the platform.
var testCaps = grant.Config{WindowMillis: 5 * clock.Second, Overage: 0.1, Slack: 20}

// TestCapsOverNodes guards against a cap that each node applies on its own, and against
// requests below the cap that are refused because the nodes do not reach each other.
func TestCapsOverNodes(t *testing.T) {
	is := is.New(t)
	h := newFakePlatform(t)
	h.usageCaps = testCaps
	a, _ := h.start(t, "a")
	b, _ := h.start(t, "b")
	c, _ := h.start(t, "c")
	defer stopNodes(t, a, b, c)
	nodes := []*Node{a, b, c}
	awaitCaps(t, nodes)
	team := &model.Team{Name: "north", RequestsPerSecond: 40, BurstRequests: 40}
	admitted := 0
	for i := range 600 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if _, ok := nodes[i%len(nodes)].ingress.Caps.Take(ctx, team); ok {
			admitted++
		}
		cancel()
	}
	is.True(float64(admitted) <= (40*5+40)*1.1+20)
	is.True(admitted >= 30)
	var byGrant uint64
	for _, n := range nodes {
		byGrant += n.caps.metrics.admittedByGrant.Load()
	}
	is.True(byGrant >= uint64(admitted)/2)
}

// awaitCaps waits until the usage caps of all nodes know the whole fleet, and for 2 s more: a
// new coordinator does not hand out the whole rate at once.
func awaitCaps(t *testing.T, nodes []*Node) {
	t.Helper()
	await(t, "a whole fleet", func() bool {
		for _, n := range nodes {
			n.caps.mu.Lock()
			size := len(n.caps.addresses)
			n.caps.mu.Unlock()
			if size != len(nodes) {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second)
}

// coordinatedTeam returns a team with a usage cap that a node coordinates. No other node has
// asked for it.
func coordinatedTeam(t *testing.T, n *Node) *model.Team {
	t.Helper()
	for i := range 100 {
		team := &model.Team{Name: ident.TeamName("team-" + strconv.Itoa(i)), RequestsPerSecond: 40, BurstRequests: 20}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		n.ingress.Caps.Take(ctx, team)
		n.caps.mu.Lock()
		coordinates := n.caps.agent.Coordinates(team.Name)
		n.caps.mu.Unlock()
		if coordinates {
			return team
		}
	}
	t.Fatal("the node coordinates no team")
	return nil
}

// press lets a team send far more than its cap at all nodes for the window of the cap, and
// returns how many requests were admitted.
func press(nodes []*Node, team *model.Team) int64 {
	var admitted atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(testCaps.WindowMillis.Duration())
	for _, n := range nodes {
		group.Go(func() {
			for time.Now().Before(end) {
				if _, ok := n.ingress.Caps.Take(context.Background(), team); ok {
					admitted.Add(1)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return admitted.Load()
}

// allowed returns how many requests of a team the platform allows in a window.
func allowed(team *model.Team) int64 {
	limit := team.RequestsPerSecond*float64(testCaps.WindowMillis/clock.Second) + team.BurstRequests
	return int64(limit*(1+testCaps.Overage) + testCaps.Slack)
}

// TestCapOfCutCoordinator guards against a coordinator that is cut off from the others, just
// before they get requests of a team for the first time, and hands out the whole cap beside
// their safe parts.
func TestCapOfCutCoordinator(t *testing.T) {
	is := is.New(t)
	h, log := newFakePlatform(t), &safeBuffer{}
	h.usageCaps, h.log = testCaps, log
	nodes := h.startFleet(t, []ident.NodeID{"a", "b", "c"})
	defer stopNodes(t, nodes...)
	awaitCaps(t, nodes)
	team := coordinatedTeam(t, nodes[0])
	h.change(func() { h.cut = sets.Of[ident.NodeID]("a") })
	time.Sleep(200 * time.Millisecond)
	expectWithinCap(t, nodes, team)
	is.True(len(log.fieldsOf(reasonContactLost)) >= 1)
}

// TestCapOfRestartedNode guards against a node that is restarted behind a cut, takes itself
// for the whole fleet and hands out the whole cap, as the others do.
func TestCapOfRestartedNode(t *testing.T) {
	h := newFakePlatform(t)
	h.usageCaps = testCaps
	nodes := h.startFleet(t, []ident.NodeID{"a", "b", "c"})
	awaitCaps(t, nodes)
	team := coordinatedTeam(t, nodes[0])
	h.change(func() { h.cut = sets.Of[ident.NodeID]("c") })
	stopNodes(t, nodes[2])
	nodes[2], _ = h.start(t, "c")
	defer stopNodes(t, nodes...)
	time.Sleep(4 * time.Second) // the time for which a node that knows no other assumes many
	expectWithinCap(t, nodes, team)
}

// expectWithinCap lets a team press against its cap at all nodes for a window.
func expectWithinCap(t *testing.T, nodes []*Node, team *model.Team) {
	t.Helper()
	is := is.New(t)
	admitted := press(nodes, team)
	t.Logf("%d requests admitted, %d are allowed", admitted, allowed(team))
	is.True(admitted <= allowed(team))
}

// TestCapsOff guards against messages or state of usage caps on a platform that does not
// state their bounds, and for teams without a cap.
func TestCapsOff(t *testing.T) {
	is := is.New(t)
	h := newFakePlatform(t)
	a, _ := h.start(t, "a")
	is.True(a.ingress.Caps == nil)
	is.True(a.fleet.caps == nil)
	a.fleet.receive("b", encodeGrant(t)) // a node with other settings
	families, err := a.registry.Gather()
	is.NoErr(err)
	for _, f := range families {
		is.True(!strings.HasPrefix(f.GetName(), "hickoryrail_caps_"))
	}
	stopNodes(t, a)

	c, sent := newTestCaps(t)
	_, ok := c.Take(context.Background(), &model.Team{Name: "uncapped"})
	is.True(ok)
	for range 10 {
		c.tick()
	}
	is.Equal(*sent, 0)
	used, coordinated := c.agent.Teams()
	is.Equal(used+coordinated, 0)
}

// encodeGrant returns an encoded message about usage caps.
func encodeGrant(t *testing.T) []byte {
	t.Helper()
	m := grant.Message{Kind: grant.Request, Asks: []grant.Ask{{Team: "north", RequestsPerSecond: 1, Demand: 1}}}
	body, err := wire.EncodeControl(wire.Control{Grant: &m})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// newTestCaps returns the caps of node a in a fleet with node b, whose messages are counted
// and not delivered. The clock does not move.
func newTestCaps(t *testing.T) (*caps, *int) {
	t.Helper()
	sent := new(int)
	c := newCaps(testCaps, "a", clock.NewManual(clock.Minute), rand.New(rand.NewPCG(1, 2)))
	c.log = logs.Discard{}
	c.send = func(ident.NodeID, string, wire.Control) { *sent++ }
	self := member.Record{Node: "a", PeerAddress: "a:1", Incarnation: 1}
	c.setMembers(self, []member.Record{self, {Node: "b", PeerAddress: "b:1"}, {Node: "gone", State: member.Left}}, 0)
	return c, sent
}

// remoteTeam returns a team that node b coordinates in the fleet of newTestCaps.
func remoteTeam(t *testing.T, c *caps, sent *int) *model.Team {
	t.Helper()
	for _, name := range []ident.TeamName{"north", "south", "east", "west", "inner", "outer"} {
		team := &model.Team{Name: name, RequestsPerSecond: 1, BurstRequests: 1}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		before := *sent
		c.Take(ctx, team)
		if *sent > before {
			return team
		}
	}
	t.Fatal("node b coordinates no team")
	return nil
}

// TestCapsCancel guards against a request that goes on to wait after its caller is gone, and
// against state that it leaves.
func TestCapsCancel(t *testing.T) {
	is := is.New(t)
	c, sent := newTestCaps(t)
	team := remoteTeam(t, c, sent)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		retry, ok := c.Take(ctx, team)
		is.True(!ok)
		is.True(retry > 0)
	}()
	cancel()
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	is.Equal(len(c.waiters), 0)
}
