// Package lease decides which node of a region reads the source. The lease saves
// work and does not protect anything: a holder that acts after its lease has
// lapsed is harmless, because each of its writes has a condition.
package lease

import (
	"errors"
	"math/rand/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// OK means that the call succeeded.
	OK Reply = iota
	// Conflict means that the condition of a write failed.
	Conflict
	// Unknown means that the answer to a write was lost.
	Unknown
	// Failed means that the call certainly had no effect.
	Failed
)

const (
	// Read asks for a strong read of the row.
	Read ActionKind = iota
	// Write asks for Row to be written on condition of Revision.
	Write
	// Hold says that this node holds the lease from now on.
	Hold
	// Lose says that this node does not hold the lease any more.
	Lose
	// Stopped says that the lease has been given up after Stop.
	Stopped
)

const (
	// following watches the pulse of the holder.
	following phase = iota
	// contending reads the row, waits for a TTL and tries to take the lease.
	contending
	// holding renews the lease; the holder may have to settle a lost answer.
	holding
	// releasing awaits the answer to the release.
	releasing
	// stopped does nothing.
	stopped
)

const (
	// noCall means that no call to the store is under way.
	noCall call = iota
	// reading means that Read was asked for.
	reading
	// writing means that Write was asked for.
	writing
)

// maxFirstCount bounds the random first Count; larger integers are inexact in
// some JSON readers.
const maxFirstCount = 1 << 52

type (
	// Reply is the outcome of a call to the store.
	Reply uint8

	// ActionKind says what an Action asks for or tells.
	ActionKind uint8

	// phase is the part of the lease's life.
	phase uint8

	// call is the call to the store that is under way.
	call uint8

	// Action is what the caller does next.
	Action struct {
		Kind ActionKind
		// Row and Revision belong to Write.
		Row      Row
		Revision ident.Revision
		// Epoch belongs to Hold and Lose.
		Epoch ident.Epoch
	}

	// Timing holds the durations of a lease.
	Timing struct {
		// TTLMillis is how long an observer must see the row unchanged, by its
		// own clock, before it may take the lease.
		TTLMillis clock.Millis
		// RenewMillis is the time from one renewal to the next.
		RenewMillis clock.Millis
		// MarginMillis is how long before TTLMillis the holder stops by itself.
		// It covers clocks that run at different rates.
		MarginMillis clock.Millis
		// SilenceMillis is how long the holder's pulse may make no progress
		// before a node contends for the lease.
		SilenceMillis clock.Millis
		// SpreadMillis is the mean time between two contenders of a fleet of any
		// size: each waits for a random time of up to SpreadMillis times the
		// size of the fleet.
		SpreadMillis clock.Millis
	}

	// Lease is one node's part in the lease of its region. It belongs to one
	// goroutine, which answers each Read and Write with ReadDone and Written and
	// calls Tick several times per RenewMillis. At most one call is under way.
	Lease struct {
		Self   ident.NodeID
		Timing Timing
		Rand   *rand.Rand
		// Fleet is the number of nodes that may contend; it may change any time.
		Fleet int

		phase phase
		call  call
		// started says that lastPulse is set.
		started bool
		// lastPulse is when the holder last gave a sign of life.
		lastPulse clock.Millis
		// contendAt is when to contend, if drawn is set.
		contendAt clock.Millis
		drawn     bool

		// row and revision are as read or written last.
		row      Row
		revision ident.Revision
		// takeAt is when a contender that has read the row may take it.
		takeAt clock.Millis
		// hasRow says that a contender has read the row.
		hasRow bool

		// pending is the row that was sent first at pendingSince and that is not
		// confirmed; it is valid if hasPending is set.
		pending      Row
		pendingSince clock.Millis
		hasPending   bool
		// unsettled says that the answer to the write of pending was lost or may
		// be hidden by a conflict, so the row must be read.
		unsettled bool

		// active says that Hold was the last word.
		active bool
		// validUntil is when the holder stops by itself.
		validUntil clock.Millis
		// renewAt is when the holder writes or reads next.
		renewAt clock.Millis
		// stopping says that Stop was called while a call was under way.
		stopping bool
	}
)

// errTiming reports durations that contradict each other.
var errTiming = errors.New("lease: RenewMillis must be above 0, SpreadMillis and SilenceMillis not negative, " +
	"and two renewals and the margin must fit into TTLMillis")

// DefaultTiming returns durations with which a lost reader is replaced after
// about 6 s: silence, one spread and the TTL.
func DefaultTiming() Timing {
	return Timing{TTLMillis: 3000, RenewMillis: 800, MarginMillis: 500, SilenceMillis: 2000, SpreadMillis: 500}
}

// Validate returns an error if the durations contradict each other.
func (t Timing) Validate() error {
	if t.RenewMillis <= 0 || t.SpreadMillis < 0 || t.SilenceMillis < 0 || t.MarginMillis < 0 ||
		2*t.RenewMillis+t.MarginMillis > t.TTLMillis {
		return errTiming
	}
	return nil
}

// Holds reports whether this node holds the lease at the instant now of its own
// clock.
func (l *Lease) Holds(now clock.Millis) bool {
	return l.active && now < l.validUntil
}

// Epoch returns the epoch of the lease that this node holds or held last.
func (l *Lease) Epoch() ident.Epoch {
	return l.row.Epoch
}

// Pulse tells that the holder's pulse has made progress. A node that contends
// gives up, unless its write is under way.
func (l *Lease) Pulse(now clock.Millis) {
	l.started, l.lastPulse, l.drawn = true, now, false
	if l.phase == contending && l.call != writing && !l.unsettled {
		l.phase = following
	}
}

// Tick does what is due.
func (l *Lease) Tick(now clock.Millis) []Action {
	switch l.phase {
	case following:
		return l.tickFollowing(now)
	case contending:
		return l.tickContending(now)
	case holding:
		return l.tickHolding(now)
	}
	return nil
}

// tickFollowing contends once the pulse has been silent and the drawn delay has
// passed.
func (l *Lease) tickFollowing(now clock.Millis) []Action {
	if !l.started {
		l.started, l.lastPulse = true, now
	}
	if l.call != noCall || now-l.lastPulse < l.Timing.SilenceMillis {
		return nil
	}
	if !l.drawn {
		l.draw(now)
	}
	if now < l.contendAt {
		return nil
	}
	l.phase, l.hasRow, l.drawn = contending, false, false
	return l.read()
}

// draw sets the time of the next contention.
func (l *Lease) draw(now clock.Millis) {
	window := l.Timing.SpreadMillis * clock.Millis(max(l.Fleet, 1))
	l.contendAt, l.drawn = now+clock.Millis(l.Rand.Float64())*window, true
}

// tickContending takes the lease after a TTL without a change of the row. If
// the row has changed, the condition fails.
func (l *Lease) tickContending(now clock.Millis) []Action {
	if l.call != noCall {
		return nil
	}
	if l.unsettled {
		if now < l.renewAt {
			return nil
		}
		return l.read()
	}
	if !l.hasRow || now < l.takeAt {
		return nil
	}
	return l.take(now)
}

// take writes the row with the next epoch.
func (l *Lease) take(now clock.Millis) []Action {
	l.pending = Row{Holder: l.Self, Epoch: l.row.Epoch + 1, Count: l.Rand.Uint64N(maxFirstCount)}
	l.pendingSince, l.hasPending = now, true
	return l.write(l.pending)
}

// tickHolding stops a lapsed holder, and renews.
func (l *Lease) tickHolding(now clock.Millis) []Action {
	var actions []Action
	if l.active && now >= l.validUntil {
		actions = l.lose()
	}
	if l.call != noCall || now < l.renewAt {
		return actions
	}
	if l.unsettled {
		return append(actions, l.read()...)
	}
	return append(actions, l.renew(now)...)
}

// renew writes the row with the next count. A renewal that was sent before and is
// not confirmed keeps its first time, because that write may be the one that
// takes effect.
func (l *Lease) renew(now clock.Millis) []Action {
	if !l.hasPending {
		l.pending = Row{Holder: l.Self, Epoch: l.row.Epoch, Count: l.row.Count + 1}
		l.pendingSince, l.hasPending = now, true
	}
	return l.write(l.pending)
}

// ReadDone takes the row that Read asked for; an absent row has revision 0.
func (l *Lease) ReadDone(now clock.Millis, reply Reply, row Row, revision ident.Revision) []Action {
	if l.call != reading {
		return nil
	}
	l.call = noCall
	switch {
	case l.stopping:
		if reply == OK && l.unsettled && row == l.pending {
			l.row, l.revision = row, revision
			return l.finishStop(true)
		}
		return l.finishStop(false)
	case l.phase == following:
		return nil // a pulse came during the read
	case reply != OK && l.unsettled:
		l.renewAt = now + l.Timing.RenewMillis
		return nil
	case reply != OK:
		l.follow()
		l.draw(now)
		return nil
	case l.unsettled:
		return l.settle(now, row, revision)
	}
	l.row, l.revision, l.hasRow = row, revision, true
	if revision == 0 || row.Holder == "" {
		return l.take(now)
	}
	l.takeAt = now + l.Timing.TTLMillis
	return nil
}

// settle decides what became of the pending write.
func (l *Lease) settle(now clock.Millis, row Row, revision ident.Revision) []Action {
	l.unsettled = false
	switch {
	case revision > 0 && row == l.pending:
		return l.confirm(now, revision)
	case revision == l.revision && l.phase == holding:
		l.renewAt = now // the write did not take effect so far, and is repeated
		return l.Tick(now)
	case revision == l.revision:
		return l.write(l.pending)
	}
	return l.lost(now)
}
