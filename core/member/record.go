// Package member provides the membership of the overlay: which nodes exist, which
// of them are alive, and the state of the target beside each.
package member

import "hickoryrail/core/ident"

const (
	// NoTarget means that no target has announced itself at the node.
	NoTarget TargetState = iota
	// Starting means that the target has announced itself and is not ready.
	Starting
	// Ready means that the target takes requests.
	Ready
	// Draining means that the target finishes its requests and takes no new ones.
	Draining
	// TargetLeft means that the target has gone.
	TargetLeft
)

const (
	// Alive means that the node answers.
	Alive State = iota
	// Suspect means that the node did not answer a probe and has not refuted it.
	Suspect
	// Dead means that a suspicion was not refuted in time.
	Dead
	// Left means that the node has stopped by its own decision.
	Left
)

type (
	// TargetState is the state of the target beside a node.
	TargetState uint8

	// State is the state of a node.
	State uint8

	// Record is what the fleet knows of one node. Only the node itself changes
	// its fields other than State.
	Record struct {
		_    struct{} `cbor:",toarray"`
		Node ident.NodeID
		// Incarnation grows with each restart and each refuted suspicion.
		Incarnation ident.Incarnation
		State       State
		// PeerAddress is host:port of the node's QUIC listener.
		PeerAddress   string
		FailureDomain ident.FailureDomain
		Region        ident.Region
		Service       ident.ServiceName
		Target        ident.TargetID
		TargetState   TargetState
		// Change counts the node's own updates under one incarnation.
		Change uint64
		// GateIncarnation names the life of the node's admission gate; requests
		// addressed to another one are refused as not run.
		GateIncarnation ident.Incarnation
		// Held is the highest release version that the node has put in force, as
		// far as it is known. It is a maximum over all lives of the node and no
		// part of the record's order: neighbours learn it with each probe, others
		// only along with another change, because a release changes it on every
		// node at once.
		Held ident.Version
	}
)

var (
	// targetStateNames holds the text form of each target state.
	targetStateNames = [...]string{"None", "Starting", "Ready", "Draining", "Left"}
	// stateNames holds the text form of each node state.
	stateNames = [...]string{"Alive", "Suspect", "Dead", "Left"}
)

// String returns the state's name.
func (s TargetState) String() string {
	return targetStateNames[min(int(s), len(targetStateNames)-1)]
}

// String returns the state's name.
func (s State) String() string {
	return stateNames[min(int(s), len(stateNames)-1)]
}

// Newer reports whether r supersedes other, a record of the same node: by
// incarnation, then by the node's own change count, then by the graver state.
func (r Record) Newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if r.Change != other.Change {
		return r.Change > other.Change
	}
	return r.State > other.State
}

// Routable reports whether new requests may be sent to the node's target. A
// suspected node stays routable: callers' own evidence decides.
func (r Record) Routable() bool {
	return r.TargetState == Ready && (r.State == Alive || r.State == Suspect)
}

// live reports whether the node counts as a member of the overlay.
func (r Record) live() bool {
	return r.State == Alive || r.State == Suspect
}

// sameLife reports whether r and other differ at most in State and Held.
func (r Record) sameLife(other Record) bool {
	return r.Incarnation == other.Incarnation && r.Change == other.Change
}

// routableFacts returns what callers depend on; the zero value if the node's
// target takes no requests.
func (r Record) routableFacts() Record {
	if !r.Routable() {
		return Record{}
	}
	r.Incarnation, r.State, r.Change, r.Held = 0, Alive, 0, 0
	return r
}
