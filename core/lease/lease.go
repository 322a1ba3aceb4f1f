// Package lease elects the node of a region that reads the source. The lease avoids
// duplicate work and is not needed for safety: a holder that acts after its lease has
// expired does no harm, because each of its writes is conditional.
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
	// Conflict means that the store rejected a write because its condition failed.
	Conflict
	// Unknown means that the response to a write was lost, so it may have taken effect
	// or may still do so.
	Unknown
	// Failed means that the call certainly had no effect.
	Failed
)

const (
	// Read requests a strongly consistent read of the row.
	Read ActionKind = iota
	// Write requests a write of Row on condition that the row is at Revision.
	Write
	// Acquired reports that this node holds the lease from now on.
	Acquired
	// Lost reports that this node no longer holds the lease.
	Lost
	// Stopped reports that the shutdown that Stop began is complete.
	Stopped
)

const (
	// following waits for heartbeats of the holder.
	following phase = iota
	// contending reads the row, waits for the TTL and tries to acquire the lease.
	contending
	// holding renews the lease. If the outcome of a write is unknown, the node reads the
	// row first.
	holding
	// releasing waits for the response to the write that releases the lease.
	releasing
	// stopped is the final phase; Tick has no effect.
	stopped
)

const (
	// noCall means that no call to the store is in flight.
	noCall call = iota
	// reading means that a Read is in flight.
	reading
	// writing means that a Write is in flight.
	writing
)

// maxInitialCount bounds the random initial Count; some JSON decoders represent larger
// integers inexactly.
const maxInitialCount = 1 << 52

type (
	// Reply is the outcome of a call to the store.
	Reply uint8

	// ActionKind is the kind of an Action: a call to the store or a notification.
	ActionKind uint8

	// phase is the state of a node's part in the lease.
	phase uint8

	// call is the kind of the call to the store that is in flight.
	call uint8

	// Action is a call that the caller must make or a notification.
	Action struct {
		Kind ActionKind
		// Row and Revision are set for Write.
		Row      Row
		Revision ident.Revision
		// Epoch is set for Acquired and Lost.
		Epoch ident.Epoch
	}

	// Timing holds the durations of a lease.
	Timing struct {
		// TTLMillis is how long a contender must see the row unchanged, by its own
		// clock, before it may acquire the lease.
		TTLMillis clock.Millis
		// RenewMillis is the time from one renewal to the next.
		RenewMillis clock.Millis
		// MarginMillis is how much earlier than TTLMillis the lease expires for the holder
		// itself. It covers clocks that run at different rates.
		MarginMillis clock.Millis
		// HeartbeatTimeoutMillis is the time without a new heartbeat of the holder after
		// which a node contends for the lease.
		HeartbeatTimeoutMillis clock.Millis
		// JitterPerNodeMillis bounds the random delay before a node contends: it is at
		// most JitterPerNodeMillis times FleetSize. Contenders are thus JitterPerNodeMillis
		// apart on average, whatever the size of the fleet.
		JitterPerNodeMillis clock.Millis
	}

	// Lease is one node's part in the lease of its region, as a state machine without I/O.
	// It is not safe for concurrent use. The caller reports the outcome of each Read with
	// ReadDone and of each Write with WriteDone, and calls Tick several times per
	// RenewMillis. At most one call to the store is in flight.
	Lease struct {
		Self   ident.NodeID
		Timing Timing
		Rand   *rand.Rand
		// FleetSize is the number of nodes that may contend; it may change at any time.
		FleetSize int

		phase phase
		call  call
		// timerStarted is set once lastHeartbeat is valid.
		timerStarted bool
		// lastHeartbeat is when the node last saw evidence of a live holder, or its first
		// Tick if there was none; the heartbeat timeout runs from it.
		lastHeartbeat clock.Millis
		// contendAt is when to contend; it is valid if contendScheduled is set.
		contendAt        clock.Millis
		contendScheduled bool

		// row and revision are those of the last successful read or write.
		row      Row
		revision ident.Revision
		// acquireAt is when a contender may acquire the lease; it is valid if hasRow is set.
		acquireAt clock.Millis
		// hasRow is set once a contender has read the row.
		hasRow bool

		// pending is the row of an unconfirmed write that was first sent at pendingSentAt;
		// it is valid if hasPending is set.
		pending       Row
		pendingSentAt clock.Millis
		hasPending    bool
		// outcomeUnknown is set if the response to the write of pending was lost, or was a
		// conflict that an earlier copy of the write may have caused. The row must be read.
		outcomeUnknown bool

		// active is set from Acquired until Lost.
		active bool
		// validUntil is when the lease expires for the holder itself.
		validUntil clock.Millis
		// renewAt is when the holder next renews, or next reads a row whose write has an
		// unknown outcome.
		renewAt clock.Millis
		// stopping is set if Stop was called while a call was in flight.
		stopping bool
	}
)

// errTiming reports inconsistent durations.
var errTiming = errors.New("lease: RenewMillis must be positive, HeartbeatTimeoutMillis, JitterPerNodeMillis and MarginMillis " +
	"must not be negative, and 2*RenewMillis+MarginMillis must not exceed TTLMillis")

// DefaultTiming returns durations with which a failed reader is replaced after about 6 s:
// HeartbeatTimeoutMillis, JitterPerNodeMillis and TTLMillis together.
func DefaultTiming() Timing {
	return Timing{TTLMillis: 3000, RenewMillis: 800, MarginMillis: 500, HeartbeatTimeoutMillis: 2000, JitterPerNodeMillis: 500}
}

// Validate returns an error if the durations are inconsistent.
func (t Timing) Validate() error {
	if t.RenewMillis <= 0 || t.JitterPerNodeMillis < 0 || t.HeartbeatTimeoutMillis < 0 || t.MarginMillis < 0 ||
		2*t.RenewMillis+t.MarginMillis > t.TTLMillis {
		return errTiming
	}
	return nil
}

// Holds reports whether this node holds the lease at time now of its own clock.
func (l *Lease) Holds(now clock.Millis) bool {
	return l.active && now < l.validUntil
}

// Epoch returns the epoch of the row that this node last read or wrote.
func (l *Lease) Epoch() ident.Epoch {
	return l.row.Epoch
}

// Heartbeat records a new heartbeat of the holder. A contender returns to following, unless
// its write is in flight or has an unknown outcome.
func (l *Lease) Heartbeat(now clock.Millis) {
	l.timerStarted, l.lastHeartbeat, l.contendScheduled = true, now, false
	if l.phase == contending && l.call != writing && !l.outcomeUnknown {
		l.phase = following
	}
}

// Tick runs the timers of the current phase.
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

// tickFollowing contends for the lease once the heartbeat timeout and then the random
// delay have passed.
func (l *Lease) tickFollowing(now clock.Millis) []Action {
	if !l.timerStarted {
		l.timerStarted, l.lastHeartbeat = true, now
	}
	if l.call != noCall || now-l.lastHeartbeat < l.Timing.HeartbeatTimeoutMillis {
		return nil
	}
	if !l.contendScheduled {
		l.scheduleContention(now)
	}
	if now < l.contendAt {
		return nil
	}
	l.phase, l.hasRow, l.contendScheduled = contending, false, false
	return l.read()
}

// scheduleContention sets contendAt to a random time within the jitter window.
func (l *Lease) scheduleContention(now clock.Millis) {
	window := l.Timing.JitterPerNodeMillis * clock.Millis(max(l.FleetSize, 1))
	l.contendAt, l.contendScheduled = now+clock.Millis(l.Rand.Float64())*window, true
}

// tickContending tries to acquire the lease a TTL after the row was read. If the row has
// changed since, the condition of the write fails.
func (l *Lease) tickContending(now clock.Millis) []Action {
	if l.call != noCall {
		return nil
	}
	if l.outcomeUnknown {
		if now < l.renewAt {
			return nil
		}
		return l.read()
	}
	if !l.hasRow || now < l.acquireAt {
		return nil
	}
	return l.acquire(now)
}

// acquire writes the row with this node as holder and the next epoch.
func (l *Lease) acquire(now clock.Millis) []Action {
	l.pending = Row{Holder: l.Self, Epoch: l.row.Epoch + 1, Count: l.Rand.Uint64N(maxInitialCount)}
	l.pendingSentAt, l.hasPending = now, true
	return l.write(l.pending)
}

// tickHolding reports Lost if the lease has expired, and renews it if that is due.
func (l *Lease) tickHolding(now clock.Millis) []Action {
	var actions []Action
	if l.active && now >= l.validUntil {
		actions = l.endHolding()
	}
	if l.call != noCall || now < l.renewAt {
		return actions
	}
	if l.outcomeUnknown {
		return append(actions, l.read()...)
	}
	return append(actions, l.renew(now)...)
}

// renew writes the row with the next count. If an earlier renewal is unconfirmed, the same
// row is sent again and pendingSentAt stays, because the first write may be the one that
// takes effect.
func (l *Lease) renew(now clock.Millis) []Action {
	if !l.hasPending {
		l.pending = Row{Holder: l.Self, Epoch: l.row.Epoch, Count: l.row.Count + 1}
		l.pendingSentAt, l.hasPending = now, true
	}
	return l.write(l.pending)
}

// ReadDone reports the outcome of Read. A missing row has revision 0.
func (l *Lease) ReadDone(now clock.Millis, reply Reply, row Row, revision ident.Revision) []Action {
	if l.call != reading {
		return nil
	}
	l.call = noCall
	switch {
	case l.stopping:
		if reply == OK && l.outcomeUnknown && row == l.pending {
			l.row, l.revision = row, revision
			return l.releaseOrStop(true)
		}
		return l.releaseOrStop(false)
	case l.phase == following:
		return nil // a heartbeat arrived during the read
	case reply != OK && l.outcomeUnknown:
		l.renewAt = now + l.Timing.RenewMillis
		return nil
	case reply != OK:
		l.resetToFollowing()
		l.scheduleContention(now)
		return nil
	case l.outcomeUnknown:
		return l.resolvePending(now, row, revision)
	}
	l.row, l.revision, l.hasRow = row, revision, true
	if revision == 0 || row.Holder == "" {
		return l.acquire(now)
	}
	l.acquireAt = now + l.Timing.TTLMillis
	return nil
}

// resolvePending determines from the row whether the pending write took effect.
func (l *Lease) resolvePending(now clock.Millis, row Row, revision ident.Revision) []Action {
	l.outcomeUnknown = false
	switch {
	case revision > 0 && row == l.pending:
		return l.confirm(now, revision)
	case revision == l.revision && l.phase == holding:
		l.renewAt = now // the write has not taken effect so far and is repeated
		return l.Tick(now)
	case revision == l.revision:
		return l.write(l.pending)
	}
	return l.followHolder(now)
}
