package canary

import (
	"math/rand/v2"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/route"
	"hickoryrail/core/sets"
)

const (
	// takeoverMillis is the time without an announcement from which on the first live node
	// decides, and takeoverStepMillis the additional time for each further one.
	takeoverMillis     = 1200 * clock.Millis(1)
	takeoverStepMillis = 200 * clock.Millis(1)
	// resignedMillis is how long a node that has resigned does not decide.
	resignedMillis = 5 * clock.Second
	// evidenceMillis is the time between two messages with evidence.
	evidenceMillis = 1 * clock.Second
	// queryMillis is the time between two queries of a node that does not know the state.
	queryMillis = 1 * clock.Second
)

type (
	// Node is the part of one node in all rollouts. Set the exported fields before the
	// first call. It is not safe for concurrent use.
	Node struct {
		Self   ident.NodeID
		Config Config
		// Rand is required.
		Rand *rand.Rand

		rollouts map[ident.ServiceName]*rollout
		// services holds the keys of rollouts in order.
		services []ident.ServiceName
		// unknown holds the services whose targets have labels of an order that this node
		// does not know.
		unknown    sets.Set[ident.ServiceName]
		neighbours []member.Record
		tickedAt   clock.Millis
		// queryAt is the time of the next query for unknown.
		queryAt clock.Millis
	}

	// Surroundings is what a node knows of the fleet at a tick.
	Surroundings struct {
		// Address is the node's own for other nodes.
		Address string
		// Records holds the records of all nodes in order of id, and Neighbours those of
		// the overlay neighbours.
		Records, Neighbours []member.Record
		// Calls is the number of calls at the gate beside the node.
		Calls int
	}
)

// Active reports whether ticks are needed: there is a rollout that has not ended, or whose
// outcome is still to be announced.
func (n *Node) Active() bool {
	if len(n.unknown) > 0 {
		return true
	}
	for _, r := range n.rollouts {
		if !r.phase.Final() || r.decider != nil || r.forward || r.verify {
			return true
		}
	}
	return false
}

// OrdersRead handles the orders in an answer of the store.
func (n *Node) OrdersRead(now clock.Millis, o Orders) []Action {
	present := sets.Of(o.Malformed...)
	for _, order := range o.List {
		present.Add(order.Service)
		if r := n.adopt(now, order, 0); r != nil && o.Whole {
			r.queryAt = now // the order may be old, and its state known to others
		}
	}
	for _, name := range n.services {
		r := n.rollouts[name]
		missing := o.Whole && r.order.Era == o.Era && !present.Has(name)
		if !missing && !slices.Contains(o.Withdrawn, name) || r.order.DurationMillis == 0 {
			continue
		}
		// An order that was withdrawn is one without time: the rollout is rolled back.
		later := r.order
		later.DurationMillis, later.Era, later.Revision = 0, o.Era, o.Revision
		if later.newerThan(r.order) {
			r.reorder(now, later, 0)
		}
	}
	return n.sendForwards(now, "")
}

// adopt handles an order that was first seen age ago. It returns the rollout if the order
// is new to the node.
func (n *Node) adopt(now clock.Millis, o Order, age clock.Millis) *rollout {
	r := n.rollouts[o.Service]
	switch {
	case r != nil && (r.order == o || !o.newerThan(r.order)):
		return nil
	case r != nil && r.order.To == o.To:
		r.reorder(now, o, age)
		return nil
	case r == nil && len(n.rollouts) >= maxStates:
		return nil
	}
	if n.rollouts == nil {
		n.rollouts = make(map[ident.ServiceName]*rollout)
	}
	if r == nil {
		at, _ := slices.BinarySearch(n.services, o.Service)
		n.services = slices.Insert(n.services, at, o.Service)
	}
	r = newRollout(now, o, age, n.Rand.Float64())
	r.evidenceAt = now + evidenceMillis*clock.Millis(n.Rand.Float64())
	r.queryAt = now + queryMillis
	n.rollouts[o.Service] = r
	return r
}

// Ordered reports whether an order is known.
func (n *Node) Ordered() bool {
	return len(n.rollouts) > 0
}

// Label returns the version that an order for a service names; false without an order.
func (n *Node) Label(service ident.ServiceName) (ident.SoftwareVersion, bool) {
	r := n.rollouts[service]
	if r == nil {
		return "", false
	}
	return r.order.To, true
}

// Refuses reports whether the gate beside a target of the service refuses new calls,
// because the target has the old version and all requests go to the new one.
func (n *Node) Refuses(now clock.Millis, service ident.ServiceName, software ident.SoftwareVersion) bool {
	r := n.rollouts[service]
	if r == nil || software == r.order.To {
		return false
	}
	return r.phase == Completed && now-r.stateAt < completedMillis || r.refuses(now) && r.targets.new > 0
}

// Choose returns the version for the next request to a service that has labelled targets.
func (n *Node) Choose(now clock.Millis, service ident.ServiceName, hasOld, hasNew bool) route.Version {
	r := n.rollouts[service]
	if r != nil {
		return r.choose(now, hasOld, hasNew)
	}
	if n.unknown == nil {
		n.unknown = sets.Of[ident.ServiceName]()
	}
	if len(n.unknown) < maxQueries {
		n.unknown.Add(service)
	}
	if hasOld {
		return route.OldVersion
	}
	return route.AnyVersion
}

// Refund takes back a choice of the new version for a request that was not sent to it.
func (n *Node) Refund(service ident.ServiceName) {
	if r := n.rollouts[service]; r != nil {
		r.refund()
	}
}

// Record counts the outcome of an attempt. It returns the decision of this node to stop
// sending to the new version, if it makes one.
func (n *Node) Record(now clock.Millis, s Sample) []Action {
	r := n.rollouts[s.Service]
	if r == nil || r.phase.Final() && s.Version != route.NewVersion {
		return nil
	}
	r.record(now, s)
	if r.phase != Running || r.stopped || !s.Failed || s.Version != route.NewVersion || !r.failsHere() {
		return nil
	}
	r.stopped = true
	return []Action{n.noteOf(now, r, reasonLocalStop)}
}

// Totals returns what this node has seen of the versions of each service with an order.
func (n *Node) Totals(each func(service ident.ServiceName, p Phase, old, new Totals)) {
	for _, name := range n.services {
		r := n.rollouts[name]
		each(name, r.phase, r.totals[0], r.totals[1])
	}
}

// Receive handles a message of another node.
func (n *Node) Receive(now clock.Millis, from ident.NodeID, m Message) []Action {
	var out []Action
	for _, s := range m.States {
		out = append(out, n.receiveState(now, from, s)...)
	}
	for _, e := range m.Evidence {
		if r := n.rollouts[e.Service]; r != nil && r.order.To == e.To && r.decider != nil {
			r.decider.add(now, e)
		}
	}
	var known []State
	for _, q := range m.Queries {
		if r := n.rollouts[q]; r != nil {
			known = append(known, r.announcement(now))
		}
	}
	if len(known) > 0 {
		out = append(out, Action{Kind: Send, To: from, Message: Message{States: known}})
	}
	return append(out, n.sendForwards(now, from)...)
}

// receiveState handles an announcement.
func (n *Node) receiveState(now clock.Millis, from ident.NodeID, s State) []Action {
	n.adopt(now, s.Order, s.AgeMillis)
	r := n.rollouts[s.Order.Service]
	if r == nil || r.order.To != s.Order.To {
		return nil
	}
	if started := now - s.AgeMillis; started < r.startedAt && s.Order.DurationMillis == r.order.DurationMillis {
		r.startedAt = started
		r.deadline = min(r.deadline, started+s.Order.DurationMillis)
	}
	if r.phase.Final() && s.Phase == Running {
		// Its decider does not know the outcome, for example after the store was restored.
		return []Action{{Kind: Send, To: from, Message: Message{States: []State{r.announcement(now)}}}}
	}
	if !r.merge(now, s) {
		return nil
	}
	r.forward = true
	switch {
	case s.Phase != Running:
	case r.decider != nil && s.Decider != n.Self:
		n.resign(now, r) // the other one has taken over
	case r.decider == nil && s.Decider == n.Self && s.Handovers > 0:
		r.decider = newDecider(now, n.Config, r)
		r.decider.inherit(s)
	}
	return nil
}

// StatusRead handles the answer to ReadStatus.
func (n *Node) StatusRead(now clock.Millis, service ident.ServiceName, s Status, reply Reply) []Action {
	r := n.rollouts[service]
	if r == nil || r.decider == nil {
		return nil
	}
	out := r.decider.statusRead(now, s, reply)
	return append(n.notes(now, r), out...)
}

// StatusWritten handles the answer to WriteStatus. After Conflict and Unknown, the row is
// read again.
func (n *Node) StatusWritten(now clock.Millis, service ident.ServiceName, reply Reply) []Action {
	r := n.rollouts[service]
	if r == nil || r.decider == nil {
		return nil
	}
	out := r.decider.statusWritten(now, reply)
	return append(n.notes(now, r), out...)
}

// noteOf returns a decision for the log.
func (n *Node) noteOf(now clock.Millis, r *rollout, reason string) Action {
	d := Decision{Service: r.order.Service, To: r.order.To, Phase: r.phase, Share: r.state.Share, Reason: reason, LeftMillis: r.deadline - now}
	if r.decider != nil {
		d.Finding = r.decider.judge.worst(now)
		d.Share, d.Old, d.New = r.decider.share, r.decider.old, r.decider.new
		if r.decider.outcome != Pending {
			d.Phase = r.decider.outcome
		}
	}
	return Action{Kind: Note, Service: r.order.Service, Note: d}
}

// Decider returns the node that decides on the rollout of a service, as far as this node
// knows; empty if it knows none.
func (n *Node) Decider(service ident.ServiceName) ident.NodeID {
	if r := n.rollouts[service]; r != nil && r.hasState {
		return r.state.Decider
	}
	return ""
}
