package canary

import (
	"cmp"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/route"
)

const (
	// staleMillis is the age of the last announcement from which on a node sends nothing to
	// the new version: the decider announces the state twice a second.
	staleMillis = 3 * clock.Second
	// staleGrownMillis is the same for a share above Config.Share: a version that turns out
	// to be faulty then gets too many requests while nobody decides.
	staleGrownMillis = 1200 * clock.Millis(1)
	// maxCredit bounds the requests that the new version is owed, so that it gets no burst
	// after a time in which it could not be reached.
	maxCredit = 2
	// refuseMillis is the time after an announcement that all requests go to the new version
	// from which on the gates of the old one refuse calls: other nodes may not have received
	// it yet, and would have to send the calls again.
	refuseMillis = 150 * clock.Millis(1)
	// completedMillis is the time after the end of a completed rollout in which the old
	// targets still get no requests. The platform stops them at once; a target with
	// another version after that time belongs to no rollout.
	completedMillis = 30 * clock.Second
	// coldMillis is the time after a target of the new version is first seen in which its
	// delays count half: a target that has just started is twice as slow for 3 s.
	coldMillis = 4 * clock.Second
	// maxNodeRows bounds the rows of evidence that a node holds.
	maxNodeRows = 128
	// localBad is the number of failures of the new version from which on a node may stop
	// by itself.
	localBad = 5
)

type (
	// Sample is the outcome of an attempt.
	Sample struct {
		Service ident.ServiceName
		Route   ident.RouteName
		Target  ident.TargetID
		// Version is that of the target, as chosen.
		Version route.Version
		// Arrived reports that the request reached the target, or may have.
		Arrived bool
		// Answered reports that the target answered, or that its gate saw it fail to;
		// Failed that this was a failure.
		Answered, Failed bool
		Delay            clock.Millis
	}

	// Totals counts what a node has seen of one version of a service.
	Totals struct {
		Requests, Bad uint64
	}

	// rowKey identifies a row of evidence.
	rowKey struct {
		route  ident.RouteName
		target ident.TargetID
	}

	// rollout is what a node knows of one rollout.
	rollout struct {
		order Order
		// startedAt is when the order was first seen by any node, and deadline when the
		// rollout has to be completed.
		startedAt, deadline clock.Millis
		// state is the last announcement, received at stateAt, if hasState is set.
		state    State
		stateAt  clock.Millis
		hasState bool
		// allAt is since when all requests go to the new version, if they do.
		allAt clock.Millis
		// phase never changes once it is final.
		phase Phase

		// credit is the number of requests that the new version is owed.
		credit float64
		// stopped is set once this node has seen the new version fail by itself.
		stopped bool
		// failed and answered count the answers of each version at this node, for stopped.
		failed, answered [2]float64
		totals           [2]Totals
		// old and new count the requests since the last message to the decider, and rows
		// their answers.
		old, new uint32
		rows     map[rowKey]*Row
		// firstSeen holds when each target of the new version was first seen.
		firstSeen map[ident.TargetID]clock.Millis
		// evidenceAt is the time of the next message to the decider.
		evidenceAt clock.Millis

		decider *decider
		// waitFrom is the time from which on the node waits for an announcement before it
		// takes over, and notBefore the time before which it does not.
		waitFrom, notBefore clock.Millis
		// forward requests that the state is sent to the neighbours.
		forward bool
		// verify is set if the outcome may be lost from the store.
		verify bool
		// queryAt is the time of the next query.
		queryAt clock.Millis
		// targets are those of the last tick.
		targets targets
	}
)

// newRollout returns a rollout in its first phase. credit starts at random below one
// request, so that the first requests of small nodes do not all go to the new version.
func newRollout(now clock.Millis, o Order, age clock.Millis, credit float64) *rollout {
	return &rollout{
		order: o, startedAt: now - age, deadline: now - age + o.DurationMillis, credit: credit, waitFrom: now,
		rows: make(map[rowKey]*Row), firstSeen: make(map[ident.TargetID]clock.Millis), forward: true,
	}
}

// reorder handles a later order for the same version. The rollout goes on; of the two
// deadlines, the earlier one counts.
func (r *rollout) reorder(now clock.Millis, o Order, age clock.Millis) {
	if o.Era > r.order.Era && r.phase.Final() {
		r.verify = true // the store was restored and may have lost the outcome
	}
	if o.DurationMillis != r.order.DurationMillis {
		r.deadline = min(r.deadline, now-age+o.DurationMillis)
	}
	r.order, r.forward = o, true
}

// fresh reports whether the state is recent enough to send requests to the new version.
func (r *rollout) fresh(now clock.Millis) bool {
	limit := staleMillis
	if r.state.Step > stepTrial {
		limit = staleGrownMillis
	}
	return r.hasState && now-r.stateAt <= limit
}

// merge handles an announcement of the rollout and reports whether it is news.
func (r *rollout) merge(now clock.Millis, s State) bool {
	if s.Phase.Final() {
		if r.phase.Final() {
			r.verify = r.verify && s.Epoch <= r.state.Epoch // else another node has verified it
			if s.Phase != r.phase || s.Epoch <= r.state.Epoch {
				return false
			}
		}
		r.phase = s.Phase
		r.setState(now, s)
		if r.decider != nil {
			r.decider.learnFinal(s.Phase)
		}
		return true
	}
	newer := s.Epoch > r.state.Epoch
	switch {
	case s.Epoch != r.state.Epoch:
	case s.Decider != r.state.Decider:
		newer = s.Decider < r.state.Decider // two nodes have taken over at the same time
	default:
		newer = s.Beat > r.state.Beat
	}
	if s.Phase != Running || r.phase.Final() || r.hasState && !newer {
		return false
	}
	r.phase = Running
	r.setState(now, s)
	return true
}

// setState sets the last announcement.
func (r *rollout) setState(now clock.Millis, s State) {
	if s.Share < 1 || r.state.Share < 1 {
		r.allAt = now
	}
	r.state, r.stateAt, r.hasState = s, now, true
}

// refuses reports whether the gates beside targets of the old version refuse new calls.
func (r *rollout) refuses(now clock.Millis) bool {
	return r.phase == Running && r.fresh(now) && r.state.Share >= 1 && now-r.allAt >= refuseMillis
}

// choose returns the version for the next request. hasOld and hasNew report whether
// targets of the versions are known.
func (r *rollout) choose(now clock.Millis, hasOld, hasNew bool) route.Version {
	switch {
	case r.phase == Completed && hasNew && now-r.stateAt < completedMillis:
		return route.NewVersion
	case r.phase == Completed:
		return route.AnyVersion
	case r.phase == RolledBack, r.stopped && hasOld, !hasNew:
		return route.OldVersion
	case !hasOld:
		return route.NewVersion
	case !r.fresh(now) || r.phase != Running:
		return route.OldVersion
	case r.state.Share >= 1:
		return route.NewVersion
	case r.state.Share > 0 && r.credit >= 1:
		r.credit--
		return route.NewVersion
	}
	return route.OldVersion
}

// refund returns the credit of a request that did not reach the new version.
func (r *rollout) refund() {
	if r.state.Share < 1 {
		r.credit = min(r.credit+1, maxCredit)
	}
}

// record counts the outcome of an attempt.
func (r *rollout) record(now clock.Millis, s Sample) {
	isNew := s.Version == route.NewVersion
	if !s.Arrived {
		if isNew {
			r.refund()
		}
		return
	}
	if r.fresh(now) && r.phase == Running {
		r.credit = min(r.credit+r.state.Share, maxCredit)
	}
	group := 0
	if isNew {
		group = 1
		r.new++
	} else {
		r.old++
	}
	r.totals[group].Requests++
	if !s.Answered {
		return
	}
	r.answered[group]++
	if s.Failed {
		r.failed[group]++
		r.totals[group].Bad++
	}
	key := rowKey{route: s.Route}
	if isNew {
		key.target = s.Target
	}
	row := r.rows[key]
	if row == nil {
		if len(r.rows) >= maxNodeRows {
			return
		}
		row = &Row{Route: key.route, Target: key.target}
		r.rows[key] = row
	}
	switch seen, known := r.firstSeen[s.Target]; {
	case s.Failed:
		row.Failed++
	case isNew && known && now-seen < coldMillis:
		row.Delays.add(s.Delay / 2)
	default:
		row.Delays.add(s.Delay)
	}
}

// failsHere reports whether the answers at this node alone show that the new version is
// faulty: so many failures that the old version would give with a probability below one in
// a million (Chernoff bound), whatever the targets.
func (r *rollout) failsHere() bool {
	bad, n := r.failed[1], r.answered[1]
	if bad < localBad || r.answered[0] < minBase || r.targets.new > 1 && r.badTargets() < 2 {
		return false
	}
	p0 := min(max(upperRate(r.failed[0]+1, r.answered[0]), minFailureRate), maxBaseRate)
	return chernoff(bad, n, p0) > localScore
}

// forget halves the counts for stopped, so that they show the last few seconds.
func (r *rollout) forget() {
	for i := range r.failed {
		r.failed[i], r.answered[i] = r.failed[i]/2, r.answered[i]/2
	}
}

// badTargets returns the number of targets of the new version with failures among the rows
// that were not sent yet.
func (r *rollout) badTargets() int {
	seen := make(map[ident.TargetID]bool)
	for k, row := range r.rows {
		if k.target != "" && row.Failed > 0 {
			seen[k.target] = true
		}
	}
	return len(seen)
}

// takeRows returns the evidence since the last call, in a fixed order.
func (r *rollout) takeRows() []Row {
	out := make([]Row, 0, len(r.rows))
	for _, row := range r.rows {
		out = append(out, *row)
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Target, b.Target))
	})
	clear(r.rows)
	return out
}

// announcement returns the state for other nodes.
func (r *rollout) announcement(now clock.Millis) State {
	s := r.state
	s.Order, s.AgeMillis, s.Phase = r.order, max(now-r.startedAt, 0), r.phase
	return s
}
