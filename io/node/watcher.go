package node

import (
	"context"
	"errors"
	"math/rand/v2"

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
	// relistMillis is the delay after the start at which every node reads the
	// directory once more, for nodes that started at the same time.
	relistMillis = 1 * clock.Second
)

// Reasons of the watcher.
const (
	reasonSourceLost  = "source does not answer"
	reasonSourceFound = "source answers again"
)

// watcher follows the source of releases on each node, and finds the other nodes
// by the directory.
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

	// lost says that the last call to the source failed.
	lost bool
	// pause is the present pause after a failure.
	pause clock.Millis
}

// run watches the source until ctx ends.
func (w *watcher) run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { w.join(ctx) })
	started := w.clock.Now()
	for ctx.Err() == nil {
		after, ok := w.readNewest(ctx)
		for ok {
			after, ok = w.readNext(ctx, after)
		}
		if w.clock.Now()-started >= w.startMillis {
			w.floorFromPeers()
		}
	}
	return ctx.Err()
}

// readNewest reads the newest release and sets the floor.
func (w *watcher) readNewest(ctx context.Context) (ident.Revision, bool) {
	bounded, cancel := context.WithTimeout(ctx, readMillis.Duration())
	defer cancel()
	r, revision, err := w.source.Newest(bounded)
	if err != nil {
		w.failed(ctx)
		return 0, false
	}
	w.answered()
	w.take(r)
	w.fleet.setFloor(r.Version)
	return revision, true
}

// readNext waits for a newer release. It returns false if the source has to be read
// anew.
func (w *watcher) readNext(ctx context.Context, after ident.Revision) (ident.Revision, bool) {
	r, revision, err := w.source.Next(ctx, after)
	switch {
	case ctx.Err() != nil:
		return after, false
	case errors.Is(err, plat.ErrForgotten):
		return after, false
	case err != nil:
		w.failed(ctx)
		return after, true
	}
	w.answered()
	w.take(r)
	if r.Version > 0 {
		sleep(ctx, settleMillis.Duration())
	}
	return max(revision, after), true
}

// take hands a release of the source to the fleet.
func (w *watcher) take(r model.Release) {
	if r.Version == 0 {
		return
	}
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

// join enters the node in the directory and contacts the nodes that it lists. A
// node that knows no other one goes on asking.
func (w *watcher) join(ctx context.Context) {
	pause := watchLeast
	for !w.enter(ctx) {
		if !sleep(ctx, (pause * clock.Millis(0.5+w.random.Float64()/2)).Duration()) {
			return
		}
		pause = min(2*pause, watchMost)
	}
	w.list(ctx)
	if !sleep(ctx, relistMillis.Duration()) {
		return
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
	if err := w.directory.Enter(ctx, w.self()); err != nil {
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
