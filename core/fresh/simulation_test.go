package fresh

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"testing"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

var (
	simSeeds = flag.Int("fresh.seeds", 0, "seeds of the simulation, for each size; 0 means the default of each")
	simSize  = flag.Int("fresh.size", 0, "number of nodes of the simulation; 0 means all sizes")
	simFrom  = flag.Uint64("fresh.from", 1, "first seed of the simulation")
)

// observe checks every node at any time.
func (w *world) observe() {
	w.survey()
	for _, n := range w.nodes {
		if n.up && n.pausedUntil <= w.now {
			w.check(n)
		}
	}
	w.after(simTick/2, nil, w.observe)
}

// survey finds the parts of the fleet whose nodes have been connected over the overlay for
// simSettle, and counts the nodes of each, and those of them that have been able to call the
// store for that time.
func (w *world) survey() {
	since := w.now - simSettle
	w.parts = w.parts[:0]
	for _, n := range w.nodes {
		n.part = -1
	}
	for _, n := range w.nodes {
		if n.part >= 0 || !n.steady(since) {
			continue
		}
		p := part{}
		n.part = len(w.parts)
		for queue := []*simNode{n}; len(queue) > 0; queue = queue[1:] {
			o := queue[0]
			p.size++
			if o.refused == accepted && o.callableSince <= since {
				p.callable++
			}
			for _, b := range o.neighbours {
				if q := w.peer(b); q.part < 0 && q.side == o.side && q.steady(since) {
					q.part = n.part
					queue = append(queue, q)
				}
			}
		}
		w.parts = append(w.parts, p)
	}
}

// steady reports whether the node has run since a time.
func (n *simNode) steady(since clock.Millis) bool {
	return n.up && max(n.upSince, n.pausedUntil) <= since
}

// check counts an admission after the bound, and a refusal at a node that a proof could
// have reached.
func (w *world) check(n *simNode) {
	own := n.own(w.now)
	admits := own < n.node.ValidUntil()
	if admits && n.held < w.store.required(w.now-simBound) {
		w.late++
	}
	if !w.reachable(n) {
		return
	}
	w.worstAge = max(w.worstAge, n.node.Age(own))
	if !admits {
		w.needless++
		if w.firstNeedless == "" {
			w.firstNeedless = fmt.Sprintf("node %d at %v", n.index, w.now)
		}
	}
}

// required returns the newest version that was acknowledged up to a time.
func (s *simStore) required(at clock.Millis) ident.Version {
	v := len(s.acknowledged) - 1
	for v > 1 && s.acknowledged[v] > at {
		v--
	}
	return ident.Version(v)
}

// reachable reports whether a proof could have reached the node: it has a release, and for
// simSettle it has been connected to a large enough part of the fleet, at least half of
// whose nodes were able to call the store.
func (w *world) reachable(n *simNode) bool {
	if n.part < 0 || n.held == 0 || !w.store.up || max(n.heldSince, w.connectedSince) > w.now-simSettle {
		return false
	}
	p := w.parts[n.part]
	return p.size >= len(w.nodes)/5 && 2*p.callable >= p.size
}

// pause stops a node's process for a time. Its clock goes on.
func (w *world) pause(n *simNode, d clock.Millis) {
	n.pausedUntil = max(n.pausedUntil, w.now+d)
	w.after(n.pausedUntil-w.now, n, func() {
		w.survey()
		w.check(n)
	})
}

// inject begins a fault of one kind, which ends by itself.
func (w *world) inject(kind int) {
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	d := clock.Millis(500 + w.rand.IntN(9000))
	switch kind {
	case 0:
		w.publish()
	case 1:
		for range 1 + w.rand.IntN(4) {
			w.pause(w.nodes[w.rand.IntN(len(w.nodes))], d)
		}
	case 2:
		if n.up {
			w.stop(n)
			if w.rand.IntN(2) == 0 {
				n.skew = clock.Millis(w.rand.IntN(1000)) - w.now // the machine has restarted
			}
			w.after(d/4, nil, func() { w.start(n) })
		}
	case 3:
		for _, o := range w.nodes {
			if o.side = 0; o.domain == n.domain || w.rand.IntN(8) == 0 {
				o.side = 1
			}
		}
		w.connectedSince = w.now
		w.after(d, nil, func() {
			for _, o := range w.nodes {
				o.side = 0
			}
			w.connectedSince = w.now
		})
	case 4:
		w.refuse(refusal(1+w.rand.IntN(2)), 9*clock.Second)
	case 5:
		w.outage(d, w.rand.IntN(2) == 0)
	case 6:
		w.store.deafUntil = w.now + clock.Second
		w.after(clock.Second, nil, w.wake)
	case 7:
		w.slowest = 500
		w.after(d, nil, func() { w.slowest = 40 })
	case 8:
		w.store.latency = clock.Millis(100 + w.rand.IntN(700))
		w.after(d, nil, func() { w.store.latency = 8 })
	}
}

// refuse makes the store turn away a third of the nodes, with the leaders among them.
func (w *world) refuse(how refusal, d clock.Millis) {
	for i, n := range w.nodes {
		if i < simDomains || w.rand.IntN(3) == 0 {
			n.refused = how
			w.after(d, nil, func() {
				n.refused = accepted
				n.callableSince = w.now + simTimeout + 1500 // a call without an answer ends
			})
		}
	}
}

// outage makes the store unavailable, and lets it come back from an older copy or as it was.
func (w *world) outage(d clock.Millis, restored bool) {
	w.store.up = false
	w.fail()
	w.after(d, nil, func() {
		w.store.up = true
		for _, n := range w.nodes {
			n.callableSince = max(n.callableSince, w.now+simTimeout+1500)
		}
		if restored {
			w.restore()
		}
	})
}

// simulate runs one seed. A restored store and partitions are not combined: a part that
// has never heard of a release which the store has lost cannot know of it.
func simulate(seed uint64, size int) *world {
	w := newWorld(seed, size)
	kinds := []int{0, 0, 1, 2, 3, 4, 6, 7, 8}
	if seed%2 == 0 {
		kinds = []int{0, 0, 1, 2, 4, 5, 6, 7, 8}
	}
	at := w.now + 3*clock.Second
	for range 7 {
		w.run(at)
		w.inject(kinds[w.rand.IntN(len(kinds))])
		at += clock.Millis(200 + w.rand.IntN(4000))
	}
	w.run(at + 8*clock.Second)
	return w
}

// TestFleet guards against requests that are admitted after the bound, and against refusals
// at nodes that a proof could have reached, with pauses, restarts, partitions, refused
// nodes, a restored store and a slow overlay.
func TestFleet(t *testing.T) {
	for _, c := range []struct{ size, seeds int }{{16, 1000}, {61, 20}, {300, 2}} {
		if *simSize > 0 && c.size != *simSize {
			continue
		}
		seeds := c.seeds
		if *simSeeds > 0 {
			seeds = *simSeeds
		}
		var wg sync.WaitGroup
		next := make(chan uint64)
		var worst clock.Millis
		var mu sync.Mutex
		for range runtime.GOMAXPROCS(0) {
			wg.Go(func() {
				for seed := range next {
					w := simulate(seed, c.size)
					mu.Lock()
					worst = max(worst, w.worstAge)
					mu.Unlock()
					if w.late > 0 || w.needless > 0 {
						t.Errorf("%d nodes, seed %d: %d late admissions, %d needless refusals, first %s", c.size, seed, w.late, w.needless, w.firstNeedless)
					}
				}
			})
		}
		for i := range seeds {
			next <- *simFrom + uint64(i)
		}
		close(next)
		wg.Wait()
		t.Logf("%d nodes, %d seeds: oldest proof at a reachable node %.0f ms", c.size, seeds, float64(worst))
	}
}

// TestCalmFleet guards against proofs that come near the bound in a fleet without faults,
// and against messages and calls that grow with its size.
func TestCalmFleet(t *testing.T) {
	for _, size := range []int{16, 61, 300} {
		for _, slowest := range []clock.Millis{10, 150, 500} {
			w := newWorld(1, size)
			w.slowest = slowest
			w.run(w.now + 5*clock.Second)
			w.messages, w.calls, w.worstAge = 0, 0, 0
			const seconds = 20
			w.run(w.now + seconds*clock.Second)
			perNode := float64(w.messages) / seconds / float64(size)
			t.Logf("%d nodes, messages take up to %v: oldest proof %.0f ms, %.2f messages/s and node, %.1f calls/s",
				size, slowest, float64(w.worstAge), perNode, float64(w.calls)/seconds)
			if w.worstAge > 3200 || perNode > 8 || w.calls > 8*seconds {
				t.Errorf("%d nodes, messages take up to %v", size, slowest)
			}
		}
	}
}
