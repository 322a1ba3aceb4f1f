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

// init fixes rapid's seed, so that every run tries the same cases. A -rapid.seed
// on the command line takes precedence.
func init() {
	err := errors.Join(flag.Set("rapid.seed", "20261204"), flag.Set("rapid.nofailfile", "true"), flag.Set("rapid.checks", "2000"))
	if err != nil {
		panic(err)
	}
}

type (
	// reply is an answer of the store that is under way.
	reply struct {
		action   Action
		outcome  Reply
		row      Row
		revision ident.Revision
	}

	// node is a Lease with its own clock.
	node struct {
		l      *Lease
		offset clock.Millis
		rate   clock.Millis
		// paused nodes get no events.
		paused bool
		// ask is a call that has not reached the store, answer one on its way back.
		ask    *Action
		answer *reply
		ended  bool
	}

	// region is the nodes of a region with the store's row.
	region struct {
		fatal    func(format string, args ...any)
		now      clock.Millis
		row      Row
		revision ident.Revision
		nodes    []*node
		// delayed are writes that take effect later, if ever.
		delayed []Action
		// holders maps each epoch to the node that was told to hold it.
		holders       map[ident.Epoch]*node
		reads, writes int
	}
)

// newRegion returns n nodes whose clocks differ by seconds and run at rates that
// the margin covers. Two nodes at a time share a NodeID, like a paused process
// and its replacement.
func newRegion(n int, seed uint64, fatal func(string, ...any)) *region {
	g := &region{fatal: fatal, holders: make(map[ident.Epoch]*node)}
	r := rand.New(rand.NewPCG(seed, 0))
	for i := range n {
		l := &Lease{
			Self: ident.NodeID(fmt.Sprintf("n%d", i/2)), Timing: DefaultTiming(), Fleet: n,
			Rand: rand.New(rand.NewPCG(seed, uint64(i+1))),
		}
		g.nodes = append(g.nodes, &node{
			l: l, offset: clock.Millis(r.Float64()) * 10_000, rate: 0.95 + clock.Millis(r.Float64())*0.1,
		})
	}
	return g
}

// time returns the instant on the node's clock.
func (g *region) time(n *node) clock.Millis {
	return n.offset + g.now*n.rate
}

// take keeps the actions of a node.
func (g *region) take(n *node, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Read, Write:
			if n.ask != nil || n.answer != nil {
				g.fatal("%s asks for two calls at once", n.l.Self)
			}
			n.ask = &a
		case Hold:
			if other, taken := g.holders[a.Epoch]; taken && other != n {
				g.fatal("epoch %d is held by %s and %s", a.Epoch, other.l.Self, n.l.Self)
			}
			g.holders[a.Epoch] = n
		case Stopped:
			n.ended = true
		}
	}
}

// apply applies a write if its condition holds.
func (g *region) apply(a Action) bool {
	if a.Revision != g.revision {
		return false
	}
	if a.Row.Epoch < g.row.Epoch || a.Row.Epoch > g.row.Epoch+1 {
		g.fatal("epoch goes from %d to %d", g.row.Epoch, a.Row.Epoch)
	}
	g.row, g.revision = a.Row, g.revision+1
	return true
}

// serve lets a call reach the store. The answer to a lost write is Unknown; a
// lost read is Failed.
func (g *region) serve(n *node, fate Reply, effect bool) {
	a := *n.ask
	n.ask = nil
	answer := &reply{action: a, outcome: fate}
	switch {
	case a.Kind == Read && fate == OK:
		g.reads++
		answer.row, answer.revision = g.row, g.revision
	case a.Kind == Read:
		answer.outcome = Failed
	case fate == OK:
		g.writes++
		if !g.apply(a) {
			answer.outcome = Conflict
		}
		answer.revision = g.revision
	case fate == Unknown && effect:
		g.apply(a)
	case fate == Unknown:
		g.delayed = append(g.delayed, a)
	}
	n.answer = answer
}

// deliver hands the answer to the node.
func (g *region) deliver(n *node) {
	r := n.answer
	n.answer = nil
	if r.action.Kind == Read {
		g.take(n, n.l.ReadDone(g.time(n), r.outcome, r.row, r.revision))
		return
	}
	g.take(n, n.l.Written(g.time(n), r.outcome, r.revision))
}

// check fails if two nodes hold the lease by their own clocks.
func (g *region) check() {
	var holder *node
	for _, n := range g.nodes {
		if !n.l.Holds(g.time(n)) {
			continue
		}
		if holder != nil {
			g.fatal("%s and %s hold the lease at once", holder.l.Self, n.l.Self)
		}
		holder = n
	}
}

// calm runs the region without faults; pulses reach every node.
func (g *region) calm(duration, step clock.Millis) {
	for end := g.now + duration; g.now < end; g.now += step {
		for _, n := range g.nodes {
			if n.answer != nil {
				g.deliver(n)
			}
			if !n.ended {
				g.take(n, n.l.Tick(g.time(n)))
			}
			if n.ask != nil {
				g.serve(n, OK, true)
			}
		}
		g.pulse()
		g.check()
	}
}

// pulse tells every other node that the holder lives.
func (g *region) pulse() {
	for _, h := range g.nodes {
		if !h.l.Holds(g.time(h)) {
			continue
		}
		for _, n := range g.nodes {
			if n != h && !n.paused {
				n.l.Pulse(g.time(n))
			}
		}
	}
}

// TestLease guards against two holders at once, an epoch with two holders or that
// goes back, and a lease that nobody takes any more. Clocks differ and run at
// different rates, nodes are paused, answers are late or lost, writes land late,
// and nodes stop.
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
				g.take(n, n.l.Stop(g.time(n)))
			case kind == 3:
				g.pulse()
			case kind < 8:
				g.now += clock.Millis(rapid.IntRange(1, 1500).Draw(t, "advance"))
				for _, n := range g.nodes {
					if !n.paused {
						g.take(n, n.l.Tick(g.time(n)))
					}
				}
			case n.ask != nil:
				fate := rapid.SampledFrom([]Reply{OK, OK, OK, Failed, Unknown}).Draw(t, "fate")
				g.serve(n, fate, rapid.Bool().Draw(t, "effect"))
			case n.answer != nil && !n.paused:
				g.deliver(n)
			}
			g.check()
		}
		for _, n := range g.nodes {
			n.paused = false
		}
		g.calm(120_000, 100)
		holders, ended := 0, 0
		for _, n := range g.nodes {
			if n.l.Holds(g.time(n)) {
				holders++
			}
			if n.ended {
				ended++
			}
		}
		if holders == 0 && ended < len(g.nodes) {
			t.Fatalf("nobody holds the lease: %+v", g.row)
		}
	})
}

// TestPausedHolder guards against a holder that believes in its lease after a
// pause, and against a renewal of its that succeeds after a takeover.
func TestPausedHolder(t *testing.T) {
	is := is.New(t)
	g := newRegion(3, 1, t.Fatalf)
	g.calm(20_000, 50)
	old := g.holders[g.row.Epoch]
	is.True(old.l.Holds(g.time(old)))
	epoch := g.row.Epoch
	others := []*node{}
	for _, n := range g.nodes {
		if n != old {
			others = append(others, n)
		}
	}
	g.nodes = others // the pause
	g.calm(30_000, 50)
	is.Equal(g.row.Epoch, epoch+1)
	is.True(!old.l.Holds(g.time(old))) // by its own clock, before any event
	g.nodes = append(g.nodes, old)
	g.calm(20_000, 50)
	is.Equal(g.row.Epoch, epoch+1) // the old holder took nothing back
	is.True(!old.l.Holds(g.time(old)))
}

// holder returns a region of two nodes of which the first holds the lease.
func holder(t *testing.T, rate, otherRate clock.Millis) (g *region, h, other *node) {
	t.Helper()
	g = newRegion(2, 1, t.Fatalf)
	h, other = g.nodes[0], g.nodes[1]
	h.rate, other.rate = rate, otherRate
	g.nodes = []*node{h}
	g.calm(20_000, 10)
	if !h.l.Holds(g.time(h)) {
		t.Fatal("the only node does not hold the lease")
	}
	g.nodes = []*node{h, other}
	return g, h, other
}

// TestMargin guards against two holders at once because the holder's clock runs
// slower than the observer's.
func TestMargin(t *testing.T) {
	is := is.New(t)
	g, h, other := holder(t, 0.95, 1.05)
	fate := OK
	for !other.l.Holds(g.time(other)) {
		g.now += 10
		for _, n := range g.nodes {
			if n.answer != nil {
				g.deliver(n)
			}
			g.take(n, n.l.Tick(g.time(n)))
		}
		if h.ask != nil {
			g.serve(h, fate, false)
			if other.ask != nil && other.ask.Kind == Read {
				g.serve(other, OK, true) // the observer sees the row as soon as it is renewed
				fate = Failed            // and the store fails the holder from then on
			}
		}
		if other.ask != nil && other.ask.Kind == Write {
			g.serve(other, OK, true)
		}
		g.check()
	}
	is.Equal(g.row.Epoch, ident.Epoch(2))
}

// TestLateRenewal guards against a holder that counts its lease from the
// repetition of a renewal, although the first sending took effect earlier.
func TestLateRenewal(t *testing.T) {
	is := is.New(t)
	g, h, other := holder(t, 1, 1)
	for h.ask == nil {
		g.now += 10
		g.take(h, h.l.Tick(g.time(h)))
	}
	g.serve(h, Unknown, false)
	g.deliver(h)
	g.serve(h, OK, true) // the read shows no effect so far
	is.True(g.apply(g.delayed[0]))
	for other.ask == nil {
		g.now += 10
		g.take(other, other.l.Tick(g.time(other)))
	}
	g.serve(other, OK, true)
	g.deliver(other) // the observer's TTL starts here
	g.now += 2000
	g.deliver(h) // the answer to the read was slow
	for h.ask != nil {
		g.serve(h, OK, true)
		g.deliver(h)
		if g.row.Count > g.delayed[0].Row.Count {
			return // renewed once more, so the observer cannot take the lease
		}
	}
	for range 400 {
		g.now += 10
		g.take(other, other.l.Tick(g.time(other)))
		if other.ask != nil {
			g.serve(other, OK, true)
			g.deliver(other)
		}
		g.check()
	}
}

// TestStopReleases guards against a graceful stop after which the others wait for
// the TTL.
func TestStopReleases(t *testing.T) {
	is := is.New(t)
	g := newRegion(1, 1, t.Fatalf)
	g.calm(20_000, 50)
	n := g.nodes[0]
	g.take(n, n.l.Stop(g.time(n)))
	is.True(!n.l.Holds(g.time(n)))
	g.serve(n, OK, true)
	g.deliver(n)
	is.True(n.ended)
	is.Equal(g.row.Holder, ident.NodeID(""))
	next := newRegion(1, 2, t.Fatalf)
	next.row, next.revision = g.row, g.revision
	wait := DefaultTiming().SilenceMillis + DefaultTiming().SpreadMillis
	next.calm(wait/0.95+200, 50) // without the TTL
	is.True(next.nodes[0].l.Holds(next.time(next.nodes[0])))
	is.Equal(next.row.Epoch, g.row.Epoch+1)
}
