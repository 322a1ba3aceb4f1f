package node

import (
	"context"
	"math/rand/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/io/logs"
)

const (
	// minDirectoryBackoff and maxDirectoryBackoff bound the delay after a failed call to
	// the directory.
	minDirectoryBackoff = 100 * clock.Millis(1)
	maxDirectoryBackoff = 1 * clock.Second
	// directoryCheckMillis is the interval at which a node checks whether its entry has to
	// be written again, and reads the directory again if it knows no other live node.
	directoryCheckMillis = 1 * clock.Second
)

// reasonRelisted is the reason of the log line about an entry that was missing.
const reasonRelisted = "entry was missing in the restored directory and is written again"

// join registers the node in the directory and adds the listed nodes as seeds. Of any two
// nodes, the one that registered last finds the other, so one read of the directory is
// enough for nodes that start at the same time. When the directory was restored from an
// older copy, the node registers again.
func (w *watcher) join(ctx context.Context, random *rand.Rand) {
	if !w.register(ctx, random) {
		return
	}
	w.listNodes(ctx)
	relisted := true
	for sleep(ctx, directoryCheckMillis.Duration()) {
		w.departures.checkAt(ident.Era(w.era.Load()))
		if w.entry.Due(ident.Era(w.era.Load())) {
			relisted = !w.register(ctx, random)
		}
		if !relisted {
			relisted = !w.fleet.leadsDomain(1) || w.relistDomain(ctx)
		}
		if w.fleet.alone() {
			w.listNodes(ctx)
		}
	}
}

// register writes the node's entry to the directory, with an exponential backoff until
// that succeeds. It returns false if ctx ends before.
func (w *watcher) register(ctx context.Context, random *rand.Rand) bool {
	backoff := minDirectoryBackoff
	for !w.writeEntry(ctx, w.self()) {
		if !sleep(ctx, (backoff * clock.Millis(0.5+random.Float64()/2)).Duration()) {
			return false
		}
		backoff = min(2*backoff, maxDirectoryBackoff)
	}
	return true
}

// writeEntry writes the entry of a node and reports success.
func (w *watcher) writeEntry(ctx context.Context, s member.Seed) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeoutMillis.Duration())
	defer cancel()
	known := ident.Era(w.era.Load())
	era, err := w.directory.Register(ctx, s)
	if err != nil {
		w.metrics.sourceErrors.Inc()
		return false
	}
	if s.Node == w.self().Node {
		w.entry.Written(era, known)
	}
	return true
}

// relistDomain writes the missing entries of the live nodes of the failure domain and
// reports success. Nodes that do not wait for changes learn of a restore only when they
// read the source again.
func (w *watcher) relistDomain(ctx context.Context) bool {
	seeds, ok := w.readDirectory(ctx)
	if !ok {
		return false
	}
	for _, s := range w.fleet.unlisted(seeds) {
		if !w.writeEntry(ctx, s) {
			return false
		}
		w.log.Record(logs.Decision{At: w.clock.Now(), Kind: logs.Member, Node: s.Node, Reason: reasonRelisted})
	}
	return true
}

// listNodes reads the directory and passes its nodes to the fleet.
func (w *watcher) listNodes(ctx context.Context) {
	seeds, ok := w.readDirectory(ctx)
	if !ok {
		return
	}
	w.fleet.addSeeds(seeds)
	w.freshness.discovered(w.self().Node, seeds)
}

// readDirectory reads the directory and reports success.
func (w *watcher) readDirectory(ctx context.Context) ([]member.Seed, bool) {
	ctx, cancel := context.WithTimeout(ctx, readTimeoutMillis.Duration())
	defer cancel()
	seeds, err := w.directory.Nodes(ctx)
	if err != nil {
		w.metrics.sourceErrors.Inc()
	}
	return seeds, err == nil
}
