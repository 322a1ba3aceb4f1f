package canary

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// Send sends Message to the node To.
	Send Kind = iota
	// ReadStatus reads the status row of Service. The caller then calls StatusRead.
	ReadStatus
	// WriteStatus writes Status as the row of Service on condition that the row has the
	// revision Status.Revision. The caller then calls StatusWritten.
	WriteStatus
	// Note tells what a node has decided, for its log.
	Note
)

const (
	// Failed means that a call to the store has certainly had no effect.
	Failed Reply = iota
	// OK means that a call succeeded.
	OK
	// Conflict means that the condition of a write did not hold.
	Conflict
	// Unknown means that a write may have been done, or may still be.
	Unknown
)

// Reasons of decisions.
const (
	reasonStarted   = "rollout starts"
	reasonTakenOver = "rollout is taken over from another node"
	reasonStep      = "share of the new version grows"
	reasonFaulty    = "new version is faulty"
	reasonSuspect   = "new version may be faulty and has used up its requests"
	reasonLocalStop = "this node stops sending to the new version, which fails here"
	reasonDrained   = "old version has no requests left"
	reasonInForce   = "all targets run the version"
	reasonTime      = "deadline is near and the answers of the new version are good"
	reasonNoTargets = "version has no targets before the deadline"
	reasonDeadline  = "deadline is near before the new version has shown to be good"
	reasonReplaced  = "order is replaced"
	reasonLearned   = "outcome is known from another node"
	reasonEnded     = "rollout ended"
	reasonResigned  = "store does not answer this node; another one decides"
	reasonLost      = "another node has taken over"
)

type (
	// Kind is the kind of an action.
	Kind uint8

	// Reply is the outcome of a call to the store.
	Reply uint8

	// Action is something that the caller has to do.
	Action struct {
		Kind Kind
		// To and Address are the receiver of Message; Address is empty if it is unknown,
		// and then only an open connection can carry it.
		To      ident.NodeID
		Address string
		Message Message
		Service ident.ServiceName
		Status  Status
		Note    Decision
	}

	// Decision is a decision on a rollout and its evidence.
	Decision struct {
		Service ident.ServiceName
		To      ident.SoftwareVersion
		Phase   Phase
		Share   float64
		// Reason is a constant phrase.
		Reason string
		// Finding is the result of the test that shows most for a fault.
		Finding finding
		// Old and New are the requests that have reached the targets of each version.
		Old, New float64
		// LeftMillis is the time to the deadline.
		LeftMillis clock.Millis
	}
)
