package node

import (
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/report"
	"hickoryrail/io/plat"
)

const (
	// departureAwaitMillis bounds how long a report waits for the first read of the row, and
	// departureSaveMillis how long it waits for the write. A target waits 1 s for the
	// acknowledgement of a report.
	departureAwaitMillis = 400 * clock.Millis(1)
	departureSaveMillis  = 800 * clock.Millis(1)
	// departureTrustMillis is the time without a first read from which on reports count
	// without it. A report may arrive seconds late.
	departureTrustMillis = 8 * clock.Second
)

var (
	// errDeparturesUnread indicates a report that cannot be told from a late one of a target
	// that had left before the node was restarted.
	errDeparturesUnread = errors.New("departure of the earlier target is not read yet")
	// errDepartureUnsaved indicates a departure that took effect at the node and would be
	// forgotten if the node were restarted.
	errDepartureUnsaved = errors.New("departure of the target is not written yet")
)

// departures keeps the last departure of a target beside the node on the platform, so that
// the node still knows it after a restart. A nil *departures keeps none. Create one with
// newDepartures.
type departures struct {
	rows   plat.Departures
	node   ident.NodeID
	logger log.Interface
	// restore receives the departure that the platform held at the start of the node.
	restore func(d report.Departure)

	// known is closed after the first read, or after departureTrustMillis.
	known     chan struct{}
	knownOnce sync.Once
	// wake requests a look at the row; its capacity is 1.
	wake chan struct{}

	// stored is the departure in the row and revision that of the row, as of the last read.
	// They are valid while current is set. They belong to run.
	stored   report.Departure
	revision ident.Revision
	current  bool
	// restored is set after the first read, and failing while calls fail. They belong to
	// run.
	restored, failing bool

	// mu guards the fields below.
	mu sync.Mutex
	// latest is the departure that the row has to hold; none if it is not Known.
	latest report.Departure
	// written is closed once the row holds latest.
	written chan struct{}
	// compare requests that the row is read again.
	compare bool
	// era is the latest era of the platform that checkAt has received.
	era ident.Era
}

// newDepartures returns the departures of a node; nil if rows is nil.
func newDepartures(rows plat.Departures, node ident.NodeID, logger log.Interface, restore func(d report.Departure)) *departures {
	if rows == nil {
		return nil
	}
	return &departures{
		rows: rows, node: node, logger: logger, restore: restore,
		known: make(chan struct{}), wake: make(chan struct{}, 1), written: make(chan struct{}),
	}
}

// await waits for a short time for the first read and reports whether reports count.
func (d *departures) await() bool {
	if d.isKnown() {
		return true
	}
	select {
	case <-d.known:
		return true
	case <-time.After(departureAwaitMillis.Duration()):
		return false
	}
}

// isKnown reports whether the row was read, or reports count without it.
func (d *departures) isKnown() bool {
	if d == nil {
		return true
	}
	select {
	case <-d.known:
		return true
	default:
		return false
	}
}

// set makes p the latest departure, which run writes. The returned channel is closed once
// it is written; it is nil if nothing has to be written, because p is not Known.
func (d *departures) set(p report.Departure) <-chan struct{} {
	if d == nil || !p.Known() {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.latest != p {
		d.latest, d.written = p, make(chan struct{})
	}
	select {
	case <-d.written:
	default:
		d.request() // also for a repeated report, which ends the delay after a failed call
	}
	return d.written
}

// save makes p the latest departure, waits for a short time until it is written, and
// reports whether it is. If it is not, run goes on trying.
func (d *departures) save(p report.Departure) bool {
	written := d.set(p)
	if written == nil {
		return true
	}
	select {
	case <-written:
		return true
	case <-time.After(departureSaveMillis.Duration()):
		return false
	}
}

// checkAt makes run compare the row with the latest departure if the platform has another
// era: it may have been restored from an older copy.
func (d *departures) checkAt(era ident.Era) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if era <= d.era {
		return
	}
	d.era = era
	if d.latest.Known() {
		d.compare = true
		d.request()
	}
}

// request makes run look at the row. It does not block.
func (d *departures) request() {
	select {
	case d.wake <- struct{}{}:
	default: // already requested
	}
}

// setKnown makes reports count.
func (d *departures) setKnown() {
	d.knownOnce.Do(func() { close(d.known) })
}
