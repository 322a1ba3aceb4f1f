package lease

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// WriteDone reports the outcome of Write and, if it succeeded, the new revision.
func (l *Lease) WriteDone(now clock.Millis, reply Reply, revision ident.Revision) []Action {
	if l.call != writing {
		return nil
	}
	l.call = noCall
	if l.phase == releasing {
		l.phase = stopped
		return []Action{{Kind: Stopped}}
	}
	if l.stopping {
		if reply == OK {
			l.row, l.revision = l.pending, revision
		}
		return l.releaseOrStop(reply == OK || l.phase == holding && reply == Failed)
	}
	switch {
	case reply == OK:
		return l.confirm(now, revision)
	case reply == Unknown, reply == Conflict:
		// An earlier write of this node whose response was lost can cause the conflict.
		l.outcomeUnknown, l.renewAt = true, now
		return l.read()
	case l.phase == holding:
		l.renewAt = now + l.Timing.RenewMillis/4
		return nil
	}
	l.resetToFollowing()
	l.scheduleContention(now)
	return nil
}

// confirm adopts the pending row, which is now in the store. The validity of the lease
// counts from when the row was first sent: no other node can have read it earlier, so no
// other node's TTL began before.
func (l *Lease) confirm(now clock.Millis, revision ident.Revision) []Action {
	l.phase, l.row, l.revision = holding, l.pending, revision
	l.hasPending = false
	l.validUntil = l.pendingSentAt + l.Timing.TTLMillis - l.Timing.MarginMillis
	l.renewAt = l.pendingSentAt + l.Timing.RenewMillis
	if l.active || now >= l.validUntil {
		return l.Tick(now)
	}
	l.active = true
	return []Action{{Kind: Acquired, Epoch: l.row.Epoch}}
}

// followHolder returns to following, because the row shows that another write won. The
// heartbeat timeout starts anew.
func (l *Lease) followHolder(now clock.Millis) []Action {
	actions := l.endHolding()
	l.resetToFollowing()
	l.timerStarted, l.lastHeartbeat = true, now
	return actions
}

// resetToFollowing returns to following and discards what is known of the row.
func (l *Lease) resetToFollowing() {
	l.phase, l.hasRow, l.hasPending, l.outcomeUnknown, l.contendScheduled = following, false, false, false, false
}

// endHolding reports Lost if this node holds the lease.
func (l *Lease) endHolding() []Action {
	if !l.active {
		return nil
	}
	l.active = false
	return []Action{{Kind: Lost, Epoch: l.row.Epoch}}
}

// Stop gives up the lease. The holder releases it by writing the row without a holder, so
// that another node acquires it without waiting for the TTL. Stopped is returned at once,
// or after the call in flight and the release have ended.
func (l *Lease) Stop(now clock.Millis) []Action {
	actions := l.endHolding()
	if l.call != noCall {
		l.stopping = true
		return actions
	}
	return append(actions, l.releaseOrStop(l.phase == holding && !l.outcomeUnknown)...)
}

// releaseOrStop releases the lease if this node is known to be the holder in the row;
// otherwise it stops. A lease that is not released expires.
func (l *Lease) releaseOrStop(holder bool) []Action {
	l.stopping = false
	if !holder {
		l.phase = stopped
		return []Action{{Kind: Stopped}}
	}
	l.phase = releasing
	return l.write(Row{Epoch: l.row.Epoch, Count: l.row.Count + 1})
}

// read requests a read of the row.
func (l *Lease) read() []Action {
	l.call = reading
	return []Action{{Kind: Read}}
}

// write requests a write of the row on condition of the known revision.
func (l *Lease) write(r Row) []Action {
	l.call = writing
	return []Action{{Kind: Write, Row: r, Revision: l.revision}}
}
