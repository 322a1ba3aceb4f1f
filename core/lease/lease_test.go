package lease

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// init sets a fixed seed for rapid, so that every run tries the same cases. A -rapid.seed
// on the command line takes precedence.
func init() {
	err := errors.Join(flag.Set("rapid.seed", "20261204"), flag.Set("rapid.nofailfile", "true"), flag.Set("rapid.checks", "2000"))
	if err != nil {
		panic(err)
	}
}

type (
	// storeResponse is a response of the store to a call.
	storeResponse struct {
		action   Action
		outcome  Reply
		row      Row
		revision ident.Revision
	}

	// node is a Lease with its own clock, which shows offset + rate * simulated time.
	node struct {
		lease  *Lease
		offset clock.Millis
		rate   clock.Millis
		// paused is set while the node receives no events.
		paused bool
		// request is a call that has not reached the store, and response a response that
		// has not reached the node. At most one of them is set.
		request  *Action
		response *storeResponse
		// stopped is set once the lease reported Stopped.
		stopped bool
	}

	// region simulates the nodes of a region and the row in the store.
	region struct {
		fatal    func(format string, args ...any)
		now      clock.Millis
		row      Row
		revision ident.Revision
		nodes    []*node
		// delayed holds the writes that take effect later or not at all.
		delayed []Action
		// holders maps each epoch to the node whose lease reported Acquired for it.
		holders map[ident.Epoch]*node
		// reads and writes count the calls whose response was not lost.
		reads, writes int
	}
)

// newRegion returns a region of n nodes whose clocks differ by seconds and run at rates that
// the margin covers. Each two nodes share a NodeID, like a paused process and its
// replacement.
func newRegion(n int, seed uint64, fatal func(string, ...any)) *region {
	g := &region{fatal: fatal, holders: make(map[ident.Epoch]*node)}
	r := rand.New(rand.NewPCG(seed, 0))
	for i := range n {
		l := &Lease{
			Self: ident.NodeID(fmt.Sprintf("n%d", i/2)), Timing: DefaultTiming(), FleetSize: n,
			Rand: rand.New(rand.NewPCG(seed, uint64(i+1))),
		}
		g.nodes = append(g.nodes, &node{
			lease: l, offset: clock.Millis(r.Float64()) * 10_000, rate: 0.95 + clock.Millis(r.Float64())*0.1,
		})
	}
	return g
}

// localTime returns the time that the node's clock shows.
func (g *region) localTime(n *node) clock.Millis {
	return n.offset + g.now*n.rate
}

// perform records the actions of a node.
func (g *region) perform(n *node, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Read, Write:
			if n.request != nil || n.response != nil {
				g.fatal("%s has two calls in flight", n.lease.Self)
			}
			n.request = &a
		case Acquired:
			if other, taken := g.holders[a.Epoch]; taken && other != n {
				g.fatal("epoch %d is held by %s and %s", a.Epoch, other.lease.Self, n.lease.Self)
			}
			g.holders[a.Epoch] = n
		case Stopped:
			n.stopped = true
		}
	}
}

// apply applies a write if its condition holds.
func (g *region) apply(a Action) bool {
	if a.Revision != g.revision {
		return false
	}
	if a.Row.Epoch < g.row.Epoch || a.Row.Epoch > g.row.Epoch+1 {
		g.fatal("epoch changes from %d to %d", g.row.Epoch, a.Row.Epoch)
	}
	g.row, g.revision = a.Row, g.revision+1
	return true
}

// serve processes a node's call at the store with the given outcome. A write with outcome
// Unknown takes effect at once if effect is set; otherwise it is delayed. A read with another
// outcome than OK is Failed.
func (g *region) serve(n *node, outcome Reply, effect bool) {
	a := *n.request
	n.request = nil
	response := &storeResponse{action: a, outcome: outcome}
	switch {
	case a.Kind == Read && outcome == OK:
		g.reads++
		response.row, response.revision = g.row, g.revision
	case a.Kind == Read:
		response.outcome = Failed
	case outcome == OK:
		g.writes++
		if !g.apply(a) {
			response.outcome = Conflict
		}
		response.revision = g.revision
	case outcome == Unknown && effect:
		g.apply(a)
	case outcome == Unknown:
		g.delayed = append(g.delayed, a)
	}
	n.response = response
}

// deliver passes the response to the node.
func (g *region) deliver(n *node) {
	r := n.response
	n.response = nil
	if r.action.Kind == Read {
		g.perform(n, n.lease.ReadDone(g.localTime(n), r.outcome, r.row, r.revision))
		return
	}
	g.perform(n, n.lease.WriteDone(g.localTime(n), r.outcome, r.revision))
}

// check fails the test if two nodes hold the lease by their own clocks.
func (g *region) check() {
	var holder *node
	for _, n := range g.nodes {
		if !n.lease.Holds(g.localTime(n)) {
			continue
		}
		if holder != nil {
			g.fatal("%s and %s hold the lease at once", holder.lease.Self, n.lease.Self)
		}
		holder = n
	}
}

// runWithoutFaults runs the region without faults; heartbeats reach every node.
func (g *region) runWithoutFaults(duration, step clock.Millis) {
	for end := g.now + duration; g.now < end; g.now += step {
		for _, n := range g.nodes {
			if n.response != nil {
				g.deliver(n)
			}
			if !n.stopped {
				g.perform(n, n.lease.Tick(g.localTime(n)))
			}
			if n.request != nil {
				g.serve(n, OK, true)
			}
		}
		g.sendHeartbeats()
		g.check()
	}
}

// sendHeartbeats passes a heartbeat of the holder to every other node that is not paused.
func (g *region) sendHeartbeats() {
	for _, h := range g.nodes {
		if !h.lease.Holds(g.localTime(h)) {
			continue
		}
		for _, n := range g.nodes {
			if n != h && !n.paused {
				n.lease.Heartbeat(g.localTime(n))
			}
		}
	}
}

// TestLease guards against two holders at a time, an epoch with two holders, an epoch that
// decreases, and a lease that no node acquires any more. Clocks differ and run at different
// rates, nodes are paused, responses are late or lost, writes take effect late, and nodes
// stop.
func TestLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newRegion(rapid.IntRange(2, 5).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			n := rapid.SampledFrom(g.nodes).Draw(t, "node")
			switch kind := rapid.IntRange(0, 15).Draw(t, "kind"); {
			case kind == 0:
				n.paused = !n.paused
			case kind == 1 && len(g.delayed) > 0:
				g.apply(g.delayed[0])
				g.delayed = g.delayed[1:]
			case kind == 2 && rapid.IntRange(0, 9).Draw(t, "stop") == 0 && !n.paused:
				g.perform(n, n.lease.Stop(g.localTime(n)))
			case kind == 3:
				g.sendHeartbeats()
			case kind < 8:
				g.now += clock.Millis(rapid.IntRange(1, 1500).Draw(t, "advance"))
				for _, n := range g.nodes {
					if !n.paused {
						g.perform(n, n.lease.Tick(g.localTime(n)))
					}
				}
			case n.request != nil:
				outcome := rapid.SampledFrom([]Reply{OK, OK, OK, Failed, Unknown}).Draw(t, "fate")
				g.serve(n, outcome, rapid.Bool().Draw(t, "effect"))
			case n.response != nil && !n.paused:
				g.deliver(n)
			}
			g.check()
		}
		for _, n := range g.nodes {
			n.paused = false
		}
		g.runWithoutFaults(120_000, 100)
		holders, stopped := 0, 0
		for _, n := range g.nodes {
			if n.lease.Holds(g.localTime(n)) {
				holders++
			}
			if n.stopped {
				stopped++
			}
		}
		if holders == 0 && stopped < len(g.nodes) {
			t.Fatalf("no node holds the lease: %+v", g.row)
		}
	})
}

// TestPausedHolder guards against a holder that considers its lease valid after a pause, and
// against a renewal that succeeds after another node acquired the lease.
func TestPausedHolder(t *testing.T) {
	is := is.New(t)
	g := newRegion(3, 1, t.Fatalf)
	g.runWithoutFaults(20_000, 50)
	old := g.holders[g.row.Epoch]
	is.True(old.lease.Holds(g.localTime(old)))
	epoch := g.row.Epoch
	others := []*node{}
	for _, n := range g.nodes {
		if n != old {
			others = append(others, n)
		}
	}
	g.nodes = others // the pause
	g.runWithoutFaults(30_000, 50)
	is.Equal(g.row.Epoch, epoch+1)
	is.True(!old.lease.Holds(g.localTime(old))) // by its own clock, before any event
	g.nodes = append(g.nodes, old)
	g.runWithoutFaults(20_000, 50)
	is.Equal(g.row.Epoch, epoch+1) // the former holder did not acquire the lease again
	is.True(!old.lease.Holds(g.localTime(old)))
}

// regionWithHolder returns a region of two nodes of which the first holds the lease.
func regionWithHolder(t *testing.T, rate, otherRate clock.Millis) (g *region, h, other *node) {
	t.Helper()
	g = newRegion(2, 1, t.Fatalf)
	h, other = g.nodes[0], g.nodes[1]
	h.rate, other.rate = rate, otherRate
	g.nodes = []*node{h}
	g.runWithoutFaults(20_000, 10)
	if !h.lease.Holds(g.localTime(h)) {
		t.Fatal("the only node does not hold the lease")
	}
	g.nodes = []*node{h, other}
	return g, h, other
}

// TestMargin guards against two holders at a time because the holder's clock runs slower
// than the contender's.
func TestMargin(t *testing.T) {
	is := is.New(t)
	g, h, other := regionWithHolder(t, 0.95, 1.05)
	outcome := OK
	for !other.lease.Holds(g.localTime(other)) {
		g.now += 10
		for _, n := range g.nodes {
			if n.response != nil {
				g.deliver(n)
			}
			g.perform(n, n.lease.Tick(g.localTime(n)))
		}
		if h.request != nil {
			g.serve(h, outcome, false)
			if other.request != nil && other.request.Kind == Read {
				g.serve(other, OK, true) // the contender reads the row right after its renewal,
				outcome = Failed         // and the calls of the holder fail from then on
			}
		}
		if other.request != nil && other.request.Kind == Write {
			g.serve(other, OK, true)
		}
		g.check()
	}
	is.Equal(g.row.Epoch, ident.Epoch(2))
}

// TestLateRenewal guards against a holder that counts the validity of its lease from the
// retry of a renewal, although the first attempt took effect earlier.
func TestLateRenewal(t *testing.T) {
	is := is.New(t)
	g, h, other := regionWithHolder(t, 1, 1)
	for h.request == nil {
		g.now += 10
		g.perform(h, h.lease.Tick(g.localTime(h)))
	}
	g.serve(h, Unknown, false)
	g.deliver(h)
	g.serve(h, OK, true) // the read does not show the write yet
	is.True(g.apply(g.delayed[0]))
	for other.request == nil {
		g.now += 10
		g.perform(other, other.lease.Tick(g.localTime(other)))
	}
	g.serve(other, OK, true)
	g.deliver(other) // the contender's TTL starts here
	g.now += 2000
	g.deliver(h) // the response to the read was slow
	for h.request != nil {
		g.serve(h, OK, true)
		g.deliver(h)
		if g.row.Count > g.delayed[0].Row.Count {
			return // renewed once more, so the contender cannot acquire the lease
		}
	}
	for range 400 {
		g.now += 10
		g.perform(other, other.lease.Tick(g.localTime(other)))
		if other.request != nil {
			g.serve(other, OK, true)
			g.deliver(other)
		}
		g.check()
	}
}

// TestStopReleases guards against a graceful stop after which the next holder has to wait
// for the TTL.
func TestStopReleases(t *testing.T) {
	is := is.New(t)
	g := newRegion(1, 1, t.Fatalf)
	g.runWithoutFaults(20_000, 50)
	n := g.nodes[0]
	g.perform(n, n.lease.Stop(g.localTime(n)))
	is.True(!n.lease.Holds(g.localTime(n)))
	g.serve(n, OK, true)
	g.deliver(n)
	is.True(n.stopped)
	is.Equal(g.row.Holder, ident.NodeID(""))
	next := newRegion(1, 2, t.Fatalf)
	next.row, next.revision = g.row, g.revision
	wait := DefaultTiming().HeartbeatTimeoutMillis + DefaultTiming().JitterPerNodeMillis
	next.runWithoutFaults(wait/0.95+200, 50) // without the TTL
	is.True(next.nodes[0].lease.Holds(next.localTime(next.nodes[0])))
	is.Equal(next.row.Epoch, g.row.Epoch+1)
}
