package fresh

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	testBound = 5 * clock.Second
	testValid = testBound - marginMillis
)

// pair is two neighbours whose clocks differ.
type pair struct {
	a, b *Node
	// skew is how far the clock of b is ahead.
	skew clock.Millis
}

// newTestNode returns a node that holds version 4 and is the only one in the list of nodes.
func newTestNode(seed uint64) *Node {
	n := startedNode(seed)
	n.Discovered(0, nil)
	return n
}

// startedNode returns a node that holds version 4 and does not know yet whether there are
// others.
func startedNode(seed uint64) *Node {
	n := New(Config{BoundMillis: testBound}, rand.New(rand.NewPCG(seed, 1)))
	n.SetHeld(4)
	return n
}

// newPair returns two neighbours that know each other's clocks, at time 0.
func newPair() *pair {
	p := &pair{a: newTestNode(1), b: newTestNode(2), skew: 9e6}
	asked := p.a.SetNeighbours(0, []Neighbour{{Node: "b"}})
	p.b.SetNeighbours(p.skew, []Neighbour{{Node: "a"}})
	answers := p.b.Receive(p.skew+2, "a", asked[0].Message)
	back := p.a.Receive(4, "b", answers[0].Message)
	p.b.Receive(p.skew+6, "a", back[0].Message)
	return p
}

// TestProofOfHeldWait guards against a proof that is as old as the call, when the store has
// held the call and states its time, and against one that is newer than the answer.
func TestProofOfHeldWait(t *testing.T) {
	is := is.New(t)
	n := newTestNode(1)
	n.Answered(1010, Answer{Version: 4, SentAt: 1000, Era: 1, StoreMillis: 70_000})
	is.Equal(n.ValidUntil(), 1000+testValid)
	n.Answered(21_100, Answer{Version: 4, SentAt: 1010, Era: 1, StoreMillis: 90_000})
	is.True(math.Abs(float64(n.ValidUntil()-(21_000+testValid))) <= 21) // 1000 + 20,000 ms, less the drift
	is.True(n.ValidUntil() <= 21_000+testValid)
	n.Answered(22_000, Answer{Version: 4, SentAt: 21_950, Era: 1}) // the store states no time
	is.Equal(n.ValidUntil(), 21_950+testValid)
	n.Answered(23_000, Answer{Version: 4, SentAt: 22_900, Era: 1, StoreMillis: 1e9}) // a store's clock that jumps
	is.True(n.ValidUntil() <= 23_000+testValid)
}

// TestMarginCoversDroppedHistory guards against an admission after the bound when a wait
// has heard of no change for one second while the store dropped its history.
func TestMarginCoversDroppedHistory(t *testing.T) {
	is := is.New(t)
	n := newTestNode(1)
	const acknowledged = 10 * clock.Second
	// A wait is answered without a change just before the second ends. The store's clock
	// is known, so the proof is as old as the answer.
	answered := acknowledged + historyMillis
	n.Answered(answered-3000, Answer{Version: 4, SentAt: answered - 3000, Era: 1, StoreMillis: 47_000})
	a := Answer{Version: 4, Unchanged: true, SentAt: answered - 1500, HoldMillis: 1500, Era: 1, StoreMillis: 50_000}
	n.Answered(answered, a)
	is.True(n.ValidUntil() <= acknowledged+testBound)
	is.True(n.ValidUntil() > answered-10+testValid)
	// One that was held for less may have heard nothing of a change long before.
	until := n.ValidUntil()
	a.SentAt, a.StoreMillis, a.HoldMillis = answered+100, 50_110, 0
	n.Answered(answered+110, a)
	a.HoldMillis = 1500 // not held
	n.Answered(answered+120, a)
	is.Equal(n.ValidUntil(), until)
}

// TestStoreDownOrSlow guards against requests with keys that go on after the bound when the
// store does not answer, and against ones that end before.
func TestStoreDownOrSlow(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.a.Answered(1000, Answer{Version: 4, SentAt: 990})
	for now := clock.Millis(1000); now < 9000; now += 100 {
		p.a.Tick(now)
		is.Equal(now < p.a.ValidUntil(), now < 990+testValid)
	}
	// The answer to a slow call is as old as the call, if the store's clock is not known.
	p.a.Answered(12_000, Answer{Version: 4, SentAt: 10_000, StoreMillis: 50_000})
	is.Equal(p.a.ValidUntil(), 10_000+testValid)
}

// TestNodeCutOff guards against a node that is served by no proof of a neighbour after a
// partition, and against a message from before it that is taken for a recent one.
func TestNodeCutOff(t *testing.T) {
	is := is.New(t)
	p := newPair()
	sent := p.a.Answered(2000, Answer{Version: 4, SentAt: 1990, StoreMillis: 51_000})
	is.Equal(len(sent), 1)
	// The message arrives 8 s late: its proof is as old as it is.
	p.b.Receive(p.skew+10_000, "a", sent[0].Message)
	is.True(p.b.ValidUntil() <= p.skew+2000+testValid)
	is.True(p.b.ValidUntil() > p.skew+1950+testValid)
	// A node whose proof is old asks, and has one after a round trip.
	asks := p.b.Tick(p.skew + 10_000)
	is.Equal(len(asks), 1)
	p.a.Answered(10_001, Answer{Version: 4, SentAt: 10_000, StoreMillis: 59_000})
	answers := p.a.Receive(10_002, "b", asks[0].Message)
	p.b.Receive(p.skew+10_004, "a", answers[0].Message)
	is.True(p.b.ValidUntil() > p.skew+9950+testValid)
}

// TestRestartedNode guards against a restarted node that admits requests without a proof,
// that does not ask for one at once, or that is sent none because its neighbour takes it
// to have one.
func TestRestartedNode(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.a.Answered(1000, Answer{Version: 4, SentAt: 1000, StoreMillis: 50_000})
	p.b = New(Config{BoundMillis: testBound}, rand.New(rand.NewPCG(3, 1)))
	p.skew = -500 // the machine has restarted
	is.True(p.b.ValidUntil() < -1e9)
	asked := p.b.SetNeighbours(p.skew+1100, []Neighbour{{Node: "a"}})
	is.Equal(len(asked), 1)
	answers := p.a.Receive(1102, "b", asked[0].Message)
	is.Equal(len(answers), 1)
	p.b.Receive(p.skew+1104, "a", answers[0].Message)
	is.True(p.b.ValidUntil() < -1e9) // no release yet
	p.b.SetHeld(4)
	is.True(p.b.ValidUntil() > p.skew+950+testValid)
	is.True(p.b.ValidUntil() <= p.skew+1000+testValid)
}

// TestEchoOfAnEarlierClock guards against a clock difference from before the restart of a
// machine, with which a proof would seem to be recent.
func TestEchoOfAnEarlierClock(t *testing.T) {
	is := is.New(t)
	n := newTestNode(1)
	n.SetNeighbours(1000, []Neighbour{{Node: "b"}})
	m := Message{Version: 4, At: 5000, Clock: 9, SentAt: 5000, EchoClock: n.id + 2, EchoSentAt: 900, EchoReceivedAt: 4000}
	out := n.Receive(1010, "b", m)
	is.True(n.ValidUntil() < -1e9)
	is.True(len(out) == 1 && out[0].Message.Ask) // it asks until it knows the clock
	m.EchoClock, m.EchoSentAt, m.EchoReceivedAt = n.id, 1010, 5010
	n.Receive(1020, "b", m)
	is.Equal(n.ValidUntil(), clock.Millis(1000)-driftRate*10+testValid)
	m.Clock, m.EchoClock, m.At = 11, 0, 9000 // the neighbour has restarted
	n.Receive(1030, "b", m)
	is.True(n.ValidUntil() < 1001+testValid)
}

// TestSuspendedMachine guards against a proof that expired while the machine was suspended
// or the process paused, and against one in a message that arrived meanwhile.
func TestSuspendedMachine(t *testing.T) {
	is := is.New(t)
	p := newPair()
	sent := p.a.Answered(1000, Answer{Version: 4, SentAt: 1000, StoreMillis: 50_000})
	p.b.Receive(p.skew+1002, "a", sent[0].Message)
	resumed := p.skew + 60_000
	is.True(resumed >= p.b.ValidUntil())
	sent = p.a.Answered(3000, Answer{Version: 4, SentAt: 3000, StoreMillis: 52_000})
	p.b.Receive(resumed, "a", sent[0].Message)
	is.True(resumed >= p.b.ValidUntil())
}

// TestProofForALaterVersion guards against a proof that counts at a node without the
// release, which may revoke a key, and against one that is lost until the release arrives.
func TestProofForALaterVersion(t *testing.T) {
	is := is.New(t)
	n := newTestNode(1)
	n.Answered(1000, Answer{Version: 4, SentAt: 1000, StoreMillis: 1})
	n.Answered(2000, Answer{Version: 6, SentAt: 2000})
	n.Answered(3000, Answer{Version: 7, SentAt: 3000})
	is.Equal(n.ValidUntil(), 1000+testValid)
	n.SetHeld(6)
	is.Equal(n.ValidUntil(), 2000+testValid)
	n.SetHeld(9) // later than all of them
	is.Equal(n.ValidUntil(), 3000+testValid)
	for v := range ident.Version(50) {
		n.Answered(4000+clock.Millis(v), Answer{Version: 10 + v, SentAt: 4000 + clock.Millis(v)})
	}
	is.True(len(n.proofs.list) <= maxProofs)
	n.SetHeld(59)
	is.Equal(n.ValidUntil(), 4049+testValid)
}

// TestRestoredStore guards against an older release that counts as the newest because the
// store was restored from a copy without the release that revoked a key, and against an
// answer of the new era that counts before neighbours could tell of that release.
func TestRestoredStore(t *testing.T) {
	is := is.New(t)
	n := newTestNode(1)
	n.Answered(1000, Answer{Version: 4, SentAt: 1000, Era: 1, StoreMillis: 1})
	n.Answered(2000, Answer{Version: 5, SentAt: 2000, Era: 1})
	n.Answered(3000, Answer{Version: 4, SentAt: 3000, Era: 2})
	is.Equal(n.ValidUntil(), 1000+testValid) // version 5 is known
	n.SetHeld(5)
	is.Equal(n.ValidUntil(), 3000+testValid)

	p := newPair()
	p.a.Answered(1000, Answer{Version: 4, SentAt: 1000, Era: 1, StoreMillis: 50_000})
	p.a.Tick(1000 + confirmMillis)
	p.b.SetHeld(6)
	p.b.Answered(p.skew+1500, Answer{Version: 6, SentAt: p.skew + 1500})
	until := p.a.ValidUntil()
	asks := p.a.Answered(2000, Answer{Version: 4, SentAt: 2000, Era: 2, StoreMillis: 7})
	is.True(len(asks) == 1 && asks[0].Message.Ask)
	is.Equal(p.a.ValidUntil(), until)
	answers := p.b.Receive(p.skew+2002, "a", asks[0].Message)
	p.a.Receive(2004, "b", answers[0].Message)
	is.True(p.a.ValidUntil() <= until)
	p.a.SetHeld(6)
	is.Equal(p.a.ValidUntil(), 2000+testValid)
}

// TestStartAfterRestore guards against a node that has just started and takes the answer of
// a restored store for a proof, before other nodes have told of a later release.
func TestStartAfterRestore(t *testing.T) {
	is := is.New(t)
	answer := Answer{Version: 4, SentAt: 1000, Era: 2, StoreMillis: 7}
	p := newPair()
	p.b.SetHeld(5)
	p.b.Answered(p.skew+900, Answer{Version: 5, SentAt: p.skew + 900})
	started := startedNode(3)
	started.Answered(1000, answer)
	started.Discovered(1010, []Neighbour{{Node: "c", Address: "c"}})
	is.True(started.Unconfirmed())
	is.Equal(started.ValidUntil(), -clock.Forever+testValid)
	asks := started.SetNeighbours(1200, []Neighbour{{Node: "b"}})
	answers := p.b.Receive(p.skew+1202, "a", asks[0].Message)
	started.Receive(1204, "b", answers[0].Message)
	is.True(!started.Unconfirmed())
	is.True(started.ValidUntil() < 0) // version 5 is known and not held
	started.SetHeld(5)
	is.Equal(started.ValidUntil(), 1000+testValid)

	unreached := startedNode(3)
	unreached.Answered(1000, answer)
	unreached.Tick(4900)
	unreached.Answered(4950, answer)
	unreached.Answered(4960, Answer{Version: 4, SentAt: 4950, Era: 3, StoreMillis: 9})
	is.True(unreached.Unconfirmed()) // it does not know yet whether there are others
	unreached.Discovered(5000, []Neighbour{{Node: "c"}})
	unreached.Tick(4999 + startConfirmMillis)
	is.True(unreached.Unconfirmed())
	unreached.Tick(5000 + startConfirmMillis)
	is.Equal(unreached.ValidUntil(), 4950+testValid)

	alone := startedNode(3)
	alone.Discovered(900, nil)
	alone.Answered(1000, answer)
	is.Equal(alone.ValidUntil(), 1000+testValid)
}

// TestNodesWithoutProof guards against answers of the store that count because a node that
// has just started too, and knows nothing, was the first to answer, and against a fleet whose
// nodes have all restarted and wait for those that are down.
func TestNodesWithoutProof(t *testing.T) {
	is := is.New(t)
	n := startedNode(3)
	n.Answered(1000, Answer{Version: 4, SentAt: 1000, Era: 2, StoreMillis: 7})
	var others []Neighbour
	for _, id := range []ident.NodeID{"b", "c", "d", "e", "f", "g", "h", "i", "j", "k"} {
		others = append(others, Neighbour{Node: id, Address: string(id)})
	}
	asks := n.Discovered(1100, others)
	is.Equal(len(asks), contactCount)
	empty := Message{Clock: 7, SentAt: 50, EchoClock: n.id, EchoSentAt: 1100, EchoReceivedAt: 40}
	for _, a := range asks[:unprovenQuorum] {
		is.True(a.Message.Ask && a.Address == string(a.To))
		is.True(n.Unconfirmed())
		n.Receive(1110, a.To, empty)
		n.Receive(1111, a.To, empty) // counts once
	}
	is.Equal(n.ValidUntil(), 1000+testValid)
}

// TestOldProofOfAHigherVersion guards against a proof for an earlier version that goes on
// to count although a later version is known to have been the newest before.
func TestOldProofOfAHigherVersion(t *testing.T) {
	is := is.New(t)
	n := newTestNode(1)
	n.Answered(2000, Answer{Version: 4, SentAt: 2000})
	n.Answered(2100, Answer{Version: 5, SentAt: 1500})
	is.Equal(n.ValidUntil(), 1500+testValid)
	n.Answered(2200, Answer{Version: 4, SentAt: 2200}) // counts for version 5 only
	is.Equal(n.ValidUntil(), 1500+testValid)
	n.SetHeld(5)
	is.Equal(n.ValidUntil(), 2200+testValid)
	n.SetHeld(6) // neighbours must not take a proof for version 4 from a node that knows 6
	n.Answered(2300, Answer{Version: 4, SentAt: 2300})
	is.Equal(n.proofs.best(), proof{6, 2300})
}

// TestPeersAreBounded guards against memory that grows with the nodes that send messages,
// and against the loss of a neighbour's clock.
func TestPeersAreBounded(t *testing.T) {
	is := is.New(t)
	p := newPair()
	for i := range 10 * maxPeers {
		p.a.Receive(clock.Millis(100+i), ident.NodeID(rune('c'+i)), Message{Clock: 3})
	}
	is.True(len(p.a.peers) <= maxPeers)
	is.True(p.a.peers["b"].offset.known)
}

// TestSubstitutesAreFew guards against a number of calls to the store that grows with the
// number of nodes, and against no call in time when leaders are refused.
func TestSubstitutesAreFew(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{4, 61, 300, 790} {
		var begun [2]int
		for i := range size {
			s := Substitute{Rand: rand.New(rand.NewPCG(uint64(i), 5))}
			for now := clock.Millis(0); now < 6*clock.Second; now += 100 {
				if s.Tick(now, now, size) {
					begun[0]++
					if now < 3*clock.Second {
						begun[1]++
					}
					s.Failed(now)
				}
			}
		}
		is.True(begun[0] <= 150)
		is.True(begun[1] >= 2)
		s := Substitute{Rand: rand.New(rand.NewPCG(1, 5))}
		for now := clock.Millis(0); now < 60*clock.Second; now += 100 {
			is.True(!s.Tick(now, substituteAgeMillis-1, size)) // never in a fleet without faults
		}
	}
}

// TestMessageValid guards against times that are no numbers.
func TestMessageValid(t *testing.T) {
	is := is.New(t)
	is.True(Message{At: -1e6, SentAt: 5}.Valid())
	for _, bad := range []float64{math.NaN(), math.Inf(1), math.Inf(-1)} {
		is.True(!Message{At: clock.Millis(bad)}.Valid())
		is.True(!Message{EchoReceivedAt: clock.Millis(bad)}.Valid())
	}
}

// TestShortBound guards against admissions with a bound that the margin uses up.
func TestShortBound(t *testing.T) {
	is := is.New(t)
	is.True(!Config{}.Enabled())
	n := New(Config{BoundMillis: historyMillis}, rand.New(rand.NewPCG(1, 1)))
	n.SetHeld(1)
	n.Answered(1000, Answer{Version: 1, SentAt: 1000})
	is.True(n.ValidUntil() <= 1000)
}
