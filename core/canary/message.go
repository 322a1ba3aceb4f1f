// Package canary moves the requests of a service to a new version of its targets step by
// step: it bounds the share of the new version, compares its answers with those of the old
// one, and completes the rollout or rolls it back.
package canary

import (
	"math"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// Pending means that the order is known and its state in the store is not.
	Pending Phase = iota
	// Running means that the rollout has begun.
	Running
	// Completed means that all requests go to the new version.
	Completed
	// RolledBack means that no request goes to the new version.
	RolledBack
)

const (
	// maxNameBytes bounds each name in a message, and maxStates, maxRows and maxQueries
	// the lengths of its lists.
	maxNameBytes = 256
	maxStates    = 32
	maxRows      = 256
	maxQueries   = 32
	// maxCount bounds each counter of a message: a node makes far fewer requests in the
	// time between two messages.
	maxCount = 1 << 24
	// MaxDurationMillis bounds the duration of a rollout.
	MaxDurationMillis = 30 * 24 * 60 * clock.Minute
)

type (
	// Config holds the settings of rollouts; the zero value turns them off.
	Config struct {
		// Share and Slack bound the requests that reach a faulty version during a rollout:
		// Share of all requests to the service plus Slack.
		Share, Slack float64
		// RollbackMillis is the time after the 50th bad answer of a faulty version from
		// which on it must get no request.
		RollbackMillis clock.Millis
	}

	// Phase is the phase of a rollout.
	Phase uint8

	// Order is the operators' order to move a service to the targets of a version.
	Order struct {
		_              struct{} `cbor:",toarray"`
		Service        ident.ServiceName
		To             ident.SoftwareVersion
		DurationMillis clock.Millis
		// Era and Revision are those of the order's row. They tell which of two orders is
		// the later one.
		Era      ident.Era
		Revision ident.Revision
	}

	// Orders are the orders in an answer of the store.
	Orders struct {
		List []Order
		// Withdrawn names the services whose orders were removed, and Malformed those whose
		// orders cannot be read; an earlier order for them stays.
		Withdrawn, Malformed []ident.ServiceName
		// Whole reports that these are all orders, and not the changes since an earlier
		// answer.
		Whole bool
		// Era and Revision are the position of the answer.
		Era      ident.Era
		Revision ident.Revision
	}

	// Status is the row in the store that tells the platform the state of a rollout.
	// Its phase is Pending if there is no row.
	Status struct {
		Phase Phase
		To    ident.SoftwareVersion
		// Revision is the row's; 0 if there is no row.
		Revision ident.Revision
	}

	// State is the state of a rollout as its decider announces it.
	State struct {
		_     struct{} `cbor:",toarray"`
		Order Order
		// AgeMillis is the time since the order was first seen by any node.
		AgeMillis clock.Millis
		Phase     Phase
		// Decider is the node that announced the state; empty for a node that only passes
		// on an order.
		Decider ident.NodeID
		Address string
		// Epoch increases with each change of the decider, and Beat with each announcement
		// of one decider.
		Epoch, Beat uint64
		// Step counts the steps of the rollout, and Share is the part of the requests that
		// the new version gets.
		Step  uint8
		Share float64
		// Handovers counts the deciders in succession that the store did not answer and
		// that therefore named the next one.
		Handovers uint8
	}

	// Row counts the answers to the requests of one route.
	Row struct {
		_     struct{} `cbor:",toarray"`
		Route ident.RouteName
		// Target is the target of the new version that answered; empty for the old
		// version, whose targets are not told apart.
		Target ident.TargetID
		// Failed counts the failures, and Delays the other answers by their delay.
		Failed uint32
		Delays Histogram
	}

	// Evidence is what a node has observed since its previous message.
	Evidence struct {
		_       struct{} `cbor:",toarray"`
		Service ident.ServiceName
		To      ident.SoftwareVersion
		// Old and New count the requests that reached the targets of each version.
		Old, New uint32
		// Target is the target of the old version beside the node; empty if there is none.
		// Calls is the number of calls at its gate, which has refused new ones since Step.
		Target ident.TargetID
		Calls  uint32
		Step   uint8
		Rows   []Row
	}

	// Message is a control message about rollouts between nodes.
	Message struct {
		_ struct{} `cbor:",toarray"`
		// States are announcements, which nodes pass on to their neighbours.
		States []State
		// Evidence is sent to the decider only.
		Evidence []Evidence
		// Queries asks the receiver for the states of services.
		Queries []ident.ServiceName
	}
)

// phaseNames holds the name of each phase.
var phaseNames = [...]string{"pending", "running", "completed", "rolled_back"}

// Enabled reports whether rollouts are handled.
func (c Config) Enabled() bool {
	return c.Share > 0
}

// String returns the phase's name.
func (p Phase) String() string {
	return phaseNames[min(int(p), len(phaseNames)-1)]
}

// Final reports whether a rollout in this phase has ended.
func (p Phase) Final() bool {
	return p >= Completed
}

// Valid reports whether the fields of an order are in range. A duration of 0 is valid: the
// rollout cannot be completed and is rolled back.
func (o Order) Valid() bool {
	return isName(string(o.Service)) && isName(string(o.To)) && inRange(float64(o.DurationMillis), float64(MaxDurationMillis))
}

// newerThan reports whether o was written after other.
func (o Order) newerThan(other Order) bool {
	if o.Era != other.Era {
		return o.Era > other.Era
	}
	return o.Revision > other.Revision
}

// Valid reports whether all sizes and numbers of a message are in range.
func (m Message) Valid() bool {
	if len(m.States) > maxStates || len(m.Evidence) > maxStates || len(m.Queries) > maxQueries {
		return false
	}
	for _, s := range m.States {
		if !s.valid() {
			return false
		}
	}
	for _, e := range m.Evidence {
		if !e.valid() {
			return false
		}
	}
	for _, q := range m.Queries {
		if !isName(string(q)) {
			return false
		}
	}
	return true
}

// valid reports whether the fields of a state are in range.
func (s State) valid() bool {
	return s.Order.Valid() && s.Phase <= RolledBack && len(s.Decider) <= maxNameBytes && len(s.Address) <= maxNameBytes &&
		inRange(float64(s.AgeMillis), float64(10*MaxDurationMillis)) && inRange(s.Share, 1) &&
		s.Epoch < math.MaxInt64 && s.Beat < math.MaxInt64
}

// valid reports whether the fields of evidence are in range.
func (e Evidence) valid() bool {
	if !isName(string(e.Service)) || !isName(string(e.To)) || len(e.Rows) > maxRows || len(e.Target) > maxNameBytes ||
		max(e.Old, e.New, e.Calls) > maxCount {
		return false
	}
	for _, r := range e.Rows {
		if len(r.Route) > maxNameBytes || len(r.Target) > maxNameBytes || r.Failed > maxCount || !r.Delays.valid() {
			return false
		}
	}
	return true
}

// isName reports whether a required name has a valid length.
func isName(s string) bool {
	return s != "" && len(s) <= maxNameBytes
}

// inRange reports whether v is a number from 0 to limit.
func inRange(v, limit float64) bool {
	return v >= 0 && v <= limit
}
