package fresh

import (
	"container/heap"
	"math/rand/v2"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/feed"
	"hickoryrail/core/ident"
)

const (
	simBound    = 5 * clock.Second
	simTick     = 100 * clock.Millis(1)
	simDomains  = 4
	simWatchers = 3
	// simTimeout is the time after which a call without an answer fails, in addition to its
	// hold.
	simTimeout = 2 * clock.Second
	// simSettle is the time after which a node that can be reached must have a proof.
	simSettle = 2500 * clock.Millis(1)
)

type (
	// world simulates a fleet that follows a store, in true time.
	world struct {
		rand   *rand.Rand
		now    clock.Millis
		queue  eventQueue
		serial int
		nodes  []*simNode
		store  simStore
		// slowest is the largest delay of a message between nodes.
		slowest clock.Millis
		// connectedSince is when the present partition began.
		connectedSince clock.Millis

		// parts are the parts of the fleet that are connected, as of the last survey.
		parts []part
		// late and needless count the violations of each check.
		late, needless int
		firstNeedless  string
		// worstAge is the largest age of a counting proof at a node that was reachable.
		worstAge clock.Millis
		messages int
		calls    int
	}

	// event is something that happens at a time, unless the node has restarted since.
	event struct {
		at     clock.Millis
		serial int
		node   *simNode
		life   int
		do     func()
	}

	eventQueue []*event

	// simNode is one node.
	simNode struct {
		index, domain int
		id            ident.NodeID
		neighbours    []Neighbour
		// skew and rate define the own clock.
		skew, rate clock.Millis
		random     *rand.Rand

		up          bool
		life        int
		pausedUntil clock.Millis
		// side is the part of the fleet to which the node is connected.
		side int
		// refused is how the store treats the node's calls, and callableSince when it has
		// last begun to answer them.
		refused       refusal
		callableSince clock.Millis
		upSince       clock.Millis

		node       *Node
		substitute Substitute
		follower   *feed.Follower
		held       ident.Version
		heldSince  clock.Millis
		// part is the index of the node's part; -1 if it is in none.
		part int
		// call counts the calls, so that an abandoned one is ignored; holding is set while
		// one with a long hold is in progress, and idle while none is.
		call          int
		holding, idle bool
	}

	// part is a part of the fleet, with the number of its nodes that can call the store.
	part struct{ size, callable int }

	// refusal is how the store turns a node away.
	refusal int

	// simStore is the store.
	simStore struct {
		up       bool
		era      ident.Era
		revision ident.Revision
		version  ident.Version
		written  ident.Revision
		// acknowledged holds the time at which each version was acknowledged.
		acknowledged []clock.Millis
		// deafUntil is the end of the time in which waits hear of no change.
		deafUntil clock.Millis
		latency   clock.Millis
		waiting   []*simWait
	}

	// simWait is a call that the store holds.
	simWait struct {
		node  *simNode
		call  int
		life  int
		after ident.Revision
		done  bool
		reply func(feed.Answer, bool)
	}
)

const (
	accepted refusal = iota
	rejected
	silent
)

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// newWorld returns a fleet whose overlay has four rings.
func newWorld(seed uint64, size int) *world {
	r := rand.New(rand.NewPCG(seed, 1))
	w := &world{rand: r, now: 10 * clock.Minute, slowest: 40}
	w.store = simStore{up: true, era: 1, revision: 5, version: 1, written: 5, acknowledged: []clock.Millis{0, 0}, latency: 8}
	for i := range size {
		w.nodes = append(w.nodes, &simNode{
			index: i, domain: i % simDomains, id: ident.NodeID(rune('a' + i)), skew: clock.Millis(r.IntN(1e6)),
			rate: 1 + 4e-4*clock.Millis(2*r.Float64()-1), random: rand.New(rand.NewPCG(seed, uint64(i)+2)),
		})
	}
	for range 4 {
		order := r.Perm(size)
		for i, a := range order {
			w.link(a, order[(i+1)%size])
		}
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	w.after(simTick/2, nil, w.observe)
	return w
}

// link makes two nodes neighbours of each other.
func (w *world) link(a, b int) {
	for _, p := range [][2]*simNode{{w.nodes[a], w.nodes[b]}, {w.nodes[b], w.nodes[a]}} {
		l := Neighbour{Node: p[1].id, Address: p[1].name()}
		if p[0] != p[1] && !slices.Contains(p[0].neighbours, l) {
			p[0].neighbours = append(p[0].neighbours, l)
		}
	}
}

// name returns an address from which the index follows.
func (n *simNode) name() string { return string(rune('a' + n.index)) }

// own returns the node's own clock.
func (n *simNode) own(now clock.Millis) clock.Millis { return n.skew + now*n.rate }

// after schedules a function of a node; it is put off while the node is paused and dropped
// if the node restarts. A nil node stands for the world.
func (w *world) after(d clock.Millis, n *simNode, do func()) {
	w.serial++
	e := &event{at: w.now + d, serial: w.serial, node: n, do: do}
	if n != nil {
		e.life = n.life
	}
	heap.Push(&w.queue, e)
}

// run runs the events up to a time.
func (w *world) run(until clock.Millis) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(*event)
		w.now = e.at
		switch n := e.node; {
		case n == nil:
			e.do()
		case n.life != e.life || !n.up:
		case n.pausedUntil > w.now:
			e.at = n.pausedUntil
			heap.Push(&w.queue, e)
		default:
			e.do()
		}
	}
	w.now = until
}

// start starts a node or restarts it.
func (w *world) start(n *simNode) {
	n.up, n.upSince, n.held, n.idle = true, w.now, 0, false
	n.life++
	n.call++
	n.node = New(Config{BoundMillis: simBound}, n.random)
	n.substitute = Substitute{Rand: n.random}
	n.follower = &feed.Follower{Rand: n.random}
	n.follower.RequireRead()
	w.after(clock.Millis(n.random.IntN(100)), n, func() {
		w.send(n, n.node.Discovered(n.own(w.now), w.others(n)))
		w.send(n, n.node.SetNeighbours(n.own(w.now), n.neighbours))
		w.step(n)
	})
	w.after(clock.Millis(n.random.IntN(100)), n, func() { w.tick(n) })
}

// others returns all other nodes.
func (w *world) others(n *simNode) []Neighbour {
	var out []Neighbour
	for _, o := range w.nodes {
		if o != n {
			out = append(out, Neighbour{Node: o.id, Address: o.name()})
		}
	}
	return out
}

// stop ends a node's process.
func (w *world) stop(n *simNode) {
	n.up = false
	n.life++
}

// tick runs a node's timers.
func (w *world) tick(n *simNode) {
	now := n.own(w.now)
	w.send(n, n.node.Tick(now))
	w.fetch(n)
	if n.substitute.Tick(now, n.node.BestAge(now), len(w.nodes)) {
		if n.holding || n.idle {
			n.call++ // abandons the call
			w.step(n)
		}
	}
	if n.idle && w.role(n) != feed.Reader {
		w.step(n)
	}
	w.after(simTick, n, func() { w.tick(n) })
}

// fetch gets a newer release from a neighbour.
func (w *world) fetch(n *simNode) {
	for _, b := range n.neighbours {
		p := w.peer(b)
		if p.up && p.side == n.side && p.pausedUntil <= w.now && p.held > n.held && n.random.IntN(3) == 0 {
			w.hold(n, p.held)
			return
		}
	}
}

// peer returns a neighbour.
func (w *world) peer(b Neighbour) *simNode { return w.nodes[[]rune(b.Address)[0]-'a'] }

// hold puts a release in force.
func (w *world) hold(n *simNode, v ident.Version) {
	if v > n.held {
		n.held, n.heldSince = v, w.now
		n.node.SetHeld(v)
	}
}

// send delivers messages. Those to another side are lost, or arrive much later.
func (w *world) send(n *simNode, actions []Action) {
	for _, a := range actions {
		w.messages++
		to, m := w.peer(Neighbour{Address: w.addressOf(a)}), a.Message
		d := 1 + w.slowest*clock.Millis(n.random.Float64())
		if to.side != n.side {
			if n.random.IntN(2) == 0 {
				continue
			}
			d += clock.Millis(n.random.IntN(9000))
		}
		w.after(d, to, func() { w.send(to, to.node.Receive(to.own(w.now), n.id, m)) })
	}
}

// addressOf returns the address of an action's receiver.
func (w *world) addressOf(a Action) string {
	if a.Address != "" {
		return a.Address
	}
	return string(a.To)
}
