package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/sourcegraph/conc"

	"hickoryrail/core/canary"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/result"
	"hickoryrail/core/route"
	"hickoryrail/io/plat"
	"hickoryrail/io/proxy"
	"hickoryrail/io/wire"
)

const (
	// rolloutTick is the period of the timers of rollouts.
	rolloutTick = 100 * time.Millisecond
	// surroundingsMillis is the age from which on a copy of the member records is replaced.
	surroundingsMillis = 500 * clock.Millis(1)
	// statusTimeoutMillis bounds a call to the store about a status row.
	statusTimeoutMillis = 1 * clock.Second
	// maxWriteDelayMillis is the age of a decision from which on it is not written: the
	// process was paused in between.
	maxWriteDelayMillis = 500 * clock.Millis(1)
	// awaitOrdersMillis bounds the wait of a target's first report for the first read of
	// the orders: the target must not get requests before its node knows whether it
	// belongs to a new version.
	awaitOrdersMillis = 1 * clock.Second
)

// rollouts connects the state machine of rollouts with the node. A nil *rollouts handles
// none. Its mutex may be acquired while that of the ingress or the gateway is held.
type rollouts struct {
	clock    clock.Clock
	fleet    *fleet
	gateway  *proxy.Gateway
	statuses plat.Statuses
	logger   log.Interface
	// service is that of the target beside the node.
	service ident.ServiceName

	// ordered is set once an order is known, active while ticks are needed, and replaced
	// while the gate refuses new calls.
	ordered, active, replaced atomic.Bool
	// known is closed after the first whole read of the orders, or the wait for it.
	known     chan struct{}
	knownOnce sync.Once
	// calls runs the calls to the store.
	calls conc.WaitGroup
	ctx   context.Context

	// copied is the last copy of the member records, made at copiedAt at a sequence of the
	// table. It belongs to tick.
	copied         canary.Surroundings
	copiedAt       clock.Millis
	copiedSequence uint64

	// mu guards the fields below.
	mu   sync.Mutex
	node canary.Node
	// software is the version of the software of the local target, and label the one that
	// was last published in the node's member record.
	software, label ident.SoftwareVersion
}

// run drives the timers until ctx ends.
func (r *rollouts) run(ctx context.Context) error {
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	defer r.calls.Wait()
	return every(ctx, rolloutTick, r.tick)
}

// tick runs the timers while there is a rollout.
func (r *rollouts) tick() {
	if !r.active.Load() {
		return
	}
	s := r.surroundings()
	s.Calls = r.gateway.Calls()
	r.handle(func(now clock.Millis, n *canary.Node) []canary.Action { return n.Tick(now, s) })
}

// ordersRead handles the orders in an answer of the store.
func (r *rollouts) ordersRead(o *canary.Orders) {
	if r == nil || o == nil {
		return
	}
	r.handle(func(now clock.Millis, n *canary.Node) []canary.Action { return n.OrdersRead(now, *o) })
	for _, name := range o.Malformed {
		r.logger.WithField("Service", string(name)).Error("order of a rollout is malformed and ignored")
	}
	if o.Whole {
		r.knownOnce.Do(func() { close(r.known) })
	}
}

// receive handles a message of another node.
func (r *rollouts) receive(from ident.NodeID, m canary.Message) {
	if r == nil {
		return
	}
	r.handle(func(now clock.Millis, n *canary.Node) []canary.Action { return n.Receive(now, from, m) })
}

// awaitOrders waits until the orders were read once, or for a short time.
func (r *rollouts) awaitOrders() {
	if r == nil {
		return
	}
	select {
	case <-r.known:
	case <-time.After(awaitOrdersMillis.Duration()):
		r.knownOnce.Do(func() { close(r.known) }) // the store does not answer; later reports do not wait
	}
}

// setSoftware sets the version of the local target's software. It is published before the
// target is, so that no node takes a target of a new version for an old one.
func (r *rollouts) setSoftware(v ident.SoftwareVersion) {
	if r == nil {
		return
	}
	r.handle(func(clock.Millis, *canary.Node) []canary.Action {
		r.software = v
		return nil
	})
}

// hasOrder reports whether an order for the service of the local target is known.
func (r *rollouts) hasOrder() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.node.Label(r.service)
	return ok
}

// handle passes an event to the state machine and performs the resulting actions.
func (r *rollouts) handle(event func(now clock.Millis, n *canary.Node) []canary.Action) {
	r.mu.Lock()
	now := r.clock.Now()
	actions := event(now, &r.node)
	r.ordered.Store(r.node.Ordered())
	r.active.Store(r.node.Active())
	r.replaced.Store(r.node.Refuses(now, r.service, r.software))
	label, ok := r.node.Label(r.service)
	if !ok || label != r.software {
		label = ""
	}
	changed := label != r.label
	r.label = label
	ctx := r.ctx
	r.mu.Unlock()
	if changed {
		r.publishLabel()
	}
	r.perform(ctx, now, actions)
}

// publishLabel publishes the present label. It is read again under the fleet's lock, so
// that the last of several changes stays.
func (r *rollouts) publishLabel() {
	r.fleet.setSoftware(func() ident.SoftwareVersion {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.label
	})
}

// perform performs the actions of the state machine that were decided at the time at.
func (r *rollouts) perform(ctx context.Context, at clock.Millis, actions []canary.Action) {
	for _, a := range actions {
		switch a.Kind {
		case canary.Send:
			r.fleet.send(a.To, a.Address, wire.Control{Canary: &a.Message})
		case canary.ReadStatus:
			r.calls.Go(func() { r.readStatus(ctx, a.Service) })
		case canary.WriteStatus:
			r.calls.Go(func() { r.writeStatus(ctx, at, a) })
		case canary.Note:
			r.logNote(a.Note)
		}
	}
}

// readStatus reads a status row.
func (r *rollouts) readStatus(ctx context.Context, service ident.ServiceName) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeoutMillis.Duration())
	defer cancel()
	s, err := r.statuses.ReadStatus(ctx, service)
	r.handle(func(now clock.Millis, n *canary.Node) []canary.Action {
		return n.StatusRead(now, service, s, replyOf(err))
	})
}

// writeStatus writes a status row that was decided at the time at.
func (r *rollouts) writeStatus(ctx context.Context, at clock.Millis, a canary.Action) {
	reply := canary.Failed
	if r.clock.Now()-at < maxWriteDelayMillis {
		ctx, cancel := context.WithTimeout(ctx, statusTimeoutMillis.Duration())
		defer cancel()
		reply = replyOf(r.statuses.WriteStatus(ctx, a.Service, a.Status))
	}
	r.handle(func(now clock.Millis, n *canary.Node) []canary.Action { return n.StatusWritten(now, a.Service, reply) })
}

// replyOf returns the outcome of a call to the store.
func replyOf(err error) canary.Reply {
	switch {
	case err == nil:
		return canary.OK
	case errors.Is(err, plat.ErrConflict):
		return canary.Conflict
	case result.Of(err) == result.NotRun:
		return canary.Failed
	}
	return canary.Unknown
}

// logNote writes a decision with its evidence to the log.
func (r *rollouts) logNote(d canary.Decision) {
	r.logger.WithFields(log.Fields{
		"Service": string(d.Service), "To": string(d.To), "State": d.Phase.String(), "Share": d.Share,
		"LeftMillis": float64(d.LeftMillis), "OldRequests": d.Old, "NewRequests": d.New,
		"Score": d.Finding.Score, "Route": string(d.Finding.Route), "Slow": d.Finding.Slow,
		"Bad": d.Finding.Bad, "Answers": d.Finding.Answers, "OldRate": d.Finding.BaseRate,
	}).Info("rollout: " + d.Reason)
}

// Choose implements proxy.Rollouts.
func (r *rollouts) Choose(service ident.ServiceName, hasOld bool) route.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.node.Choose(r.clock.Now(), service, hasOld, true)
	if !r.active.Load() && r.node.Active() {
		r.active.Store(true) // the order has to be asked for
	}
	return v
}

// Refund implements proxy.Rollouts.
func (r *rollouts) Refund(service ident.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.node.Refund(service)
}

// Record implements proxy.Rollouts.
func (r *rollouts) Record(s canary.Sample) {
	if !r.ordered.Load() {
		return
	}
	r.mu.Lock()
	actions := r.node.Record(r.clock.Now(), s)
	r.mu.Unlock()
	for _, a := range actions {
		r.logNote(a.Note)
	}
}

// Replaced implements proxy.Replaced.
func (r *rollouts) Replaced() bool {
	return r.replaced.Load()
}

// surroundings returns what the node knows of the fleet. The records are copied again only
// after a change of the routing, or after surroundingsMillis: a tick comes ten times a
// second. Only tick calls it.
func (r *rollouts) surroundings() canary.Surroundings {
	now := r.clock.Now()
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil {
		return canary.Surroundings{}
	}
	if f.table.Sequence() != r.copiedSequence || now-r.copiedAt >= surroundingsMillis {
		r.copied = canary.Surroundings{Address: f.table.Self().PeerAddress, Records: f.table.Records(), Neighbours: f.table.Neighbours()}
		r.copiedSequence, r.copiedAt = f.table.Sequence(), now
	}
	return r.copied
}

// setSoftware publishes the software version of the local target in the node's record.
func (f *fleet) setSoftware(v func() ident.SoftwareVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil {
		return
	}
	now := f.clock.Now()
	f.gossip(f.table.SetSoftware(now, v()))
	f.viewStale = true
	f.refreshView(now)
}

// gossipMember sends a membership message. Records with a software version go in a message
// of their own, because a build that does not know them drops it.
func (f *fleet) gossipMember(a member.Action) {
	plain, notice, ok := a.Message.SplitLabelled()
	f.send(a.To, a.Address, wire.Control{Member: &plain})
	if ok {
		f.send(a.To, a.Address, wire.Control{Member: &notice})
	}
}
