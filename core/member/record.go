// Package member provides the membership of the overlay: which nodes exist, which
// of them are alive, and the state of the target beside each.
package member

import "hickoryrail/core/ident"

const (
	// NoTarget means that no target has announced itself at the node.
	NoTarget TargetState = iota
	// Starting means that the target has announced itself and is not ready yet.
	Starting
	// Ready means that the target accepts requests.
	Ready
	// Draining means that the target finishes its requests and accepts no new ones.
	Draining
	// TargetLeft means that the target has left, or stopped renewing its
	// announcement.
	TargetLeft
)

const (
	// Alive means that the node answers probes.
	Alive State = iota
	// Suspect means that the node did not answer a probe and has not refuted it.
	Suspect
	// Dead means that the node did not refute a suspicion in time.
	Dead
	// Left means that the node announced that it stops.
	Left
)

type (
	// TargetState is the state of the target beside a node.
	TargetState uint8

	// State is the state of a node.
	State uint8

	// Record is the replicated membership entry of one node. Only the node itself
	// changes its fields other than State.
	Record struct {
		_    struct{} `cbor:",toarray"`
		Node ident.NodeID
		// Incarnation increases with each restart and each refuted suspicion.
		Incarnation ident.Incarnation
		State       State
		// PeerAddress is the host:port of the node's QUIC listener.
		PeerAddress   string
		FailureDomain ident.FailureDomain
		Region        ident.Region
		Service       ident.ServiceName
		Target        ident.TargetID
		TargetState   TargetState
		// Revision counts the node's own updates under one incarnation.
		Revision uint64
		// GateIncarnation is the incarnation of the node's admission gate; requests
		// addressed to another one are refused with the verdict NotRun.
		GateIncarnation ident.Incarnation
		// Held is the highest known release version that the node has put in
		// force. It is a maximum over all incarnations of the node and does not
		// affect which record is newer. Neighbours receive it with each probe,
		// other nodes only together with another change, because a release changes
		// it on every node at once.
		Held ident.Version
		// Software is the version of the target's software. It is set only while an order
		// to roll that version out exists. It is not part of the record's encoding, which
		// builds without this field read too; io/wire adds it to messages that need it.
		Software ident.SoftwareVersion `cbor:"-"`
	}
)

var (
	// targetStateNames holds the name of each target state.
	targetStateNames = [...]string{"None", "Starting", "Ready", "Draining", "Left"}
	// stateNames holds the name of each node state.
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

// Newer reports whether r supersedes other, a record of the same node. It compares
// the incarnation, then the revision, then the state, of which a later one in the
// order Alive, Suspect, Dead, Left wins.
func (r Record) Newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if r.Revision != other.Revision {
		return r.Revision > other.Revision
	}
	return r.State > other.State
}

// Routable reports whether new requests may be sent to the node's target. A
// suspected node stays routable; callers rely on the results of their own requests.
func (r Record) Routable() bool {
	return r.TargetState == Ready && (r.State == Alive || r.State == Suspect)
}

// live reports whether the node is Alive or Suspect; such nodes form the overlay.
func (r Record) live() bool {
	return r.State == Alive || r.State == Suspect
}

// sameRevision reports whether r and other have the same incarnation and revision;
// then they differ at most in State and Held.
func (r Record) sameRevision(other Record) bool {
	return r.Incarnation == other.Incarnation && r.Revision == other.Revision
}

// routingFields returns the record with only the fields that affect routing, or the
// zero value if the record is not routable.
func (r Record) routingFields() Record {
	if !r.Routable() {
		return Record{}
	}
	r.Incarnation, r.State, r.Revision, r.Held = 0, Alive, 0, 0
	return r
}
