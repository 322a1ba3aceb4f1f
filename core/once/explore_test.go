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

// maxSteps bounds the number of steps of one path.
const maxSteps = 40

// deep raises the bounds from 2 attempts, 1 loss and 1 restart of a gate to 3, 2 and 2;
// the exploration then takes minutes.
var deep = flag.Bool("explore.deep", false, "explore more losses, restarts and attempts")

type (
	// packet is a message between the ingress and a gate. Its copies arrive only at the
	// incarnation of the gate to which the connection was opened.
	packet struct {
		kind packetKind
		gate int
		// incarnation is that of the gate to which the connection was opened; 0 before
		// it is open.
		incarnation ident.Incarnation
		// addressed is the incarnation of the gate to which the ingress addresses the
		// message.
		addressed ident.Incarnation
		attempt   int
		verdict   result.Verdict
	}

	packetKind int

	// bounds limits the attempts, the messages that are lost or duplicated, and the
	// restarts of gates.
	bounds struct {
		attempts, lost, duplicated, restarts int
	}

	// scenario is the state of an ingress with one request that must run at most once,
	// and of two gates with a target each.
	scenario struct {
		bounds bounds
		// unsafeVoid breaks a rule deliberately: the response to a void for an earlier
		// incarnation of the gate is treated as NotRun.
		unsafeVoid bool

		gates   [2]*Dedup
		packets []packet
		// running holds the requests that a target executes; their incarnation is that
		// of the gate that started them.
		running []packet
		ran     int
		call    retry.CallState
		policy  *retry.Policy
		// gate and addressed are those of the current attempt.
		gate      int
		addressed ident.Incarnation
		// waiting is set while the current attempt has no verdict, and voided once a
		// void was sent for it.
		waiting, voided            bool
		answered                   bool
		verdict                    result.Verdict
		lost, duplicated, restarts int
	}
)

const (
	requestPacket packetKind = iota
	voidPacket
	replyPacket
)

// newScenario returns a scenario in which the first attempt has been sent.
func newScenario(unsafeVoid bool) *scenario {
	s := &scenario{unsafeVoid: unsafeVoid, bounds: bounds{attempts: 2, lost: 1, duplicated: 1, restarts: 1}}
	if *deep {
		s.bounds = bounds{attempts: 3, lost: 2, duplicated: 1, restarts: 2}
	}
	for i := range s.gates {
		s.gates[i] = &Dedup{Gate: ident.Incarnation(10*i + 10)}
	}
	s.policy = &retry.Policy{Budget: &retry.Budget{PerSecond: 1e6}, Rand: rand.New(rand.NewPCG(1, 1))}
	s.policy.Budget.RecordCall(0)
	s.call = retry.CallState{Route: model.Route{MaxAttempts: s.bounds.attempts}, Deadline: 5000}
	s.send()
	return s
}

// send sends the next attempt, alternating between the gates.
func (s *scenario) send() {
	s.gate = s.call.Sent % len(s.gates)
	s.addressed = s.gates[s.gate].Gate
	s.call.Start(0)
	s.waiting, s.voided = true, false
	s.packets = append(s.packets, packet{kind: requestPacket, gate: s.gate, addressed: s.addressed, attempt: s.call.Sent})
}

// id returns the request id of an attempt.
func id(attempt int) ident.RequestID { return ident.RequestID(fmt.Sprint("r.", attempt)) }

// steps returns all possible next events.
func (s *scenario) steps() []func() {
	var out []func()
	for i := range s.packets {
		p := s.packets[i]
		if p.incarnation == 0 && p.kind != replyPacket {
			out = append(out, func() { s.packets[i].incarnation = s.gates[p.gate].Gate })
			continue
		}
		out = append(out, func() { s.remove(i); s.deliver(p) })
		if s.lost < s.bounds.lost {
			out = append(out, func() { s.lost++; s.remove(i) })
		}
		if s.duplicated < s.bounds.duplicated {
			out = append(out, func() { s.duplicated++; s.packets = append(s.packets, p) })
		}
	}
	for i := range s.running {
		p := s.running[i]
		out = append(out, func() { s.running = slices.Delete(s.running, i, i+1); s.finish(p) })
	}
	if s.restarts < s.bounds.restarts {
		for i := range s.gates {
			out = append(out, func() { s.restarts++; s.gates[i] = &Dedup{Gate: s.gates[i].Gate + 1} })
		}
	}
	if s.waiting {
		out = append(out, s.timeout)
	}
	return out
}

// remove removes a packet from the network.
func (s *scenario) remove(i int) { s.packets = slices.Delete(s.packets, i, i+1) }

// deliver handles the arrival of a packet at the ingress or at a gate.
func (s *scenario) deliver(p packet) {
	if p.kind == replyPacket {
		s.endAttempt(p.attempt, p.verdict)
		return
	}
	d := s.gates[p.gate]
	if d.Gate != p.incarnation {
		return // the connection was closed when that incarnation ended
	}
	var decision Decision
	if p.kind == voidPacket {
		decision = d.Void(0, p.addressed, id(p.attempt))
		if s.unsafeVoid && decision.Reason == ReasonIncarnation {
			decision.Verdict = result.NotRun
		}
	} else {
		decision = d.Begin(0, p.addressed, id(p.attempt))
	}
	if decision.Kind == Run {
		s.ran++
		s.running = append(s.running, p)
		return
	}
	s.packets = append(s.packets, packet{kind: replyPacket, attempt: p.attempt, verdict: decision.Verdict})
}

// finish ends an execution; its response is lost if the gate has restarted.
func (s *scenario) finish(p packet) {
	if d := s.gates[p.gate]; d.Gate == p.incarnation {
		d.Finish(0, id(p.attempt), result.Ran, []byte("answer"))
		s.packets = append(s.packets, packet{kind: replyPacket, attempt: p.attempt, verdict: result.Ran})
	}
}

// timeout handles a timeout of the ingress: the first one sends a void for the attempt,
// the second one ends it as MayHaveRun.
func (s *scenario) timeout() {
	n := s.call.Sent
	if s.voided {
		s.endAttempt(n, result.MayHaveRun)
		return
	}
	s.voided = true
	s.packets = append(s.packets, packet{kind: voidPacket, gate: s.gate, addressed: s.addressed, attempt: n})
}

// endAttempt handles the verdict of the current attempt; verdicts of other attempts are
// ignored.
func (s *scenario) endAttempt(attempt int, v result.Verdict) {
	if !s.waiting || attempt != s.call.Sent {
		return
	}
	s.waiting = false
	s.call.End(v)
	d := s.policy.Decide(0, s.call, v)
	if d.Kind == retry.Retry {
		s.send()
		return
	}
	s.answered, s.verdict = true, d.Verdict
}

// state returns a text of everything on which later steps and checks depend.
func (s *scenario) state() string {
	var b strings.Builder
	for _, d := range s.gates {
		fmt.Fprint(&b, d.Gate, ":")
		for n := 1; n <= s.call.Sent; n++ {
			if r := d.records[id(n)]; r != nil {
				fmt.Fprint(&b, n, r.phase, r.verdict, " ")
			}
		}
	}
	for _, list := range [][]packet{s.packets, s.running} {
		texts := make([]string, len(list))
		for i, p := range list {
			texts[i] = fmt.Sprint(p)
		}
		slices.Sort(texts)
		fmt.Fprint(&b, texts)
	}
	fmt.Fprint(&b, s.ran, s.call.Sent, s.call.Uncertain, s.addressed, s.waiting, s.voided, s.answered, s.verdict,
		s.lost, s.duplicated, s.restarts)
	return b.String()
}

// violation describes the violated rule, or returns "".
func (s *scenario) violation() string {
	switch {
	case s.ran > 1:
		return "request ran twice"
	case s.answered && s.verdict == result.NotRun && s.ran > 0:
		return "request was refused as not run, and ran"
	}
	return ""
}

// explore runs all orders of events. It returns the first violation and the number of
// states.
func explore(unsafeVoid bool) (violation string, states int) {
	_, states = paths.Explore(func(c *paths.Chooser) bool {
		s := newScenario(unsafeVoid)
		for range maxSteps {
			steps := s.steps()
			if len(steps) == 0 {
				return true
			}
			steps[c.Choose(len(steps))]()
			if violation = s.violation(); violation != "" {
				return false
			}
			if c.Seen(s.state) {
				return true
			}
		}
		violation = "path is longer than the bound"
		return false
	})
	return violation, states
}

// TestEveryOrder guards against an order of losses, delays, duplicates, timeouts, voids
// and restarts of gates in which a request runs twice, or runs although its caller
// received NotRun.
func TestEveryOrder(t *testing.T) {
	is := is.New(t)
	violation, states := explore(false)
	is.Equal(violation, "")
	is.True(states > 1000) // the exploration did not end early
	t.Logf("%d states", states)

	violation, _ = explore(true)
	is.Equal(violation, "request ran twice")
}
