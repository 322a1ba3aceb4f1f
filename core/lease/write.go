package lease

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// Written takes the outcome of Write and, if it succeeded, the new revision.
func (l *Lease) Written(now clock.Millis, reply Reply, revision ident.Revision) []Action {
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
		return l.finishStop(reply == OK || l.phase == holding && reply == Failed)
	}
	switch {
	case reply == OK:
		return l.confirm(now, revision)
	case reply == Unknown, reply == Conflict:
		// A conflict can come from an own write whose answer was lost.
		l.unsettled, l.renewAt = true, now
		return l.read()
	case l.phase == holding:
		l.renewAt = now + l.Timing.RenewMillis/4
		return nil
	}
	l.follow()
	l.draw(now)
	return nil
}

// confirm adopts the pending row, which is the row's value now. The holder counts
// from the time of sending, which no observer's TTL can precede.
func (l *Lease) confirm(now clock.Millis, revision ident.Revision) []Action {
	l.phase, l.row, l.revision = holding, l.pending, revision
	l.hasPending = false
	l.validUntil = l.pendingSince + l.Timing.TTLMillis - l.Timing.MarginMillis
	l.renewAt = l.pendingSince + l.Timing.RenewMillis
	if l.active || now >= l.validUntil {
		return l.Tick(now)
	}
	l.active = true
	return []Action{{Kind: Hold, Epoch: l.row.Epoch}}
}

// lost returns to following a holder that was seen in the row.
func (l *Lease) lost(now clock.Millis) []Action {
	actions := l.lose()
	l.follow()
	l.started, l.lastPulse = true, now
	return actions
}

// follow forgets everything about the row.
func (l *Lease) follow() {
	l.phase, l.hasRow, l.hasPending, l.unsettled, l.drawn = following, false, false, false, false
}

// lose ends the holding, if there is one.
func (l *Lease) lose() []Action {
	if !l.active {
		return nil
	}
	l.active = false
	return []Action{{Kind: Lose, Epoch: l.row.Epoch}}
}

// Stop gives up the lease: the holder writes the row without a holder, so that
// another node takes it without waiting for the TTL. Stopped follows at once or
// after the answer to the call that is under way.
func (l *Lease) Stop(now clock.Millis) []Action {
	actions := l.lose()
	if l.call != noCall {
		l.stopping = true
		return actions
	}
	return append(actions, l.finishStop(l.phase == holding && !l.unsettled)...)
}

// finishStop releases the lease if this node is known to be the holder in the
// row. A lease that is not released lapses.
func (l *Lease) finishStop(holder bool) []Action {
	l.stopping = false
	if !holder {
		l.phase = stopped
		return []Action{{Kind: Stopped}}
	}
	l.phase = releasing
	return l.write(Row{Epoch: l.row.Epoch, Count: l.row.Count + 1})
}

// read asks for the row.
func (l *Lease) read() []Action {
	l.call = reading
	return []Action{{Kind: Read}}
}

// write asks for the row to be written on condition of the known revision.
func (l *Lease) write(r Row) []Action {
	l.call = writing
	return []Action{{Kind: Write, Row: r, Revision: l.revision}}
}
