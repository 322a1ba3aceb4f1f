package admit

import "hickoryrail/core/ident"

const (
	// Start asks the owner to run the call now.
	Start Kind = iota
	// Refuse asks the owner to reject the call, which has not run and will not run.
	Refuse
	// Drained reports that a drain is complete: no call runs or waits.
	Drained
)

const (
	// ReasonFree is a start without waiting.
	ReasonFree = "free slot"
	// ReasonQueued is a start from the queue.
	ReasonQueued = "next in queue"
	// ReasonInner is a start of a call of a running request ahead of more urgent new
	// requests, because the share of such calls is due.
	ReasonInner = "share of calls of running requests"
	// ReasonAged is a start ahead of a higher-priority class, by the ageing bound.
	ReasonAged = "class reached its ageing bound"
	// ReasonShare is the start of an action because the share of actions is due.
	ReasonShare = "share of actions is owed"
	// ReasonDraining is a refusal during a drain.
	ReasonDraining = "target is draining"
	// ReasonFull is a refusal by a full queue.
	ReasonFull = "queue is full"
	// ReasonDisplaced is a refusal by a full queue in favour of a call of a
	// higher-priority class.
	ReasonDisplaced = "displaced by a class that goes first"
	// ReasonWait is a refusal of a call that would wait beyond its deadline.
	ReasonWait = "expected wait exceeds the deadline"
	// ReasonExpired is a refusal of a call whose deadline has passed.
	ReasonExpired = "deadline passed before the start"
	// ReasonNoFreeSlot is a refusal of a call that fails fast.
	ReasonNoFreeSlot = "no free slot soon, and the call looks for one"
	// ReasonLimit is a refusal of a call that the target's limit of requests per second
	// would delay for too long.
	ReasonLimit = "target's limit of requests leaves no room in time"
	// ReasonCancelled is a refusal of a waiting call that its caller cancelled.
	ReasonCancelled = "cancelled while waiting"
)

type (
	// Kind is the kind of an action.
	Kind uint8

	// Action is an instruction or a notification for the owner of a gate.
	Action struct {
		Kind Kind
		// ID is the call to start or refuse; empty for Drained.
		ID ident.RequestID
		// Reason is one of the Reason constants; empty for Drained.
		Reason string
	}
)

// refuse returns the action that refuses a call.
func refuse(id ident.RequestID, reason string) Action {
	return Action{Kind: Refuse, ID: id, Reason: reason}
}
