package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/paths"
)

const (
	// exploreSteps bounds a path, and exploreTicks the ticks in it.
	exploreSteps, exploreTicks = 8, 1
	// exploreLost and exploreDoubled bound the messages with that fate.
	exploreLost, exploreDoubled = 1, 1
)

type (
	// pair is a node with a target and a node that watches it, in one state.
	pair struct {
		// trusting breaks a rule on purpose: the watcher takes over every record,
		// whether it is newer or not.
		trusting bool

		now     clock.Millis
		tables  map[ident.NodeID]*Table
		letters []letter
		// next is the state that the target takes next.
		next                         TargetState
		crashes, ticks, lost, copies int
		// highest is the newest record of the node that the watcher has had.
		highest Record
	}
)

// watched and watching are the nodes of a pair.
const watched, watching ident.NodeID = "a", "b"

// newPair returns two nodes that know each other.
func newPair(trusting bool) *pair {
	p := &pair{trusting: trusting, tables: make(map[ident.NodeID]*Table), next: Draining}
	p.start(watched, 1)
	p.start(watching, 1)
	for range 20 {
		p.now += tickMillis
		for _, n := range []ident.NodeID{watched, watching} {
			p.post(n, p.tables[n].Tick(p.now))
			for len(p.letters) > 0 {
				p.deliver(0)
			}
		}
	}
	return p
}

// start starts a node with empty memory.
func (p *pair) start(n ident.NodeID, life ident.Incarnation) {
	config := DefaultConfig()
	config.Seeds = []Seed{{Node: watched, Address: "a"}, {Node: watching, Address: "b"}}
	p.tables[n] = New(Record{
		Node: n, Incarnation: life, PeerAddress: string(n), Service: "orders", Target: ident.TargetID("t-" + n), TargetState: Ready,
	}, config, rand.New(rand.NewPCG(1, 2)))
}

// post puts messages on the network.
func (p *pair) post(from ident.NodeID, actions []Action) {
	for _, a := range actions {
		p.letters = append(p.letters, letter{from: from, Action: a})
	}
}

// deliver brings a message to its receiver.
func (p *pair) deliver(i int) {
	l := p.letters[i]
	p.letters = slices.Delete(p.letters, i, i+1)
	t := p.tables[l.To]
	if p.trusting && l.To == watching {
		for _, u := range l.Message.Updates {
			if m := t.members[u.Record.Node]; m != nil {
				t.set(p.now, m, u.Record, "taken over")
			}
		}
	}
	p.post(l.To, t.Receive(p.now, l.from, l.Message))
}

// steps returns everything that can happen next.
func (p *pair) steps() []func() {
	var out []func()
	for i := range p.letters {
		out = append(out, func() { p.deliver(i) })
		if p.lost < exploreLost {
			out = append(out, func() { p.lost++; p.letters = slices.Delete(p.letters, i, i+1) })
		}
		if p.copies < exploreDoubled {
			out = append(out, func() { p.copies++; p.letters = append(p.letters, p.letters[i]) })
		}
	}
	if p.next <= TargetLeft {
		out = append(out, func() {
			a := p.tables[watched]
			p.post(watched, a.SetTarget(p.now, "orders", "t-a", p.next))
			p.next++
		})
	}
	if p.crashes == 0 {
		out = append(out, func() {
			p.crashes++
			p.start(watched, 2)
			p.next = Draining
		})
	}
	if p.ticks < exploreTicks {
		out = append(out, func() {
			p.ticks++
			p.now += clock.Second
			for _, n := range []ident.NodeID{watched, watching} {
				p.post(n, p.tables[n].Tick(p.now))
			}
		})
	}
	return out
}

// broken returns the rule that does not hold, or "".
func (p *pair) broken() string {
	r, ok := p.tables[watching].Record(watched)
	switch {
	case !ok || r.Node == "":
		return ""
	case p.highest.Newer(r) && !r.sameLife(p.highest):
		return "watcher goes back to an earlier record"
	case r.Routable() && r.sameLife(p.tables[watched].Self()) && !p.tables[watched].Self().Routable():
		return "watcher routes to a target that the same record calls unroutable"
	}
	p.highest = r
	return ""
}

// state describes everything that later steps and checks depend on.
func (p *pair) state() string {
	var b strings.Builder
	for _, n := range []ident.NodeID{watched, watching} {
		t := p.tables[n]
		for _, o := range []ident.NodeID{watched, watching} {
			if q := t.queue[o]; q != nil {
				fmt.Fprint(&b, *q)
			}
		}
		fmt.Fprint(&b, t.self, t.lastProbe, t.nextProbe, t.noticeDue, t.nextNotice, len(t.probes))
		for _, m := range t.ordered {
			fmt.Fprint(&b, m.record, m.knows, m.suspectedAt, m.differsSince)
		}
	}
	texts := make([]string, len(p.letters))
	for i, l := range p.letters {
		texts[i] = fmt.Sprint(l.from, l.To, l.Message)
	}
	slices.Sort(texts)
	fmt.Fprint(&b, texts, p.now, p.next, p.crashes, p.ticks, p.lost, p.copies, p.highest)
	return b.String()
}

// settled lets both nodes exchange what is left and reports whether they agree.
func (p *pair) settled() bool {
	for range 100 {
		p.now += tickMillis
		for _, n := range []ident.NodeID{watched, watching} {
			p.post(n, p.tables[n].Tick(p.now))
			for len(p.letters) > 0 {
				p.deliver(0)
			}
		}
	}
	r, _ := p.tables[watching].Record(watched)
	return r.sameLife(p.tables[watched].Self())
}

// explorePairs plays all orders and returns the first broken rule.
func explorePairs(trusting bool) (broken string, states int) {
	_, states = paths.Explore(func(c *paths.Chooser) bool {
		p := newPair(trusting)
		for range exploreSteps {
			steps := p.steps()
			if len(steps) == 0 {
				break
			}
			steps[c.Choose(len(steps))]()
			if broken = p.broken(); broken != "" {
				return false
			}
			if c.Seen(p.state) {
				return true
			}
		}
		if !p.settled() {
			broken = "nodes do not agree in the end"
			return false
		}
		return true
	})
	return broken, states
}

// TestEveryOrderOfUpdates guards against an order of losses, delays, duplicates,
// target changes and a restart after which a node takes an earlier state of another
// node's target for the present one.
func TestEveryOrderOfUpdates(t *testing.T) {
	is := is.New(t)
	broken, states := explorePairs(false)
	is.Equal(broken, "")
	is.True(states > 1000) // the exploration has not ended early
	t.Logf("%d states", states)

	broken, _ = explorePairs(true)
	is.True(broken != "")
}
