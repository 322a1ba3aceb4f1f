package node

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/clock"
	"hickoryrail/core/feed"
	"hickoryrail/core/fresh"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/spread"
	"hickoryrail/io/logs"
	"hickoryrail/io/proxy"
	"hickoryrail/io/stats"
	"hickoryrail/io/wire"
)

const (
	// longHoldMillis is the hold from which on a wait is abandoned when the node begins to
	// substitute for others.
	longHoldMillis = 5 * clock.Second
	// minRetryMillis and maxRetryMillis bound the time after which a refused caller is told
	// to retry: soon at first, because another node may have a proof, later while the store
	// is away.
	minRetryMillis = 200 * clock.Millis(1)
	maxRetryMillis = 1 * clock.Second
)

// Reasons of logged decisions on the proof.
const (
	reasonProofLost  = "configuration is not proven to be the newest: requests with keys are refused"
	reasonProofFound = "configuration is proven to be the newest again"
	// reasonUnconfirmed means that the store may have been restored from an older copy.
	reasonUnconfirmed = "answers of the store count once another node has confirmed them"
)

// freshness connects the proof that the configuration is the newest to the fleet, the
// watcher and the ingress. It is safe for concurrent use, and its methods may be called on
// nil, which means that revocation is not strict. Its lock is acquired after that of fleet.
type freshness struct {
	clock clock.Clock
	// wall is the clock of log lines.
	wall clock.Clock
	log  logs.Sink
	// send queues a message; it must not block.
	send func(to ident.NodeID, address string, m wire.Control)
	// due holds a signal that the node begins to substitute for others; its capacity is 1.
	due           chan struct{}
	substitutions prometheus.Counter

	// validUntil holds the bits of the time until which requests are admitted.
	validUntil atomic.Uint64

	mu         sync.Mutex
	node       *fresh.Node
	substitute fresh.Substitute
	// held is the version in force. proven is whether it was proven to be the newest at the
	// last tick, and lost whether it has ceased to be and that was logged.
	held         ident.Version
	proven, lost bool
	// unconfirmed is whether answers of the store waited for other nodes at the last tick.
	unconfirmed bool
}

var _ proxy.Freshness = (*freshness)(nil)

// newFreshness returns the state of a node, or nil if revocation is not strict. c is the
// clock of the proof; nil means the machine's.
func newFreshness(config fresh.Config, c, wall clock.Clock, log logs.Sink, random *rand.Rand) *freshness {
	if !config.Enabled() {
		return nil
	}
	if c == nil {
		c = clock.NewBoot()
	}
	f := &freshness{
		clock: c, wall: wall, log: log, due: make(chan struct{}, 1),
		node: fresh.New(config, random), substitute: fresh.Substitute{Rand: random},
		substitutions: stats.Counter("proof_substitutions_total", "Times that this node began to call the store in place of the nodes that should."),
	}
	f.publish()
	return f
}

// register registers the metrics.
func (f *freshness) register(r prometheus.Registerer) error {
	if f == nil {
		return nil
	}
	age := stats.GaugeFunc("proof_age_seconds", "Time since the release in force was known to be the newest; -1 without a proof.", func() float64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		if age := f.node.Age(f.clock.Now()); age < clock.Forever/2 {
			return float64(age / clock.Second)
		}
		return -1
	})
	return stats.Register(r, age, f.substitutions)
}

// Check reports whether requests with keys may be admitted.
func (f *freshness) Check() (clock.Millis, bool) {
	late := f.clock.Now() - clock.Millis(math.Float64frombits(f.validUntil.Load()))
	if late < 0 {
		return 0, true
	}
	if late > clock.Forever/2 {
		return minRetryMillis, false // there has been no proof yet
	}
	return min(max(late/2, minRetryMillis), maxRetryMillis), false
}

// now returns the time of the proof's clock, or 0 if revocation is not strict.
func (f *freshness) now() clock.Millis {
	if f == nil {
		return 0
	}
	return f.clock.Now()
}

// receive handles a message of another node.
func (f *freshness) receive(from ident.NodeID, m fresh.Message) {
	f.update(func(now clock.Millis) []fresh.Action { return f.node.Receive(now, from, m) })
}

// setNeighbours passes on a changed set of overlay neighbours.
func (f *freshness) setNeighbours(neighbours []spread.Neighbour) {
	f.update(func(now clock.Millis) []fresh.Action {
		list := make([]fresh.Neighbour, len(neighbours))
		for i, b := range neighbours {
			list[i] = fresh.Neighbour(b)
		}
		return f.node.SetNeighbours(now, list)
	})
}

// setHeld records the version by which the ingress routes.
func (f *freshness) setHeld(v ident.Version) {
	f.update(func(clock.Millis) []fresh.Action {
		f.held = v
		f.node.SetHeld(v)
		return nil
	})
}

// answered takes in an answer of the store to a step that was begun at a time. version is the
// newest that the node has read.
func (f *freshness) answered(sentAt clock.Millis, s feed.Step, version ident.Version, a feed.Answer) {
	f.update(func(now clock.Millis) []fresh.Action {
		return f.node.Answered(now, fresh.Answer{
			Version: version, Unchanged: s.Kind == feed.Wait && a.Release.Version == 0,
			SentAt: sentAt, HoldMillis: s.HoldMillis, Era: a.Position.Era, StoreMillis: a.StoreMillis,
		})
	})
}

// discovered records that the directory was read, and which nodes it lists. self is this
// one.
func (f *freshness) discovered(self ident.NodeID, listed []member.Seed) {
	f.update(func(now clock.Millis) []fresh.Action {
		var others []fresh.Neighbour
		for _, s := range listed {
			if s.Node != self {
				others = append(others, fresh.Neighbour(s))
			}
		}
		return f.node.Discovered(now, others)
	})
}

// callFailed records a failed call to the store.
func (f *freshness) callFailed() {
	f.update(func(now clock.Millis) []fresh.Action {
		f.substitute.Failed(now)
		return nil
	})
}

// tick runs the timers. size is the number of live nodes.
func (f *freshness) tick(size int) {
	f.update(func(now clock.Millis) []fresh.Action {
		out := f.node.Tick(now)
		if f.held > 0 && f.substitute.Tick(now, f.node.BestAge(now), size) {
			f.substitutions.Inc()
			select {
			case f.due <- struct{}{}:
			default: // already signalled
			}
		}
		f.logChange(now)
		return out
	})
}

// update passes an event to the state machine, publishes its result and sends its messages.
func (f *freshness) update(do func(now clock.Millis) []fresh.Action) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	out := do(f.clock.Now())
	f.publish()
	for _, a := range out {
		f.send(a.To, a.Address, wire.Control{Fresh: &a.Message})
	}
}

// publish makes the time until which requests are admitted known to Check.
func (f *freshness) publish() {
	f.validUntil.Store(math.Float64bits(float64(f.node.ValidUntil())))
}

// logChange logs when the proof has run out, when there is one again, and when answers of
// the store begin to wait for other nodes. The caller holds mu.
func (f *freshness) logChange(now clock.Millis) {
	proven := now < f.node.ValidUntil()
	switch {
	case f.proven && !proven:
		f.lost = true
		f.log.Record(logs.Decision{At: f.wall.Now(), Kind: logs.Release, Version: f.held, Reason: reasonProofLost})
	case proven && f.lost:
		f.lost = false
		f.log.Record(logs.Decision{At: f.wall.Now(), Kind: logs.Release, Version: f.held, Reason: reasonProofFound})
	}
	f.proven = proven
	unconfirmed := f.node.Unconfirmed()
	if unconfirmed && !f.unconfirmed {
		f.log.Record(logs.Decision{At: f.wall.Now(), Kind: logs.Release, Version: f.held, Reason: reasonUnconfirmed})
	}
	f.unconfirmed = unconfirmed
}

// substitutes reports whether the node calls the store in place of the nodes that should.
func (f *freshness) substitutes() bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.substitute.Active(f.clock.Now())
}

// begins returns a channel that signals when substitutes becomes true; nil if revocation is
// not strict.
func (f *freshness) begins() <-chan struct{} {
	if f == nil {
		return nil
	}
	return f.due
}

// adapt changes a leader's next call so that the proof is renewed in time.
func (f *freshness) adapt(s feed.Step) feed.Step {
	if f == nil || s.Kind != feed.Wait || s.HoldMillis >= longHoldMillis {
		return s
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held == 0 {
		return s // there is nothing to prove
	}
	hold, ok := f.node.Hold(f.clock.Now(), s.HoldMillis)
	if !ok {
		return feed.Step{Kind: feed.Read}
	}
	if s.HoldMillis > 0 { // else the wait confirms the era
		s.HoldMillis = hold
	}
	return s
}

// untilDue returns a context for a call that the store holds: a long one ends when the node
// begins to substitute for others. The caller must call the function that it returns.
func (f *freshness) untilDue(ctx context.Context, hold clock.Millis) (context.Context, context.CancelFunc) {
	if f == nil || hold < longHoldMillis {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-f.due:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
