package canary

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// beatMillis is the time between two announcements of a running rollout.
	beatMillis = 500 * clock.Millis(1)
	// finalMillis is how long the outcome is announced.
	finalMillis = 3 * clock.Second
	// minTrialMillis is the least time in which a decider collects evidence before it
	// increases the share, and minAgainMillis the same for one that has taken over after
	// the share had grown: its predecessor had seen enough.
	minTrialMillis = 1500 * clock.Millis(1)
	minAgainMillis = 500 * clock.Millis(1)
	// lateMillis is the time after the beginning of stepAll in which evidence still counts.
	// Later evidence is about requests of which the old version has got none, so that
	// nothing shows whether trouble hits both.
	lateMillis = 150 * clock.Millis(1)
	// settleMillis is the time after the beginning before which no deadline ends a rollout:
	// an order without time may be for the version in force, which then has to stay.
	settleMillis = 1 * clock.Second
	// inForceMillis is the time without targets of the old version after which a rollout
	// has nothing left to do.
	inForceMillis = 2 * clock.Second
	// storeRetryMillis is the delay after a failed call to the store, and resignMillis the
	// time of failed calls after which another node takes over: the store may refuse just
	// this one.
	storeRetryMillis = 300 * clock.Millis(1)
	resignMillis     = 800 * clock.Millis(1)
	// handoverMillis is the same for a decider that has announced a state and names its
	// successor, and maxHandovers the number of handovers in succession: after that, it is
	// the store that does not answer, and the last decider stays.
	handoverMillis = 300 * clock.Millis(1)
	maxHandovers   = 4
	// confirmMillis is the time between two reads of the row, which show that the store
	// answers this node and that no other one has taken over. The share grows only if the
	// last one is not older than confirmedMillis.
	confirmMillis   = 1500 * clock.Millis(1)
	confirmedMillis = 2500 * clock.Millis(1)
	// maxPauseMillis is the time between two ticks from which on a decider was paused and
	// gives up: another node may decide, and its evidence is old.
	maxPauseMillis = 1 * clock.Second
	// minExpected is the number of requests that the new version should have got from which
	// on it must have given a good answer.
	minExpected = 8
)

const (
	noCall call = iota
	reading
	writing
)

type (
	// call is the kind of the call to the store that has no answer yet.
	call uint8

	// decider decides on one rollout. It first reads the status row and writes it anew, so
	// that the writes of an earlier decider fail on their condition. It writes an outcome
	// only on condition that the row is still its own.
	decider struct {
		config          Config
		order           Order
		start, deadline clock.Millis

		call    call
		retryAt clock.Millis
		// failingSince is the time of the first of the failed calls since the last answer;
		// 0 if the last call was answered.
		failingSince clock.Millis
		// row is the status row as last read or written, and pending the one being written.
		row, pending Status
		// claimed is set while the row is known to be this decider's, since claimedAt.
		claimed   bool
		claimedAt clock.Millis
		// verifying is set after a write of Running until the row is read.
		verifying bool
		// confirmedAt is the time of the last read that showed the row to be this decider's.
		confirmedAt clock.Millis
		// hadGrown is set if the share had grown under an earlier decider.
		hadGrown bool
		// maybeOwn is set while a write has no known outcome, so that a row with a later
		// revision may be this node's own.
		maybeOwn bool
		// uncertain is set while a write of Completed has no known outcome.
		uncertain bool

		judge *judge
		// old and new count the requests to each version since the decider began.
		old, new float64
		// drained holds the targets of the old version without calls in stepAll.
		drained map[ident.TargetID]bool
		// aloneSince is since when there are no targets of the old version; 0 if there are.
		aloneSince clock.Millis
		// hadOld is set once there were such targets after the labels had arrived. Without
		// any, the order is for the version in force, and there is none to go back to.
		hadOld bool

		step   int
		stepAt clock.Millis
		scale  float64
		share  float64
		// outcome is what was decided; Pending before that.
		outcome Phase
		// known is set if the outcome stays after the deadline, for example because it was
		// in the store before.
		known bool
		// done is set once the outcome is in the store.
		done   bool
		doneAt clock.Millis
		// inherited is set if the state was handed over: the step goes on from there.
		inherited bool
		// handovers is the number of handovers in succession, and handOver requests
		// another one.
		handovers int
		handOver  bool
		// resigned is set once another node has to decide, or does.
		resigned bool
		// changed requests an announcement.
		changed bool
		notes   []string
	}

	// targets are the targets of a service that can get requests.
	targets struct {
		old []ident.TargetID
		new int
	}
)

// newDecider returns a decider that reads the status row first.
func newDecider(now clock.Millis, c Config, r *rollout) *decider {
	d := &decider{
		config: c, order: r.order, start: r.startedAt, deadline: r.deadline, judge: newJudge(now),
		drained: make(map[ident.TargetID]bool), stepAt: now, retryAt: now, hadGrown: r.state.Step > stepTrial,
	}
	if r.phase == Running && r.hasState && r.state.Share == 0 {
		d.outcome = RolledBack // decided, and not known to be written
	}
	return d
}

// inherit continues the state that another decider has handed over.
func (d *decider) inherit(s State) {
	d.inherited, d.handovers, d.changed = true, int(s.Handovers), true
	d.step, d.share = min(int(s.Step), stepAll), s.Share
	if d.handovers >= maxHandovers && d.outcome == Pending {
		d.step, d.share = stepTrial, min(d.share, d.config.Share*trialShare)
	}
}

// end returns the time at which the outcome is to be written.
func (d *decider) end() clock.Millis {
	return d.deadline - margin(max(d.deadline-d.start, 0))
}

// last returns the time until which stepAll may go on for the requests of old targets.
func (d *decider) last() clock.Millis {
	return d.deadline - margin(max(d.deadline-d.start, 0))/2
}

// tick decides what follows from the time and the evidence. The call to the store that it
// returns is the only one until it is answered.
func (d *decider) tick(now clock.Millis, t targets) []Action {
	if len(t.old) > 0 {
		d.aloneSince = 0
		d.hadOld = d.hadOld || d.claimed && now-d.claimedAt >= settleMillis
	} else if d.aloneSince == 0 {
		d.aloneSince = now
	}
	switch {
	case d.outcome != Pending:
	case d.claimed:
		d.decide(now, t)
	case d.inherited && d.judge.worst(now).faulty():
		d.conclude(RolledBack, reasonFaulty)
	}
	if d.outcome == Completed && !d.uncertain && !d.known && now > d.deadline && !d.done {
		d.conclude(RolledBack, reasonDeadline) // nobody can have seen Completed
	}
	acting := d.claimedAt > 0 || d.inherited
	switch failing := now - d.failingSince; {
	case d.failingSince == 0:
	case acting && failing >= handoverMillis && d.handovers < maxHandovers:
		d.note(reasonResigned)
		d.handOver = true
		return nil
	case !acting && failing >= resignMillis:
		d.note(reasonResigned)
		d.resigned = true
		return nil
	}
	return d.nextCall(now)
}

// decide ends the rollout or changes the step.
func (d *decider) decide(now clock.Millis, t targets) {
	f := d.judge.worst(now)
	switch {
	case f.faulty() && (d.hadOld || len(t.old) > 0):
		d.conclude(RolledBack, reasonFaulty)
	case d.step > stepTrial && f.suspect() && d.spent(now):
		d.conclude(RolledBack, reasonSuspect)
	case now >= d.last() && d.step == stepAll && !f.suspect() && d.shown():
		d.conclude(Completed, reasonTime)
	case now >= d.last() && now-d.claimedAt < settleMillis:
		// The labels of the targets may still be on their way.
	case now >= d.last() && t.new > 0 && len(t.old) == 0:
		d.known = true // also after the deadline
		d.conclude(Completed, reasonInForce)
	case now >= d.last() && t.new == 0:
		d.conclude(RolledBack, reasonNoTargets)
	case now >= d.last():
		d.conclude(RolledBack, reasonDeadline)
	case (f.suspect() || t.new == 0) && (d.hadOld || d.aloneSince == 0):
		// The share does not grow.
	case t.new > 0 && d.aloneSince > 0 && now-max(d.aloneSince, d.claimedAt) >= inForceMillis:
		d.conclude(Completed, reasonInForce)
	case now-d.claimedAt < d.minTrial() || !d.shown() || now-d.confirmedAt > confirmedMillis:
		// There is too little evidence, or the store does not answer.
	case d.step == stepTrial:
		d.beginGrowth(now)
	case now-d.stepAt < lengths[d.step]*clock.Millis(d.scale):
	case d.step < stepAll:
		d.setStep(now, d.step+1)
	case d.hasDrained(t):
		d.conclude(Completed, reasonDrained)
	case now >= d.end():
		// Requests of old targets have until last.
	}
}

// beginGrowth leaves the first step once only the time for the others is left.
func (d *decider) beginGrowth(now clock.Millis) {
	if d.end()-now > growth(d.deadline-d.start) {
		return
	}
	if scale := scaleOf(d.last() - now); scale >= minScale { // else the deadline ends the rollout
		d.scale = scale
		d.setStep(now, stepQuarter)
	}
}

// spent reports whether the new version has got the requests that a faulty one may get
// until the deadline, at the rate so far. Nodes report theirs after half a second on average.
// Config.Slack is left for those that are sent until all nodes know of an end.
func (d *decider) spent(now clock.Millis) bool {
	perMilli := (d.old + d.new) / max(float64(now-d.claimedAt), 1)
	unreported := d.share * perMilli * float64(evidenceMillis/2)
	return d.new+unreported >= d.config.Share*perMilli*float64(d.deadline-d.start)
}

// minTrial returns the least time in which evidence is collected.
func (d *decider) minTrial() clock.Millis {
	if d.hadGrown {
		return minAgainMillis
	}
	return minTrialMillis
}

// setStep begins a step.
func (d *decider) setStep(now clock.Millis, step int) {
	d.step, d.stepAt, d.changed = step, now, true
	d.share = d.config.Share * trialShare
	if step > stepTrial {
		d.share = shares[step]
	}
	clear(d.drained)
	d.note(reasonStep)
}

// shown reports whether the new version has given a good answer, or cannot have been
// expected to.
func (d *decider) shown() bool {
	return d.judge.good > 0 || d.config.Share*trialShare*(d.old+d.new) < minExpected
}

// hasDrained reports whether all targets of the old version are without calls.
func (d *decider) hasDrained(t targets) bool {
	for _, id := range t.old {
		if !d.drained[id] {
			return false
		}
	}
	return true
}

// conclude sets the outcome.
func (d *decider) conclude(p Phase, reason string) {
	d.outcome, d.changed = p, true
	if p == RolledBack {
		d.share = 0
	}
	d.note(reason)
}

// note adds a line for the log.
func (d *decider) note(reason string) {
	d.notes = append(d.notes, reason)
}

// add adds the evidence of a node.
func (d *decider) add(now clock.Millis, e Evidence) {
	d.old += float64(e.Old)
	d.new += float64(e.New)
	if d.step < stepAll || now-d.stepAt <= lateMillis {
		d.judge.add(now, e.Rows)
	}
	if e.Target != "" && int(e.Step) == d.step && d.step == stepAll {
		d.drained[e.Target] = e.Calls == 0
	}
}

// learnFinal adopts an outcome that another node knows.
func (d *decider) learnFinal(p Phase) {
	if d.done || d.outcome == p {
		return
	}
	d.known = true
	d.conclude(p, reasonLearned)
}
