package canary

import "hickoryrail/core/clock"

// nextCall returns the next call to the store, if one is due.
func (d *decider) nextCall(now clock.Millis) []Action {
	if d.call != noCall || now < d.retryAt || d.done || d.resigned {
		return nil
	}
	switch {
	case !d.claimed, d.outcome == Pending && now-d.confirmedAt >= confirmMillis:
		d.call = reading
		return []Action{{Kind: ReadStatus, Service: d.order.Service}}
	case d.outcome != Pending:
		return d.write(Status{Phase: d.outcome, To: d.order.To, Revision: d.row.Revision})
	}
	return nil
}

// write returns the write of a row on condition of its revision.
func (d *decider) write(s Status) []Action {
	d.call, d.pending = writing, s
	return []Action{{Kind: WriteStatus, Service: d.order.Service, Status: s}}
}

// statusRead handles the answer to a read of the status row.
func (d *decider) statusRead(now clock.Millis, s Status, reply Reply) []Action {
	if d.call != reading {
		return nil
	}
	d.call = noCall
	if reply != OK {
		d.storeFailed(now)
		return nil
	}
	d.failingSince, d.uncertain = 0, false
	mine := d.claimed && s.Phase == Running && s.To == d.order.To && s.Revision == d.row.Revision
	lost := d.row.Revision > 0 && !d.verifying && !d.maybeOwn && s.Phase == Running && s.To == d.order.To && s.Revision > d.row.Revision
	d.row = s
	switch {
	case d.verifying && s.Phase == Running && s.To == d.order.To:
		d.verifying = false
		d.claim(now)
		return d.nextCall(now)
	case lost:
		d.note(reasonLost)
		d.resigned = true
		return nil
	case s.Phase.Final() && s.To == d.order.To:
		d.finish(now, s.Phase)
		return nil
	case mine:
		d.confirmedAt = now
		return d.nextCall(now)
	case s.Phase == Running && s.To != d.order.To:
		// An order that is replaced must have an outcome too.
		return d.write(Status{Phase: RolledBack, To: s.To, Revision: s.Revision})
	}
	return d.write(Status{Phase: Running, To: d.order.To, Revision: s.Revision})
}

// statusWritten handles the answer to a write of the status row.
func (d *decider) statusWritten(now clock.Millis, reply Reply) []Action {
	if d.call != writing {
		return nil
	}
	d.call = noCall
	switch reply {
	case OK:
		d.failingSince, d.maybeOwn = 0, false
		return d.written(now)
	case Failed:
		d.storeFailed(now)
		return nil
	case Unknown:
		d.maybeOwn = true
		d.uncertain = d.uncertain || d.pending.Phase == Completed
		d.storeFailed(now)
	}
	// The row decides: this write may have been done, or another node has taken over.
	d.claimed = false
	return nil
}

// written handles a successful write. Its answer need not tell the revision of the row, so
// that the row is read again.
func (d *decider) written(now clock.Millis) []Action {
	switch {
	case d.pending.To != d.order.To:
		d.note(reasonReplaced)
	case d.pending.Phase.Final():
		d.finish(now, d.pending.Phase)
		return nil
	default:
		d.verifying = true
	}
	d.claimed = false
	return d.nextCall(now)
}

// claim begins to decide: with new evidence, and at the first step unless the state was
// handed over. A decider that writes the row again, for example because the store has lost
// it, goes on.
func (d *decider) claim(now clock.Millis) {
	again := d.claimedAt > 0
	d.claimed, d.confirmedAt, d.handovers = true, now, 0
	if !again {
		d.claimedAt = now
	}
	if again || d.outcome != Pending {
		return
	}
	if d.inherited && d.step > stepTrial {
		d.scale = max(scaleOf(d.last()-now), minScale)
		d.stepAt = now
	} else {
		d.step, d.stepAt, d.share = stepTrial, now, d.config.Share*trialShare
	}
	d.judge, d.old, d.new, d.changed = newJudge(now), 0, 0, true
	d.note(reasonStarted)
}

// finish adopts the outcome that is in the store.
func (d *decider) finish(now clock.Millis, p Phase) {
	d.outcome, d.done, d.doneAt, d.changed = p, true, now, true
	d.share = 0
	if p == Completed {
		d.share = 1
	}
	d.note(reasonEnded)
}

// storeFailed plans the next call after a failed one.
func (d *decider) storeFailed(now clock.Millis) {
	d.retryAt = now + storeRetryMillis
	if d.failingSince == 0 {
		d.failingSince = now
	}
}
