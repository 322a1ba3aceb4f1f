package node

import (
	"context"
	"time"

	"hickoryrail/core/clock"
	"hickoryrail/core/report"
)

const (
	// departureCallMillis bounds a call to the platform about the departure row.
	departureCallMillis = 2 * clock.Second
	// minDepartureBackoff and maxDepartureBackoff bound the delay after a failed call.
	minDepartureBackoff = 100 * clock.Millis(1)
	maxDepartureBackoff = 1 * clock.Second
)

// run reads the row and writes later departures to it until ctx ends.
func (d *departures) run(ctx context.Context) error {
	trust := time.AfterFunc(departureTrustMillis.Duration(), d.setKnown)
	defer trust.Stop()
	backoff := minDepartureBackoff
	for ctx.Err() == nil {
		var retry <-chan time.Time
		if d.update(ctx) {
			backoff = minDepartureBackoff
		} else {
			retry = time.After(backoff.Duration())
			backoff = min(2*backoff, maxDepartureBackoff)
		}
		select {
		case <-ctx.Done():
		case <-d.wake:
		case <-retry:
		}
	}
	return ctx.Err()
}

// update makes the row hold the latest departure and reports success.
func (d *departures) update(ctx context.Context) bool {
	if d.takeCompare() {
		d.current = false
	}
	if !d.current && !d.read(ctx) {
		return false
	}
	latest := d.latestDeparture()
	if latest.Known() && latest != d.stored {
		return d.write(ctx, latest)
	}
	d.setWritten(latest)
	return true
}

// takeCompare reports whether the row has to be read again, and ends the request for it.
func (d *departures) takeCompare() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	compare := d.compare
	d.compare = false
	return compare
}

// latestDeparture returns the departure that the row has to hold.
func (d *departures) latestDeparture() report.Departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.latest
}

// write writes a departure to the row and reports success.
func (d *departures) write(ctx context.Context, p report.Departure) bool {
	ctx, cancel := context.WithTimeout(ctx, departureCallMillis.Duration())
	defer cancel()
	d.current = false // whatever the outcome, the revision is not known any more
	if err := d.rows.WriteDeparture(ctx, d.node, p, d.revision); err != nil {
		d.failed(err)
		return false
	}
	d.failing = false
	d.setWritten(p)
	return true
}

// failed logs the first of several failed calls.
func (d *departures) failed(err error) {
	if !d.failing {
		d.logger.WithError(err).Warn("departure of the target is not read or written yet")
	}
	d.failing = true
}

// read reads the row and reports success.
func (d *departures) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, departureCallMillis.Duration())
	defer cancel()
	stored, revision, err := d.rows.ReadDeparture(ctx, d.node)
	if err != nil {
		d.failed(err)
		return false
	}
	d.stored, d.revision, d.current, d.failing = stored, revision, true, false
	if !d.restored {
		d.restored = true
		d.restoreStored()
		d.setKnown()
	}
	return true
}

// restoreStored takes the departure that the row held at the start, if it holds one.
func (d *departures) restoreStored() {
	if !d.stored.Known() {
		return
	}
	d.mu.Lock()
	if !d.latest.Known() {
		d.latest = d.stored
	}
	d.mu.Unlock()
	d.restore(d.stored)
}

// setWritten records that the row holds p.
func (d *departures) setWritten(p report.Departure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.latest != p {
		return
	}
	select {
	case <-d.written:
	default:
		close(d.written)
	}
}
