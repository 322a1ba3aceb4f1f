package admit

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/sets"
)

const (
	// measureMillis is the time over which the rate of the link is measured.
	measureMillis = 500 * clock.Millis(1)
	// blockedMillis is the duration from which on a write counts as blocked: the buffers of
	// its connection were full.
	blockedMillis = 20 * clock.Millis(1)
	// minBlocked is the number of connections whose writes must have been blocked in one
	// measurement. Fewer show that receivers do not read, and not that the link is slow.
	minBlocked = 3
	// drainShare is the corrected rate as a share of what the link sent, so that the full
	// buffers drain. maxFall bounds one correction and minRateShare all of them, since a
	// group of receivers that stop at the same time looks like a slow link.
	drainShare   = 0.9
	maxFall      = 0.7
	minRateShare = 0.25
	// riseFactor raises a corrected rate after each measurement without a blocked write. It
	// reaches the setting again after some seconds.
	riseFactor = 1.1
)

// linkRate corrects the rate of a link that is slower than its setting. The zero value makes
// no correction.
type linkRate struct {
	// factor is the corrected rate as a share of the setting; 0 without a correction.
	factor float64
	// startedAt is the start of the measurement, and bytes what was written since then.
	startedAt clock.Millis
	bytes     ident.Bytes
	// blocked holds the connections whose writes were blocked.
	blocked sets.Set[uint64]
}

// correct returns the rate of a link with a setting.
func (r *linkRate) correct(setting float64) float64 {
	if r.factor == 0 {
		return setting
	}
	return setting * r.factor
}

// wrote records a write. It ends a measurement that is due.
func (r *linkRate) wrote(now clock.Millis, setting float64, connection uint64, n ident.Bytes, took clock.Millis) {
	if took >= blockedMillis {
		if r.blocked == nil {
			r.blocked = sets.Of[uint64]()
		}
		r.blocked.Add(connection)
	}
	r.bytes += n
	elapsed := now - r.startedAt
	if elapsed < measureMillis {
		return
	}
	sent := float64(r.bytes) / float64(elapsed)
	switch {
	case elapsed > 2*measureMillis:
		// Nothing was written for a part of this time, so it shows nothing.
	case len(r.blocked) >= minBlocked:
		current := r.correct(setting)
		r.factor = max(min(drainShare*sent, current), maxFall*current) / setting
		r.factor = max(r.factor, minRateShare)
	case len(r.blocked) == 0 && r.factor > 0:
		r.factor *= riseFactor
		if r.factor >= 1 {
			r.factor = 0
		}
	}
	r.startedAt, r.bytes = now, 0
	clear(r.blocked)
}
