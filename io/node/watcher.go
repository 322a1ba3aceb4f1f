package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
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
	// readTimeoutMillis bounds a read of the source and a call to the directory.
	readTimeoutMillis = 2 * clock.Second
	// watchersPerDomain is the number of nodes in each failure domain that wait for
	// changes of the source; the others get them as deltas from their neighbours. There
	// are several, so that no release is delayed if one of them stops or is partitioned.
	watchersPerDomain = 3
	// watchCheckMillis is the interval at which a node checks whether it has to wait for
	// changes.
	watchCheckMillis = 400 * clock.Millis(1)
	// silenceMillis is the time without an answer of the source to any node of the region,
	// as far as a node knows, from which on it waits for changes itself. Leaders get an
	// answer every 1.5 s, and their heartbeats take less than 1 s through the overlay.
	silenceMillis = 4 * clock.Second
	// heartbeatMillis is the minimum age of the last heartbeat at which a node that gets an
	// answer sends the next one.
	heartbeatMillis = 1 * clock.Second
	// heartbeatEpoch is the epoch of the heartbeats; without a lease there is only one.
	heartbeatEpoch ident.Epoch = 1
	// refusedDelayMillis is the time after which a node that has refused a release reads the
	// source again. It is below the time in which a release must be in force.
	refusedDelayMillis = 1 * clock.Second
	// maxReadIntervalMillis bounds the time between reads of the source by a node that
	// does not wait for changes.
	maxReadIntervalMillis = 60 * clock.Second
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
	region    ident.Region
	log       logs.Sink
	// logger receives the lines that are no decisions.
	logger  *log.Logger
	metrics *metrics
	random  *rand.Rand
	// freshness is nil unless revocation is strict, and departures if none are kept.
	freshness  *freshness
	departures *departures
	// self returns the entry of this node in the directory.
	self func() member.Seed
	// startSourceMillis is the time after the start from which the floor may come from
	// peers.
	startSourceMillis clock.Millis

	// readRequest holds a request to read the source at once; its capacity is 1.
	readRequest chan struct{}

	// follower decides which calls to the source to make. It belongs to run.
	follower feed.Follower
	// started is the time at which run began.
	started clock.Millis
	// substitute reports whether the node waits for changes in place of others, and
	// announcedAt is when it last sent a heartbeat. They belong to run.
	substitute  bool
	announcedAt clock.Millis
	// refusedAt is the position of the last release that was refused. It belongs to run.
	refusedAt feed.Position
	// unusable is set while the source's newest release is one that was refused. It belongs
	// to run.
	unusable bool
	// era is the era of the last answer of the source, for join.
	era atomic.Uint64
	// entry is the state of the node's entry in the directory. It belongs to join.
	entry feed.Entry
}

// run registers the node in the directory and follows the source until ctx ends.
func (w *watcher) run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	joinRandom := splitRandom(w.random)
	wg.Go(func() { w.join(ctx, joinRandom) })
	w.follower.Rand = w.random
	w.follower.RequireRead()
	w.started = w.clock.Now()
	for ctx.Err() == nil {
		step := w.freshness.adapt(w.follower.Step(w.role()))
		switch {
		case step.Kind == feed.Wait:
			w.wait(ctx, step)
			continue
		case step.Kind == feed.Read && w.read(ctx):
			continue
		}
		if w.clock.Now()-w.started >= w.startSourceMillis {
			w.floorFromPeers()
		}
		if w.awaitRead(ctx) || !w.freshness.substitutes() {
			w.follower.RequireRead()
		}
	}
	return ctx.Err()
}

// role returns the node's part in following the source.
func (w *watcher) role() feed.Role {
	switch {
	case w.fleet.leadsDomain(1), w.freshness.substitutes():
		return feed.Leader
	case w.fleet.leadsDomain(watchersPerDomain), !w.fleet.hasRelease(), w.freshness == nil && w.substitutes():
		return feed.Watcher
	}
	return feed.Reader
}

// substitutes reports whether the node waits for changes in place of the nodes that should:
// the source may refuse just those. It does so from silenceMillis without an answer of the
// source to any node until another node has had one.
func (w *watcher) substitutes() bool {
	now := w.clock.Now()
	age := w.fleet.heartbeatAge(w.region)
	if min(age, now-w.started) >= silenceMillis {
		w.substitute = true
	} else if now-age > w.announcedAt+heartbeatMillis/2 {
		w.substitute = false
	}
	return w.substitute
}

// awaitRead waits until the node has to read the source: because it now has to wait for
// changes, because its neighbours cannot provide a release, or because
// maxReadIntervalMillis, reduced at random by up to half, have passed. It returns true if a
// read was requested.
func (w *watcher) awaitRead(ctx context.Context) bool {
	until := w.clock.Now() + maxReadIntervalMillis*clock.Millis(0.5+w.random.Float64()/2)
	for w.role() == feed.Reader && w.clock.Now() < until && ctx.Err() == nil {
		select {
		case <-w.readRequest:
			return true
		case <-w.freshness.begins():
		case <-time.After(watchCheckMillis.Duration()):
		case <-ctx.Done():
		}
	}
	return false
}

// requestRead requests a read of the source. It does not block.
func (w *watcher) requestRead() {
	select {
	case w.readRequest <- struct{}{}:
	default: // already requested
	}
}

// read reads the newest release, sets the floor and reports success.
func (w *watcher) read(ctx context.Context) bool {
	readCtx, cancel := context.WithTimeout(ctx, readTimeoutMillis.Duration())
	defer cancel()
	select {
	case <-w.readRequest:
	default:
	}
	sentAt := w.freshness.now()
	a, err := w.source.Newest(readCtx)
	w.fleet.rollouts.ordersRead(a.Orders)
	refused := errors.Is(err, plat.ErrReleaseRefused)
	if err != nil && !refused {
		w.failed(ctx, a)
		return false
	}
	out := w.follower.ReadDone(a)
	w.answered(out)
	if refused {
		w.refused(ctx, a, err)
		return true
	}
	w.prove(sentAt, feed.Step{Kind: feed.Read}, a)
	w.handleRelease(a.Release)
	w.fleet.setFloor(a.Release.Version)
	sleep(ctx, out.DelayMillis.Duration())
	return true
}

// wait waits for a newer release.
func (w *watcher) wait(ctx context.Context, step feed.Step) {
	sentAt := w.freshness.now()
	callCtx, release := w.freshness.untilDue(ctx, step.HoldMillis)
	a, err := w.source.Next(callCtx, step.After, step.HoldMillis)
	abandoned := callCtx.Err() != nil
	release()
	w.fleet.rollouts.ordersRead(a.Orders)
	switch {
	case ctx.Err() != nil, err != nil && abandoned:
	case errors.Is(err, plat.ErrRevisionUnknown):
		w.answered(w.follower.RevisionUnknown(a.Position.Era))
	case errors.Is(err, plat.ErrReleaseRefused):
		w.answered(w.follower.WaitDone(w.clock.Now(), a))
		w.refused(ctx, a, err)
	case err != nil:
		w.failed(ctx, a)
	default:
		out := w.follower.WaitDone(w.clock.Now(), a)
		w.answered(out)
		if !out.Restored { // else the answer may lack releases
			w.prove(sentAt, step, a)
		}
		w.handleRelease(a.Release)
		sleep(ctx, out.DelayMillis.Duration())
	}
}

// prove records that an answer showed which release is the newest. One that was refused
// cannot be put in force, and a key may be revoked in it; so nothing is proven until the
// source has a usable one.
func (w *watcher) prove(sentAt clock.Millis, s feed.Step, a feed.Answer) {
	w.unusable = w.unusable && a.Release.Version == 0
	if !w.unusable {
		w.freshness.answered(sentAt, s, w.follower.Newest(), a)
	}
}

// handleRelease passes a release of the source to the fleet.
func (w *watcher) handleRelease(r model.Release) {
	if r.Version == 0 {
		return
	}
	w.fleet.sourceHead(r.Version, r.Digest)
	w.fleet.sourceRelease(r)
}

// refused handles a release of the source that cannot be used: the release in force stays,
// and the source is read again after a delay. Each revision is logged once.
func (w *watcher) refused(ctx context.Context, a feed.Answer, err error) {
	if a.Position != w.refusedAt {
		w.refusedAt = a.Position
		w.fleet.releaseRefused(sourceStore, 0, err)
		w.logger.WithError(err).WithField("Revision", uint64(a.Position.Revision)).Error("release of the source is refused")
	}
	w.unusable = true
	w.follower.RequireRead()
	sleep(ctx, refusedDelayMillis.Duration())
}

// failed handles a failed call to the source.
func (w *watcher) failed(ctx context.Context, a feed.Answer) {
	w.metrics.sourceErrors.Inc()
	w.freshness.callFailed()
	out := w.follower.Failed(a.Position.Era)
	if out.Lost {
		w.logDecision(reasonSourceLost)
	}
	sleep(ctx, out.DelayMillis.Duration())
}

// answered records what an answer of the source changed.
func (w *watcher) answered(out feed.Outcome) {
	w.era.Store(uint64(w.follower.Position().Era))
	w.metrics.sourceAnswered(w.follower.Position(), w.clock.Now())
	if w.fleet.heartbeatAge(w.region) >= heartbeatMillis {
		w.announcedAt = w.clock.Now()
		w.fleet.readerHeartbeat(w.region, heartbeatEpoch)
	}
	if out.Regained {
		w.logDecision(reasonSourceFound)
	}
	if out.Restored {
		w.logDecision(reasonSourceRestored)
	}
}

// logDecision records a decision on the source of releases, with the position of its last
// answer.
func (w *watcher) logDecision(reason string) {
	p := w.follower.Position()
	w.log.Record(logs.Decision{At: w.clock.Now(), Kind: logs.Release, Reason: reason, Era: p.Era, Revision: p.Revision})
}

// floorFromPeers sets the floor to the highest version that peers hold, while the
// source does not answer.
func (w *watcher) floorFromPeers() {
	if floor, known := w.fleet.peerFloor(); known && floor > 0 {
		w.fleet.setFloor(floor)
	}
}
