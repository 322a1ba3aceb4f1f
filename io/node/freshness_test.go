package node

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/fresh"
	"hickoryrail/core/ident"
	"hickoryrail/core/sets"
	"hickoryrail/io/wire"
)

// recorder is a transport that counts the control messages of the optional parts, and all.
type recorder struct {
	transport
	mu              sync.Mutex
	optional, total int
}

func (r *recorder) SendControl(to ident.NodeID, address string, body []byte) {
	m, err := wire.DecodeControl(body)
	r.mu.Lock()
	r.total++
	if err != nil || m.Fresh != nil || m.Grant != nil || m.Canary != nil {
		r.optional++
	}
	r.mu.Unlock()
	r.transport.SendControl(to, address, body)
}

// counts returns the numbers of optional and of all messages.
func (r *recorder) counts() (int, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.optional, r.total
}

// record records the control messages that a node sends.
func record(n *Node) *recorder {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	r := &recorder{transport: n.fleet.transport}
	n.fleet.transport = r
	return r
}

// hasMetric reports whether the node has a metric whose name contains a text.
func hasMetric(t *testing.T, n *Node, text string) bool {
	t.Helper()
	families, err := n.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if strings.Contains(f.GetName(), text) {
			return true
		}
	}
	return false
}

// admits reports whether the node may admit requests with keys.
func admits(n *Node) bool {
	_, ok := n.ingress.Freshness.Check()
	return ok
}

// TestNothingWithoutStrictRevocation guards against messages, metrics and calls of the proof
// in a fleet whose platform does not require it, and, by the same fleet with it, against a
// check that sees nothing.
func TestNothingWithoutStrictRevocation(t *testing.T) {
	for _, strict := range []bool{false, true} {
		is := is.New(t)
		h := newFakePlatform(t)
		if strict {
			h.revocation = fresh.Config{BoundMillis: 5 * clock.Second}
		}
		nodes := h.startFleet(t, []ident.NodeID{"a", "b", "c", "d", "e"})
		var recorders []*recorder
		for _, n := range nodes {
			recorders = append(recorders, record(n))
		}
		time.Sleep(4 * time.Second) // membership and heartbeats are sent every second
		stopNodes(t, nodes...)
		optional := 0
		for i, r := range recorders {
			o, total := r.counts()
			optional += o
			is.True(total > 0)
			is.Equal(hasMetric(t, nodes[i], "proof"), strict)
		}
		is.Equal(optional > 0, strict)
		h.mu.Lock()
		other := slices.ContainsFunc(h.holds, func(d clock.Millis) bool {
			// The holds of feed.Follower: leaders, leaders after a release, watchers, and
			// confirmations.
			return !slices.Contains([]clock.Millis{1500, 800, 20_000, 0}, d)
		})
		h.mu.Unlock()
		is.Equal(other, strict)
		if !strict {
			is.True(nodes[0].ingress.Freshness == nil)
		}
	}
}

// TestProofRunsOut guards against requests that are admitted on an old proof, against a
// proof that is not regained when the store answers again, and against logs and metrics
// that do not show it. The clock jumps, as after a suspension of the machine.
func TestProofRunsOut(t *testing.T) {
	is := is.New(t)
	h := newFakePlatform(t)
	manual, log := clock.NewManual(1e6), &safeBuffer{}
	h.revocation, h.proofClock, h.log = fresh.Config{BoundMillis: 5 * clock.Second}, manual, log
	a, _ := h.start(t, "a")
	defer stopNodes(t, a)
	await(t, "the first proof", func() bool { return a.Ready() && admits(a) })
	h.change(func() { h.down = true })
	await(t, "the loss of the store", func() bool { return len(log.fieldsOf(reasonSourceLost)) == 1 })
	manual.Advance(3800)
	is.True(admits(a))
	manual.Advance(200)
	after, ok := a.ingress.Freshness.Check()
	is.True(!ok)
	is.Equal(after, minRetryMillis)
	manual.Advance(10_000)
	after, ok = a.ingress.Freshness.Check()
	is.True(!ok)
	is.Equal(after, maxRetryMillis)
	is.True(gauge(t, a, "hickoryrail_proof_age_seconds") >= 14)
	await(t, "the log line", func() bool { return len(log.fieldsOf(reasonProofLost)) == 1 })
	h.change(func() { h.down = false })
	await(t, "the next proof", func() bool { return admits(a) })
	await(t, "the log line", func() bool { return len(log.fieldsOf(reasonProofFound)) == 1 })
	is.Equal(len(log.fieldsOf(reasonProofLost)), 1)
}

// TestRefusedReleaseProvesNothing guards against requests that go on by a release whose
// successor may revoke a key, because the successor cannot be used.
func TestRefusedReleaseProvesNothing(t *testing.T) {
	is := is.New(t)
	h := newFakePlatform(t)
	manual, log := clock.NewManual(1e6), &safeBuffer{}
	h.revocation, h.proofClock, h.log = fresh.Config{BoundMillis: 5 * clock.Second}, manual, log
	a, _ := h.start(t, "a")
	defer stopNodes(t, a)
	await(t, "the first proof", func() bool { return a.Ready() && admits(a) })
	h.change(func() { h.invalid = true })
	h.publish(t)
	await(t, "the refusal", func() bool { return strings.Contains(log.text(), "release of the source is refused") })
	manual.Advance(4000)
	time.Sleep(2 * refusedDelayMillis.Duration()) // it is read again meanwhile
	is.True(!admits(a))
	h.change(func() { h.invalid = false })
	h.publish(t)
	await(t, "the next proof", func() bool { return admits(a) })
	is.Equal(a.Version(), ident.Version(3))
}

// TestProofWhileLeadersAreRefused guards against a fleet without a proof while the store
// refuses just those nodes that call it, and against one whose other nodes all call it.
func TestProofWhileLeadersAreRefused(t *testing.T) {
	is := is.New(t)
	h := newFakePlatform(t)
	// The bound leaves time on a busy test machine.
	h.revocation = fresh.Config{BoundMillis: 9 * clock.Second}
	names := []ident.NodeID{"a", "b", "c", "d", "e", "f", "g", "h"}
	nodes := h.startFleet(t, names)
	defer stopNodes(t, nodes...)
	all := func() bool { return !slices.ContainsFunc(nodes, func(n *Node) bool { return !admits(n) }) }
	await(t, "proofs", all)
	h.change(func() { h.refused = sets.Of(names[:watchersPerDomain]...) })
	for range 200 {
		time.Sleep(50 * time.Millisecond)
		is.True(all())
	}
	h.publish(t)
	await(t, "the release", func() bool {
		return !slices.ContainsFunc(nodes, func(n *Node) bool { return n.Version() != 2 }) && all()
	})
}

// TestProofOfRestartedNode guards against a restarted node that has to read the store
// before it admits requests.
func TestProofOfRestartedNode(t *testing.T) {
	h := newFakePlatform(t)
	h.revocation = fresh.Config{BoundMillis: 9 * clock.Second}
	a, _ := h.start(t, "a")
	defer stopNodes(t, a)
	await(t, "a proof", func() bool { return a.Ready() && admits(a) })
	h.change(func() { h.refused = sets.Of[ident.NodeID]("b") })
	b, _ := h.start(t, "b")
	defer stopNodes(t, b)
	await(t, "a proof of the neighbour", func() bool { return b.Ready() && admits(b) })
}

// TestRevokedKeyAfterRestore guards against a restarted node that admits requests by an
// older release, in which a key is not revoked yet, because the store was restored from an
// older copy and the node has not met the others yet.
func TestRevokedKeyAfterRestore(t *testing.T) {
	is := is.New(t)
	h := newFakePlatform(t)
	h.position.Era, h.revocation = 1, fresh.Config{BoundMillis: 9 * clock.Second}
	nodes := h.startFleet(t, []ident.NodeID{"a", "b"})
	defer stopNodes(t, nodes...)
	copied := h.release
	h.publish(t)
	awaitVersion(t, 2, nodes...)
	h.restore(t, 1)
	h.change(func() { h.release = copied })
	c, _ := h.start(t, "c")
	defer stopNodes(t, c)
	await(t, "the release of the others", func() bool {
		if admits(c) {
			is.Equal(c.Version(), ident.Version(2))
		}
		return c.Version() == 2 && admits(c)
	})
}

// TestProofOfSingleNode guards against a node that waits for others although there are
// none.
func TestProofOfSingleNode(t *testing.T) {
	is := is.New(t)
	h := newFakePlatform(t)
	log := &safeBuffer{}
	h.position.Era, h.revocation, h.log = 1, fresh.Config{BoundMillis: 9 * clock.Second}, log
	a, _ := h.start(t, "a")
	defer stopNodes(t, a)
	await(t, "the proof", func() bool { return a.Ready() && admits(a) })
	is.Equal(len(log.fieldsOf(reasonUnconfirmed)), 0)
}
