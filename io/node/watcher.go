package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
	"hickoryrail/io/logs"
	"hickoryrail/io/plat"
)

const (
	// watchLeast and watchMost bound the pause after a failed call to the source.
	watchLeast = 100 * clock.Millis(1)
	watchMost  = 1 * clock.Second
	// settleMillis is the pause after a release, so that one call brings the
	// releases of a quick succession. It is well below the time in which a release
	// must be in force.
	settleMillis = 700 * clock.Millis(1)
	// readMillis bounds a read of the source and a call to the directory.
	readMillis = 2 * clock.Second
	// lonelyMillis is the interval at which a node that knows no other reads the
	// directory again.
	lonelyMillis = 1 * clock.Second
	// watchersPerDomain is the number of nodes in each failure domain that wait for
	// changes of the source; the others get them as deltas from their neighbours. A
	// fleet that loses one of them, or in which one is cut off, waits for nothing.
	watchersPerDomain = 3
	// dutyMillis is the interval at which a node looks whether it has to watch.
	dutyMillis = 400 * clock.Millis(1)
	// recheckMillis is the longest time without a read of the source.
	recheckMillis = 60 * clock.Second
	// successionMillis is the time between two changes below which only the newest
	// release is read, because the source hands out each one that came in between.
	successionMillis = 2 * clock.Second
)

// Reasons of the watcher.
const (
	reasonSourceLost  = "source does not answer"
	reasonSourceFound = "source answers again"
)

// watcher follows the source of releases, and finds the other nodes by the directory.
// Every node reads the newest release when it starts; a few nodes of each failure
// domain also wait for changes.
type watcher struct {
	clock     clock.Clock
	source    plat.Source
	directory plat.Directory
	fleet     *fleet
	log       logs.Sink
	metrics   *metrics
	random    *rand.Rand
	// self returns the node's own entry for the directory.
	self func() member.Seed
	// startMillis is the wait for the source at start before peers give the
	// floor.
	startMillis clock.Millis

	// wanted has an entry if the source has to be read at once; its capacity is 1.
	wanted chan struct{}

	// newest is the highest version that was read.
	newest ident.Version
	// changedAt is when the last release came from a wait for changes.
	changedAt clock.Millis
	// succession says that changes follow each other quickly, so that only the
	// newest is read.
	succession bool
	// lost says that the last call to the source failed.
	lost bool
	// pause is the present pause after a failure.
	pause clock.Millis
}

// run reads the source until ctx ends.
func (w *watcher) run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { w.join(ctx) })
	w.changedAt = -clock.Forever
	started := w.clock.Now()
	for ctx.Err() == nil {
		after, ok := w.readNewest(ctx)
		for ok && !w.succession && w.onDuty() {
			after, ok = w.readNext(ctx, after)
		}
		if w.succession {
			continue
		}
		if w.clock.Now()-started >= w.startMillis {
			w.floorFromPeers()
		}
		w.rest(ctx)
	}
	return ctx.Err()
}

// onDuty reports whether the node waits for changes of the source.
func (w *watcher) onDuty() bool {
	return !w.fleet.served() || w.fleet.leadsDomain(watchersPerDomain)
}

// rest waits until the node has to read the source: it has become one of those that
// watch, its neighbours cannot provide a release, or it has not read for long.
func (w *watcher) rest(ctx context.Context) {
	until := w.clock.Now() + recheckMillis*clock.Millis(0.5+w.random.Float64()/2)
	for !w.onDuty() && w.clock.Now() < until && ctx.Err() == nil {
		select {
		case <-w.wanted:
			return
		case <-time.After(dutyMillis.Duration()):
		case <-ctx.Done():
		}
	}
}

// want asks for a read of the source. It does not block.
func (w *watcher) want() {
	select {
	case w.wanted <- struct{}{}:
	default: // asked for already
	}
}

// readNewest reads the newest release and sets the floor. It settles after a change;
// without one, a quick succession of changes is over.
func (w *watcher) readNewest(ctx context.Context) (ident.Revision, bool) {
	bounded, cancel := context.WithTimeout(ctx, readMillis.Duration())
	defer cancel()
	select {
	case <-w.wanted:
	default:
	}
	r, revision, err := w.source.Newest(bounded)
	if err != nil {
		w.succession = false
		w.failed(ctx)
		return 0, false
	}
	w.answered()
	changed := r.Version > w.newest
	w.take(r)
	w.fleet.setFloor(r.Version)
	if changed {
		sleep(ctx, settleMillis.Duration())
	} else {
		w.succession = false
	}
	return revision, true
}

// readNext waits for a newer release. It returns false if the source has to be read
// anew, because it has forgotten the changes.
func (w *watcher) readNext(ctx context.Context, after ident.Revision) (ident.Revision, bool) {
	r, revision, err := w.source.Next(ctx, after)
	switch {
	case ctx.Err() != nil:
		return after, false
	case errors.Is(err, plat.ErrRevisionTooOld):
		return after, false
	case err != nil:
		w.failed(ctx)
		return after, true
	}
	w.answered()
	w.take(r)
	if r.Version == 0 {
		return max(revision, after), true
	}
	now := w.clock.Now()
	w.succession, w.changedAt = now-w.changedAt < successionMillis, now
	sleep(ctx, settleMillis.Duration())
	return max(revision, after), true
}

// take hands a release of the source to the fleet.
func (w *watcher) take(r model.Release) {
	if r.Version == 0 {
		return
	}
	w.newest = max(w.newest, r.Version)
	w.fleet.sourceHead(r.Version, r.Digest)
	w.fleet.sourceRelease(r)
}

// failed counts a failed call and pauses, longer each time and at random, so that
// nodes do not return together.
func (w *watcher) failed(ctx context.Context) {
	w.metrics.sourceErrors.Inc()
	if !w.lost {
		w.note(reasonSourceLost)
	}
	w.lost = true
	w.pause = min(max(2*w.pause, watchLeast), watchMost)
	sleep(ctx, (w.pause * clock.Millis(0.5+w.random.Float64()/2)).Duration())
}

// answered notes that the source works.
func (w *watcher) answered() {
	if w.lost {
		w.note(reasonSourceFound)
	}
	w.lost, w.pause = false, 0
}

// note writes a line on the source to the log.
func (w *watcher) note(reason string) {
	w.log.Record(logs.Decision{At: w.clock.Now(), Kind: logs.Release, Reason: reason})
}

// floorFromPeers sets the floor to the highest version that peers hold, while the
// source does not answer.
func (w *watcher) floorFromPeers() {
	if floor, known := w.fleet.peerFloor(); known && floor > 0 {
		w.fleet.setFloor(floor)
	}
}

// join enters the node in the directory and contacts the nodes that it lists. Of any
// two nodes, the one that entered last sees the other, so one list is enough for
// nodes that start together. A node that knows no other one goes on asking.
func (w *watcher) join(ctx context.Context) {
	pause := watchLeast
	for !w.enter(ctx) {
		if !sleep(ctx, (pause * clock.Millis(0.5+w.random.Float64()/2)).Duration()) {
			return
		}
		pause = min(2*pause, watchMost)
	}
	w.list(ctx)
	for sleep(ctx, lonelyMillis.Duration()) {
		if w.fleet.alone() {
			w.list(ctx)
		}
	}
}

// enter writes the node's entry and reports success.
func (w *watcher) enter(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readMillis.Duration())
	defer cancel()
	if err := w.directory.Register(ctx, w.self()); err != nil {
		w.metrics.sourceErrors.Inc()
		return false
	}
	return true
}

// list reads the directory and tells the fleet of the nodes in it.
func (w *watcher) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readMillis.Duration())
	defer cancel()
	seeds, err := w.directory.Nodes(ctx)
	if err != nil {
		w.metrics.sourceErrors.Inc()
		return
	}
	w.fleet.addSeeds(seeds)
}
