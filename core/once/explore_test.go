package once

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/paths"
	"hickoryrail/core/result"
	"hickoryrail/core/retry"
)

// mostSteps bounds a path.
const mostSteps = 40

// deep explores up to 3 attempts, 2 losses and 2 restarts of gates instead of 2, 1
// and 1, which takes minutes.
var deep = flag.Bool("explore.deep", false, "explore more losses, restarts and attempts")

type (
	// packet is a message between the ingress and a gate. Its copies arrive at the
	// life of the gate to which the connection leads, or never.
	packet struct {
		kind packetKind
		gate int
		// life is that of the gate at the end of the connection; 0 before it is open.
		life ident.Incarnation
		// addressed is the life that the ingress means.
		addressed ident.Incarnation
		attempt   int
		verdict   result.Verdict
	}

	packetKind int

	// bounds limits the exploration: attempts, messages that are lost or doubled, and
	// restarts of gates.
	bounds struct {
		attempts, lost, doubled, restarts int
	}

	// scenario is an ingress with one request that must not be repeated, and two gates
	// with a target each, in one state.
	scenario struct {
		bounds bounds
		// unsafeVoid breaks a rule on purpose: a void for an earlier life of the gate
		// is taken to mean that the request has not run.
		unsafeVoid bool

		gates   [2]*Fence
		packets []packet
		// running are the attempts that a target works on, with the life of the gate.
		running []packet
		ran     int
		attempt retry.CallState
		policy  *retry.Policy
		// gate and addressed are those of the present attempt.
		gate      int
		addressed ident.Incarnation
		// waiting says that the present attempt has no verdict, and voided that it has
		// been voided.
		waiting, voided         bool
		answered                bool
		verdict                 result.Verdict
		lost, doubled, restarts int
	}
)

const (
	requestPacket packetKind = iota
	voidPacket
	replyPacket
)

// newScenario returns the scenario with the first attempt on its way.
func newScenario(unsafeVoid bool) *scenario {
	m := &scenario{unsafeVoid: unsafeVoid, bounds: bounds{attempts: 2, lost: 1, doubled: 1, restarts: 1}}
	if *deep {
		m.bounds = bounds{attempts: 3, lost: 2, doubled: 1, restarts: 2}
	}
	for i := range m.gates {
		m.gates[i] = &Fence{Gate: ident.Incarnation(10*i + 10)}
	}
	m.policy = &retry.Policy{Budget: &retry.Budget{PerSecond: 1e6}, Rand: rand.New(rand.NewPCG(1, 1))}
	m.policy.Budget.RecordCall(0)
	m.attempt = retry.CallState{Route: model.Route{MaxAttempts: m.bounds.attempts}, Deadline: 5000}
	m.send()
	return m
}

// send sends the next attempt, to the gates in turn.
func (m *scenario) send() {
	m.gate = m.attempt.Sent % len(m.gates)
	m.addressed = m.gates[m.gate].Gate
	m.attempt.Start(0)
	m.waiting, m.voided = true, false
	m.packets = append(m.packets, packet{kind: requestPacket, gate: m.gate, addressed: m.addressed, attempt: m.attempt.Sent})
}

// id returns the request id of an attempt.
func id(attempt int) ident.RequestID { return ident.RequestID(fmt.Sprint("r.", attempt)) }

// steps returns everything that can happen next.
func (m *scenario) steps() []func() {
	var out []func()
	for i := range m.packets {
		p := m.packets[i]
		if p.life == 0 && p.kind != replyPacket {
			out = append(out, func() { m.packets[i].life = m.gates[p.gate].Gate })
			continue
		}
		out = append(out, func() { m.remove(i); m.deliver(p) })
		if m.lost < m.bounds.lost {
			out = append(out, func() { m.lost++; m.remove(i) })
		}
		if m.doubled < m.bounds.doubled {
			out = append(out, func() { m.doubled++; m.packets = append(m.packets, p) })
		}
	}
	for i := range m.running {
		p := m.running[i]
		out = append(out, func() { m.running = slices.Delete(m.running, i, i+1); m.finish(p) })
	}
	if m.restarts < m.bounds.restarts {
		for i := range m.gates {
			out = append(out, func() { m.restarts++; m.gates[i] = &Fence{Gate: m.gates[i].Gate + 1} })
		}
	}
	if m.waiting {
		out = append(out, m.timeout)
	}
	return out
}

// remove takes a packet off the network.
func (m *scenario) remove(i int) { m.packets = slices.Delete(m.packets, i, i+1) }

// deliver brings a packet to its end.
func (m *scenario) deliver(p packet) {
	if p.kind == replyPacket {
		m.ended(p.attempt, p.verdict)
		return
	}
	f := m.gates[p.gate]
	if f.Gate != p.life {
		return // the connection has ended with that life
	}
	var a Answer
	if p.kind == voidPacket {
		a = f.Void(0, p.addressed, id(p.attempt))
		if m.unsafeVoid && a.Reason == ReasonGate {
			a.Verdict = result.NotRun
		}
	} else {
		a = f.Arrive(0, p.addressed, id(p.attempt))
	}
	if a.Kind == Run {
		m.ran++
		m.running = append(m.running, p)
		return
	}
	m.packets = append(m.packets, packet{kind: replyPacket, attempt: p.attempt, verdict: a.Verdict})
}

// finish ends a run; its answer is lost if the gate has been restarted.
func (m *scenario) finish(p packet) {
	if f := m.gates[p.gate]; f.Gate == p.life {
		f.Finish(0, id(p.attempt), result.Ran, []byte("answer"))
		m.packets = append(m.packets, packet{kind: replyPacket, attempt: p.attempt, verdict: result.Ran})
	}
}

// timeout gives up waiting: first the attempt is voided, then it may have run.
func (m *scenario) timeout() {
	n := m.attempt.Sent
	if m.voided {
		m.ended(n, result.MayHaveRun)
		return
	}
	m.voided = true
	m.packets = append(m.packets, packet{kind: voidPacket, gate: m.gate, addressed: m.addressed, attempt: n})
}

// ended takes the verdict of the present attempt.
func (m *scenario) ended(attempt int, v result.Verdict) {
	if !m.waiting || attempt != m.attempt.Sent {
		return
	}
	m.waiting = false
	m.attempt.End(v)
	d := m.policy.Decide(0, m.attempt, v)
	if d.Kind == retry.Retry {
		m.send()
		return
	}
	m.answered, m.verdict = true, d.Verdict
}

// state describes everything that later steps and checks depend on.
func (m *scenario) state() string {
	var b strings.Builder
	for _, f := range m.gates {
		fmt.Fprint(&b, f.Gate, ":")
		for n := 1; n <= m.attempt.Sent; n++ {
			if r := f.records[id(n)]; r != nil {
				fmt.Fprint(&b, n, r.phase, r.verdict, " ")
			}
		}
	}
	for _, list := range [][]packet{m.packets, m.running} {
		texts := make([]string, len(list))
		for i, p := range list {
			texts[i] = fmt.Sprint(p)
		}
		slices.Sort(texts)
		fmt.Fprint(&b, texts)
	}
	fmt.Fprint(&b, m.ran, m.attempt.Sent, m.attempt.Uncertain, m.addressed, m.waiting, m.voided, m.answered, m.verdict,
		m.lost, m.doubled, m.restarts)
	return b.String()
}

// broken returns the rule that does not hold, or "".
func (m *scenario) broken() string {
	switch {
	case m.ran > 1:
		return "request ran twice"
	case m.answered && m.verdict == result.NotRun && m.ran > 0:
		return "request was refused as not run, and ran"
	}
	return ""
}

// explore plays all orders and returns the first broken rule.
func explore(unsafeVoid bool) (broken string, states int) {
	_, states = paths.Explore(func(c *paths.Chooser) bool {
		m := newScenario(unsafeVoid)
		for range mostSteps {
			steps := m.steps()
			if len(steps) == 0 {
				return true
			}
			steps[c.Choose(len(steps))]()
			if broken = m.broken(); broken != "" {
				return false
			}
			if c.Seen(m.state) {
				return true
			}
		}
		broken = "path is longer than the bound"
		return false
	})
	return broken, states
}

// TestEveryOrder guards against an order of losses, delays, duplicates, time-outs,
// voids and restarts of gates in which a request that must not be repeated runs twice,
// or runs although its caller was told that it has not.
func TestEveryOrder(t *testing.T) {
	is := is.New(t)
	broken, states := explore(false)
	is.Equal(broken, "")
	is.True(states > 1000) // the exploration has not ended early
	t.Logf("%d states", states)

	broken, _ = explore(true)
	is.Equal(broken, "request ran twice")
}
