package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/order"
	"hickoryrail/io/admin"
	"hickoryrail/io/logs"
	"hickoryrail/io/plat"
)

const (
	// readerTick is the period at which the lease and the poll are checked.
	readerTick = 200 * time.Millisecond
	// maxBackoff bounds the delay between polls of a source that fails.
	maxBackoff = 5 * clock.Second
	// callTimeout bounds one call to the platform by the reader.
	callTimeout = 2 * time.Second
	// startRetry is the period at which a starting node asks the source again.
	startRetry = time.Second
	// peerWait is how long a starting node lets peers tell what they hold once
	// the source has not answered: two probe periods.
	peerWait = 2 * time.Second
)

// Reasons of leases and floors.
const (
	reasonLeaseHeld   = "lease of the region taken"
	reasonLeaseLost   = "lease of the region lost"
	reasonFloorSource = "version floor read from the source"
	reasonFloorPeers  = "source did not answer; version floor taken from peers"
)

// reader takes part in the region's lease, polls the source while it holds the
// lease, and finds the version floor at start.
type reader struct {
	clock     clock.Clock
	region    ident.Region
	store     plat.Store
	submitter *plat.Submitter
	fleet     *fleet
	log       logs.Sink
	metrics   *metrics
	// pollMillis is the period of polls, and startMillis the wait for the source
	// at start.
	pollMillis  clock.Millis
	startMillis clock.Millis
	// delayMillis delays the first read, so that nodes that start together do
	// not read together.
	delayMillis clock.Millis

	keeper *plat.LeaseKeeper
	// lastPulse is the last progress of the pulse that the lease was told of.
	lastPulse clock.Millis
	// nextPoll is when to poll next, and backoff the delay after a failure.
	nextPoll clock.Millis
	backoff  clock.Millis

	// epoch is that of the lease while this node holds it, or 0.
	epoch atomic.Uint64

	// wanted holds one request for a release of the source.
	wanted chan struct{}
	// due holds one request to accept scheduled edits.
	due chan struct{}
}

// run takes part in the lease until ctx ends.
func (r *reader) run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.findFloor(ctx) })
	wg.Go(func() { r.fetchWanted(ctx) })
	wg.Go(func() { r.acceptDue(ctx) })
	wg.Go(func() { _ = every(ctx, readerTick, func() { r.tick(ctx) }) })
	return r.keeper.Run(ctx)
}

// tick tells the lease of the fleet and of the pulse of the region's reader, and
// polls if this node is the reader and a poll is due.
func (r *reader) tick(ctx context.Context) {
	now := r.clock.Now()
	r.keeper.SetFleetSize(r.fleet.size(r.region))
	if progress := now - r.fleet.pulseAge(r.region); progress > r.lastPulse {
		r.lastPulse = progress
		r.keeper.Heartbeat()
	}
	if r.keeper.Holds() && now >= r.nextPoll {
		r.poll(ctx)
	}
}

// held notes that this node took the lease.
func (r *reader) held(e ident.Epoch) {
	r.epoch.Store(uint64(e))
	r.metrics.holdsLease.Set(1)
	r.note(reasonLeaseHeld)
}

// lost notes that this node lost the lease or gave it up.
func (r *reader) lost(ident.Epoch) {
	r.epoch.Store(0)
	r.metrics.holdsLease.Set(0)
	r.note(reasonLeaseLost)
}

// leaseStatus returns the lease as far as this node knows it: only the holder is
// sure of its epoch.
func (r *reader) leaseStatus() admin.LeaseStatus {
	if epoch := r.epoch.Load(); epoch > 0 {
		return admin.LeaseStatus{Holder: r.keeper.Lease.Self, Epoch: ident.Epoch(epoch)}
	}
	return admin.LeaseStatus{}
}

// poll reads the head and tells the fleet; after a failure it backs off.
func (r *reader) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	head, revision, err := plat.ReadHead(ctx, r.store)
	now := r.clock.Now()
	if err != nil {
		r.metrics.sourceErrors.Inc()
		r.backoff = min(max(2*r.backoff, r.pollMillis), maxBackoff)
		r.nextPoll = now + r.backoff
		return
	}
	r.backoff, r.nextPoll = 0, now+r.pollMillis
	r.fleet.readerPulse(r.region, ident.Epoch(r.epoch.Load()))
	if revision > 0 {
		r.fleet.sourceHead(head.Version, head.Digest)
	}
	signal(r.due)
}

// acceptDue accepts scheduled edits whose time has come. It runs apart from the
// lease, because an acceptance can take longer than a renewal may wait.
func (r *reader) acceptDue(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.due:
		}
		outcomes, err := r.submitter.AcceptDue(ctx)
		if err != nil && ctx.Err() == nil {
			r.metrics.sourceErrors.Inc()
		}
		for _, o := range outcomes {
			r.accepted(o.Head)
		}
	}
}

// accepted tells the fleet of a head that this node wrote.
func (r *reader) accepted(h order.Head) {
	if h.Version > 0 {
		r.fleet.sourceHead(h.Version, h.Digest)
	}
}

// want asks for the newest release of the source. It does not block.
func (r *reader) want() {
	signal(r.wanted)
}

// fetchWanted reads the newest release whenever the fleet asks for one.
func (r *reader) fetchWanted(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wanted:
		}
		if err := r.fetch(ctx); err != nil {
			r.metrics.sourceErrors.Inc()
		}
	}
}

// fetch reads the head and its release and passes them on.
func (r *reader) fetch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	head, revision, err := plat.ReadHead(ctx, r.store)
	if err != nil || revision == 0 {
		return err
	}
	release, err := plat.ReadRelease(ctx, r.store, order.HistoryOf(head))
	if errors.Is(err, plat.ErrInvalidRelease) {
		r.fleet.refused("", head.Version, err)
	}
	if err != nil {
		return err
	}
	r.fleet.sourceHead(head.Version, head.Digest)
	r.fleet.sourceRelease(release)
	return nil
}

// findFloor finds the version below which this node must not go back: by a strong
// read of the source, or from peers if the source does not answer in time.
func (r *reader) findFloor(ctx context.Context) {
	if !sleep(ctx, r.delayMillis.Duration()) {
		return
	}
	deadline := r.clock.Now() + r.startMillis
	for {
		if r.floorFromSource(ctx) {
			return
		}
		if r.clock.Now() >= deadline && r.floorFromPeers(ctx) {
			return
		}
		if !sleep(ctx, startRetry) {
			return
		}
	}
}

// floorFromSource sets the floor by a strong read and reports success.
func (r *reader) floorFromSource(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, r.startMillis.Duration())
	defer cancel()
	head, _, err := plat.ReadHead(ctx, r.store)
	if err != nil {
		r.metrics.sourceErrors.Inc()
		return false
	}
	r.note(reasonFloorSource)
	r.fleet.setFloor(head.Version)
	return true
}

// floorFromPeers sets the floor to the highest version that peers know of, once
// they had time to tell. Without a peer there is no floor.
func (r *reader) floorFromPeers(ctx context.Context) bool {
	if _, known := r.fleet.peerFloor(); !known || !sleep(ctx, peerWait) {
		return false
	}
	floor, known := r.fleet.peerFloor()
	if !known {
		return false
	}
	r.note(reasonFloorPeers)
	r.fleet.setFloor(floor)
	return true
}

// note writes a line to the decision log.
func (r *reader) note(reason string) {
	r.log.Record(logs.Decision{At: r.clock.Now(), Kind: logs.Lease, Reason: reason})
}

// signal puts one request in c unless there is one already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d and reports whether ctx still lives.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
