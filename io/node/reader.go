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
	// readerTick is the period of the reader's timer.
	readerTick = 200 * time.Millisecond
	// maxBackoff bounds the delay before the next poll after failed ones.
	maxBackoff = 5 * clock.Second
	// callTimeout bounds one call to the platform by the reader.
	callTimeout = 2 * time.Second
	// startRetryPeriod is the time between a starting node's attempts to find the floor.
	startRetryPeriod = time.Second
	// peerFloorWait is how long a starting node whose source has not answered waits for
	// the versions that peers hold: two probe periods.
	peerFloorWait = 2 * time.Second
)

// Reasons of logged lease and floor decisions.
const (
	reasonLeaseAcquired = "lease of the region taken"
	reasonLeaseLost     = "lease of the region lost"
	reasonFloorSource   = "version floor read from the source"
	reasonFloorPeers    = "source did not answer; version floor taken from peers"
)

// reader contends for the region's lease, polls the source while it holds the lease, and
// finds the version floor at start.
type reader struct {
	clock     clock.Clock
	region    ident.Region
	store     plat.Store
	submitter *plat.Submitter
	fleet     *fleet
	log       logs.Sink
	metrics   *metrics
	// pollMillis is the period of polls, and startSourceMillis the time after which a
	// starting node gets the floor from peers if the source has not answered.
	pollMillis        clock.Millis
	startSourceMillis clock.Millis
	// startDelayMillis delays the first read, so that nodes that start at the same time
	// spread their reads.
	startDelayMillis clock.Millis

	keeper *plat.LeaseKeeper
	// lastHeartbeat is the time of the last heartbeat that was passed to keeper.
	lastHeartbeat clock.Millis
	// nextPoll is the time of the next poll, and backoff the delay after a failed one.
	nextPoll clock.Millis
	backoff  clock.Millis

	// epoch is the epoch of the lease while this node holds it, or 0.
	epoch atomic.Uint64

	// readRequest holds at most one request to read the newest release.
	readRequest chan struct{}
	// scheduledDue holds at most one request to accept the scheduled edits that are due.
	scheduledDue chan struct{}
}

// run runs the reader until ctx ends.
func (r *reader) run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.findFloor(ctx) })
	wg.Go(func() { r.serveReadRequests(ctx) })
	wg.Go(func() { r.acceptScheduled(ctx) })
	wg.Go(func() { _ = every(ctx, readerTick, func() { r.tick(ctx) }) })
	return r.keeper.Run(ctx)
}

// tick passes the region's size and the heartbeat of its reader to the lease, and polls
// the source if this node is the reader and a poll is due.
func (r *reader) tick(ctx context.Context) {
	now := r.clock.Now()
	r.keeper.SetFleetSize(r.fleet.regionSize(r.region))
	if heartbeat := now - r.fleet.heartbeatAge(r.region); heartbeat > r.lastHeartbeat {
		r.lastHeartbeat = heartbeat
		r.keeper.Heartbeat()
	}
	if r.keeper.Holds() && now >= r.nextPoll {
		r.poll(ctx)
	}
}

// leaseAcquired records that this node acquired the lease.
func (r *reader) leaseAcquired(e ident.Epoch) {
	r.epoch.Store(uint64(e))
	r.metrics.holdsLease.Set(1)
	r.logDecision(reasonLeaseAcquired)
}

// leaseLost records that this node lost or released the lease.
func (r *reader) leaseLost(ident.Epoch) {
	r.epoch.Store(0)
	r.metrics.holdsLease.Set(0)
	r.logDecision(reasonLeaseLost)
}

// leaseStatus returns the lease if this node holds it, and the zero value otherwise: only
// the holder knows the current epoch for certain.
func (r *reader) leaseStatus() admin.LeaseStatus {
	if epoch := r.epoch.Load(); epoch > 0 {
		return admin.LeaseStatus{Holder: r.keeper.Lease.Self, Epoch: ident.Epoch(epoch)}
	}
	return admin.LeaseStatus{}
}

// poll reads the head and passes it to the fleet. After a failure it backs off.
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
	r.fleet.readerHeartbeat(r.region, ident.Epoch(r.epoch.Load()))
	if revision > 0 {
		r.fleet.sourceHead(head.Version, head.Digest)
	}
	signal(r.scheduledDue)
}

// acceptScheduled accepts scheduled edits that are due. It runs in a goroutine of its own
// because an acceptance can take longer than a renewal of the lease may wait.
func (r *reader) acceptScheduled(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.scheduledDue:
		}
		outcomes, err := r.submitter.AcceptDue(ctx)
		if err != nil && ctx.Err() == nil {
			r.metrics.sourceErrors.Inc()
		}
		for _, o := range outcomes {
			r.headAccepted(o.Head)
		}
	}
}

// headAccepted passes a head that this node wrote to the fleet.
func (r *reader) headAccepted(h order.Head) {
	if h.Version > 0 {
		r.fleet.sourceHead(h.Version, h.Digest)
	}
}

// requestRead requests a read of the newest release. It does not block.
func (r *reader) requestRead() {
	signal(r.readRequest)
}

// serveReadRequests reads the newest release on each request until ctx ends.
func (r *reader) serveReadRequests(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.readRequest:
		}
		if err := r.readNewest(ctx); err != nil {
			r.metrics.sourceErrors.Inc()
		}
	}
}

// readNewest reads the head and its release and passes them to the fleet.
func (r *reader) readNewest(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	head, revision, err := plat.ReadHead(ctx, r.store)
	if err != nil || revision == 0 {
		return err
	}
	release, err := plat.ReadRelease(ctx, r.store, order.HistoryOf(head))
	if errors.Is(err, plat.ErrInvalidRelease) {
		r.fleet.releaseRefused("", head.Version, err)
	}
	if err != nil {
		return err
	}
	r.fleet.sourceHead(head.Version, head.Digest)
	r.fleet.sourceRelease(release)
	return nil
}

// findFloor sets the version floor, below which this node must not put a release in force.
// It comes from a strong read of the source, or from peers if the source does not answer
// within startSourceMillis.
func (r *reader) findFloor(ctx context.Context) {
	if !sleep(ctx, r.startDelayMillis.Duration()) {
		return
	}
	deadline := r.clock.Now() + r.startSourceMillis
	for {
		if r.floorFromSource(ctx) {
			return
		}
		if r.clock.Now() >= deadline && r.floorFromPeers(ctx) {
			return
		}
		if !sleep(ctx, startRetryPeriod) {
			return
		}
	}
}

// floorFromSource sets the floor from a strong read of the source and reports success.
func (r *reader) floorFromSource(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, r.startSourceMillis.Duration())
	defer cancel()
	head, _, err := plat.ReadHead(ctx, r.store)
	if err != nil {
		r.metrics.sourceErrors.Inc()
		return false
	}
	r.logDecision(reasonFloorSource)
	r.fleet.setFloor(head.Version)
	return true
}

// floorFromPeers waits for messages of peers, sets the floor to the highest version that
// they know of, and reports success. Without a live peer it sets no floor.
func (r *reader) floorFromPeers(ctx context.Context) bool {
	if _, known := r.fleet.peerFloor(); !known || !sleep(ctx, peerFloorWait) {
		return false
	}
	floor, known := r.fleet.peerFloor()
	if !known {
		return false
	}
	r.logDecision(reasonFloorPeers)
	r.fleet.setFloor(floor)
	return true
}

// logDecision records a lease decision.
func (r *reader) logDecision(reason string) {
	r.log.Record(logs.Decision{At: r.clock.Now(), Kind: logs.Lease, Reason: reason})
}

// signal sends to c without blocking; a pending signal is enough.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d or until ctx ends, and reports whether d has passed.
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
