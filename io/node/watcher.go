package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"hickoryrail/core/clock"
	"hickoryrail/core/feed"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
	"hickoryrail/io/logs"
	"hickoryrail/io/plat"
)

const (
	// minSourceBackoff and maxSourceBackoff bound the delay after a failed call to the
	// source or the directory.
	minSourceBackoff = 100 * clock.Millis(1)
	maxSourceBackoff = 1 * clock.Second
	// coalesceMillis is the delay after a release before the next read, so that releases
	// in quick succession are read with one call. It is well below the time in which a
	// release must be in force.
	coalesceMillis = 700 * clock.Millis(1)
	// readTimeoutMillis bounds a read of the source and a call to the directory.
	readTimeoutMillis = 2 * clock.Second
	// longPollMillis is how long the source holds a call that waits for changes.
	longPollMillis = 20 * clock.Second
	// aloneListMillis is the interval at which a node that knows no other live node reads
	// the directory again.
	aloneListMillis = 1 * clock.Second
	// watchersPerDomain is the number of nodes in each failure domain that wait for
	// changes of the source; the others get them as deltas from their neighbours. There
	// are several, so that no release is delayed if one of them stops or is partitioned.
	watchersPerDomain = 3
	// watchCheckMillis is the interval at which a node checks whether it has to wait for
	// changes.
	watchCheckMillis = 400 * clock.Millis(1)
	// maxReadIntervalMillis bounds the time between reads of the source by a node that
	// does not wait for changes.
	maxReadIntervalMillis = 60 * clock.Second
	// burstMillis is the time between two changes below which they count as a burst. In
	// a burst only the newest release is read, because waiting for changes returns every
	// intermediate release.
	burstMillis = 2 * clock.Second
)

// Reasons of logged decisions of the watcher.
const (
	reasonSourceLost  = "source does not answer"
	reasonSourceFound = "source answers again"
	// reasonSourceRestored means that the source has another era than before.
	reasonSourceRestored = "source was restored from an older copy"
)

// watcher reads releases from the source and finds other nodes through the directory.
// Every node reads the newest release when it starts; a few nodes of each failure domain
// also wait for changes.
type watcher struct {
	clock     clock.Clock
	source    plat.Source
	directory plat.Directory
	fleet     *fleet
	log       logs.Sink
	metrics   *metrics
	random    *rand.Rand
	// self returns the entry of this node in the directory.
	self func() member.Seed
	// startSourceMillis is the time after the start from which the floor may come from
	// peers.
	startSourceMillis clock.Millis

	// readRequest holds a request to read the source at once; its capacity is 1.
	readRequest chan struct{}

	// newest is the highest version that was read.
	newest ident.Version
	// changedAt is the time of the last release that a wait for changes returned.
	changedAt clock.Millis
	// inBurst reports whether changes follow each other within burstMillis.
	inBurst bool
	// position is that of the last answer of the source.
	position feed.Position
	// failing reports whether the last call to the source failed.
	failing bool
	// backoff is the delay after the last failed call; 0 after a successful one.
	backoff clock.Millis
}

// run registers the node in the directory and reads the source until ctx ends.
func (w *watcher) run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { w.join(ctx) })
	w.changedAt = -clock.Forever
	started := w.clock.Now()
	for ctx.Err() == nil {
		after, ok := w.readNewest(ctx)
		for ok && !w.inBurst && w.shouldWatch() {
			after, ok = w.readNext(ctx, after)
		}
		if w.inBurst {
			continue
		}
		if w.clock.Now()-started >= w.startSourceMillis {
			w.floorFromPeers()
		}
		w.awaitRead(ctx)
	}
	return ctx.Err()
}

// shouldWatch reports whether the node has to wait for changes of the source.
func (w *watcher) shouldWatch() bool {
	return !w.fleet.hasRelease() || w.fleet.leadsDomain(watchersPerDomain)
}

// awaitRead waits until the node has to read the source: because it now has to wait for
// changes, because its neighbours cannot provide a release, or because
// maxReadIntervalMillis, reduced at random by up to half, have passed.
func (w *watcher) awaitRead(ctx context.Context) {
	until := w.clock.Now() + maxReadIntervalMillis*clock.Millis(0.5+w.random.Float64()/2)
	for !w.shouldWatch() && w.clock.Now() < until && ctx.Err() == nil {
		select {
		case <-w.readRequest:
			return
		case <-time.After(watchCheckMillis.Duration()):
		case <-ctx.Done():
		}
	}
}

// requestRead requests a read of the source. It does not block.
func (w *watcher) requestRead() {
	select {
	case w.readRequest <- struct{}{}:
	default: // already requested
	}
}

// readNewest reads the newest release and sets the floor. After a change it waits for
// coalesceMillis; without one, a burst has ended.
func (w *watcher) readNewest(ctx context.Context) (ident.Revision, bool) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeoutMillis.Duration())
	defer cancel()
	select {
	case <-w.readRequest:
	default:
	}
	a, err := w.source.Newest(readCtx)
	if err != nil {
		w.inBurst = false
		w.sourceFailed(ctx)
		return 0, false
	}
	w.sourceAnswered(a.Position)
	changed := a.Release.Version > w.newest
	w.handleRelease(a.Release)
	w.fleet.setFloor(a.Release.Version)
	if changed {
		sleep(ctx, coalesceMillis.Duration())
	} else {
		w.inBurst = false
	}
	return a.Position.Revision, true
}

// readNext waits for a newer release. It returns false if ctx has ended, or if the newest
// release has to be read again because the source no longer has the changes after that
// revision.
func (w *watcher) readNext(ctx context.Context, after ident.Revision) (ident.Revision, bool) {
	a, err := w.source.Next(ctx, after, longPollMillis)
	switch {
	case ctx.Err() != nil:
		return after, false
	case errors.Is(err, plat.ErrRevisionUnknown):
		return after, false
	case err != nil:
		w.sourceFailed(ctx)
		return after, true
	}
	w.sourceAnswered(a.Position)
	w.handleRelease(a.Release)
	if a.Release.Version == 0 {
		return max(a.Position.Revision, after), true
	}
	now := w.clock.Now()
	w.inBurst, w.changedAt = now-w.changedAt < burstMillis, now
	sleep(ctx, coalesceMillis.Duration())
	return max(a.Position.Revision, after), true
}

// handleRelease passes a release of the source to the fleet.
func (w *watcher) handleRelease(r model.Release) {
	if r.Version == 0 {
		return
	}
	w.newest = max(w.newest, r.Version)
	w.fleet.sourceHead(r.Version, r.Digest)
	w.fleet.sourceRelease(r)
}

// sourceFailed counts a failed call and waits for an exponential backoff with jitter, so
// that nodes do not retry at the same time.
func (w *watcher) sourceFailed(ctx context.Context) {
	w.metrics.sourceErrors.Inc()
	if !w.failing {
		w.logDecision(reasonSourceLost)
	}
	w.failing = true
	w.backoff = min(max(2*w.backoff, minSourceBackoff), maxSourceBackoff)
	sleep(ctx, (w.backoff * clock.Millis(0.5+w.random.Float64()/2)).Duration())
}

// sourceAnswered records a successful call and resets the backoff.
func (w *watcher) sourceAnswered(p feed.Position) {
	earlier := w.position
	w.position = p
	w.metrics.sourceAnswered(p, w.clock.Now())
	if earlier.Era != 0 && p.Era != earlier.Era {
		w.logDecision(reasonSourceRestored)
	}
	if w.failing {
		w.logDecision(reasonSourceFound)
	}
	w.failing, w.backoff = false, 0
}

// logDecision records a decision on the source of releases, with the position of its last
// answer.
func (w *watcher) logDecision(reason string) {
	w.log.Record(logs.Decision{
		At: w.clock.Now(), Kind: logs.Release, Reason: reason, Era: w.position.Era, Revision: w.position.Revision,
	})
}

// floorFromPeers sets the floor to the highest version that peers hold, while the
// source does not answer.
func (w *watcher) floorFromPeers() {
	if floor, known := w.fleet.peerFloor(); known && floor > 0 {
		w.fleet.setFloor(floor)
	}
}

// join registers the node in the directory and adds the listed nodes as seeds. Of any two
// nodes, the one that registered last finds the other, so one read of the directory is
// enough for nodes that start at the same time. While no other live node is known, the
// directory is read again every aloneListMillis.
func (w *watcher) join(ctx context.Context) {
	backoff := minSourceBackoff
	for !w.register(ctx) {
		if !sleep(ctx, (backoff * clock.Millis(0.5+w.random.Float64()/2)).Duration()) {
			return
		}
		backoff = min(2*backoff, maxSourceBackoff)
	}
	w.listNodes(ctx)
	for sleep(ctx, aloneListMillis.Duration()) {
		if w.fleet.alone() {
			w.listNodes(ctx)
		}
	}
}

// register writes the node's entry to the directory and reports success.
func (w *watcher) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeoutMillis.Duration())
	defer cancel()
	if err := w.directory.Register(ctx, w.self()); err != nil {
		w.metrics.sourceErrors.Inc()
		return false
	}
	return true
}

// listNodes reads the directory and passes its nodes to the fleet.
func (w *watcher) listNodes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeoutMillis.Duration())
	defer cancel()
	seeds, err := w.directory.Nodes(ctx)
	if err != nil {
		w.metrics.sourceErrors.Inc()
		return
	}
	w.fleet.addSeeds(seeds)
}
