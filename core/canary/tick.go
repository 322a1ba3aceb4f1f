package canary

import (
	"cmp"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
)

// resign makes another node decide.
func (n *Node) resign(now clock.Millis, r *rollout) {
	r.decider = nil
	r.waitFrom, r.notBefore = now, now+resignedMillis
}

// Tick handles the time. It is called several times a second while Active.
func (n *Node) Tick(now clock.Millis, s Surroundings) []Action {
	var out []Action
	paused := n.tickedAt > 0 && now-n.tickedAt > maxPauseMillis
	n.tickedAt, n.neighbours = now, s.Neighbours
	for _, name := range n.services {
		r := n.rollouts[name]
		n.updateTargets(now, r, s.Records)
		if paused && r.decider != nil && !r.decider.done {
			r.decider = nil
			r.waitFrom = now
		}
		out = append(out, n.takeOver(now, r, s.Records)...)
		out = append(out, n.tickDecider(now, r, s.Address, s.Records)...)
		out = append(out, n.sendEvidence(now, r, s)...)
		out = append(out, n.query(now, r)...)
	}
	out = append(out, n.queryUnknown(now)...)
	return append(out, n.sendForwards(now, "")...)
}

// queryUnknown asks a neighbour for the orders that this node does not know.
func (n *Node) queryUnknown(now clock.Millis) []Action {
	if len(n.unknown) == 0 || now < n.queryAt || len(n.neighbours) == 0 {
		return nil
	}
	n.queryAt = now + queryMillis
	var names []ident.ServiceName
	for name := range n.unknown {
		if n.rollouts[name] == nil {
			names = append(names, name)
		}
	}
	clear(n.unknown)
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	to := n.neighbours[n.Rand.IntN(len(n.neighbours))]
	return []Action{{Kind: Send, To: to.Node, Address: to.PeerAddress, Message: Message{Queries: names}}}
}

// updateTargets sets the targets of a service.
func (n *Node) updateTargets(now clock.Millis, r *rollout, records []member.Record) {
	r.targets.old, r.targets.new = r.targets.old[:0], 0
	for i := range records {
		m := &records[i]
		switch {
		case m.Service != r.order.Service || !m.Routable():
		case m.Software != r.order.To:
			r.targets.old = append(r.targets.old, m.Target)
		default:
			r.targets.new++
			if _, known := r.firstSeen[m.Target]; !known && len(r.firstSeen) < maxTargets {
				r.firstSeen[m.Target] = now
			}
		}
	}
}

// takeOver makes this node decide if no other one does.
func (n *Node) takeOver(now clock.Millis, r *rollout, records []member.Record) []Action {
	if r.decider != nil || now < r.notBefore || r.phase.Final() && !r.verify {
		return nil
	}
	rank := 0
	for i := range records {
		if records[i].Node < n.Self && records[i].State == member.Alive {
			rank++
		}
	}
	wait := takeoverMillis + takeoverStepMillis*clock.Millis(rank)
	if rank == 0 && !r.hasState && r.queryAt > r.waitFrom {
		wait = 0 // the order has just been written
	}
	if now-max(r.waitFrom, r.stateAt) < wait {
		return nil
	}
	r.decider = newDecider(now, n.Config, r)
	if r.phase.Final() {
		r.decider.outcome, r.decider.known = r.phase, true
	}
	r.verify = false
	if !r.hasState {
		return nil
	}
	return []Action{n.noteOf(now, r, reasonTakenOver)}
}

// tickDecider runs the decider and announces its state.
func (n *Node) tickDecider(now clock.Millis, r *rollout, address string, records []member.Record) []Action {
	d := r.decider
	if d == nil {
		return nil
	}
	d.start, d.deadline = r.startedAt, r.deadline
	out := d.tick(now, r.targets)
	out = append(out, n.notes(now, r)...)
	if d.resigned || d.handOver && n.handOver(now, r, records) {
		n.resign(now, r)
		return out
	}
	n.announce(now, r, address)
	if d.done && now-d.doneAt >= finalMillis {
		r.decider = nil
	}
	return out
}

// handOver names the next live node as the decider. It returns false without another one.
func (n *Node) handOver(now clock.Millis, r *rollout, records []member.Record) bool {
	var first, next *member.Record
	for i := range records {
		m := &records[i]
		if m.State != member.Alive || m.Node == n.Self {
			continue
		}
		if first == nil {
			first = m
		}
		if next == nil && m.Node > n.Self {
			next = m
		}
	}
	next = cmp.Or(next, first)
	if next == nil {
		return false
	}
	d := r.decider
	r.setState(now, State{
		Order: r.order, Decider: next.Node, Address: next.PeerAddress, Phase: Running,
		Epoch: r.state.Epoch + 1, Beat: 1, Step: uint8(d.step), Share: d.share, Handovers: uint8(d.handovers + 1),
	})
	r.forward = true
	return true
}

// notes returns the decisions that the decider of a rollout has made since the last call.
func (n *Node) notes(now clock.Millis, r *rollout) []Action {
	var out []Action
	for _, reason := range r.decider.notes {
		out = append(out, n.noteOf(now, r, reason))
	}
	r.decider.notes = r.decider.notes[:0]
	return out
}

// announce updates the state if this node decides and an announcement is due.
func (n *Node) announce(now clock.Millis, r *rollout, address string) {
	d := r.decider
	if d.claimedAt == 0 && !d.done && !d.inherited && d.outcome == Pending || !d.changed && now-r.stateAt < beatMillis {
		return
	}
	d.changed = false
	s := State{Order: r.order, Decider: n.Self, Address: address, Epoch: r.state.Epoch, Beat: r.state.Beat + 1, Step: uint8(d.step), Share: d.share, Phase: Running, Handovers: uint8(d.handovers)}
	if r.state.Decider != n.Self || !r.hasState {
		s.Epoch, s.Beat = r.state.Epoch+1, 1
	}
	if d.claimed && uint64(d.row.Revision) > s.Epoch {
		// Of two nodes that have both written the row, the last one decides.
		s.Epoch, s.Beat = uint64(d.row.Revision), 1
	}
	if d.done {
		s.Phase = d.outcome
	}
	if !r.phase.Final() {
		r.phase = s.Phase
	}
	r.setState(now, s)
	r.forward = true
}

// sendEvidence sends what this node has observed to the decider, at most once in
// evidenceMillis.
func (n *Node) sendEvidence(now clock.Millis, r *rollout, s Surroundings) []Action {
	if now < r.evidenceAt || r.phase != Running || !r.fresh(now) || r.state.Decider == "" {
		return nil
	}
	e := Evidence{Service: r.order.Service, To: r.order.To, Old: r.old, New: r.new, Step: r.state.Step}
	for i := range s.Records {
		m := &s.Records[i]
		if m.Node == n.Self && m.Service == r.order.Service && m.Routable() && m.Software != r.order.To && r.refuses(now) {
			e.Target, e.Calls = m.Target, uint32(max(s.Calls, 0))
		}
	}
	if e.Old == 0 && e.New == 0 && e.Target == "" && len(r.rows) == 0 {
		return nil
	}
	e.Rows = r.takeRows()
	r.forget()
	r.old, r.new = 0, 0
	r.evidenceAt = now + evidenceMillis
	if r.state.Decider == n.Self {
		if r.decider != nil {
			r.decider.add(now, e)
		}
		return nil
	}
	return []Action{{Kind: Send, To: r.state.Decider, Address: r.state.Address, Message: Message{Evidence: []Evidence{e}}}}
}

// query asks a neighbour for the state if this node does not know it.
func (n *Node) query(now clock.Millis, r *rollout) []Action {
	if r.phase.Final() || r.decider != nil || now < r.queryAt || r.fresh(now) || len(n.neighbours) == 0 {
		return nil
	}
	r.queryAt = now + queryMillis
	to := n.neighbours[n.Rand.IntN(len(n.neighbours))]
	return []Action{{Kind: Send, To: to.Node, Address: to.PeerAddress, Message: Message{Queries: []ident.ServiceName{r.order.Service}}}}
}

// sendForwards sends the states that are news to the neighbours other than the one that
// they came from.
func (n *Node) sendForwards(now clock.Millis, from ident.NodeID) []Action {
	var states []State
	for _, name := range n.services {
		if r := n.rollouts[name]; r.forward && len(n.neighbours) > 0 {
			r.forward = false
			states = append(states, r.announcement(now))
		}
	}
	if len(states) == 0 {
		return nil
	}
	out := make([]Action, 0, len(n.neighbours))
	for _, r := range n.neighbours {
		if r.Node != from {
			out = append(out, Action{Kind: Send, To: r.Node, Address: r.PeerAddress, Message: Message{States: states}})
		}
	}
	slices.SortFunc(out, func(a, b Action) int { return cmp.Compare(a.To, b.To) })
	return out
}
