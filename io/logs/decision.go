// Package logs provides the structured log of a node and its log of routing, placement
// and membership decisions.
package logs

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/result"
)

const (
	// Route is the choice of a target for an attempt.
	Route Kind = iota
	// Admit is the start, queueing or refusal of a request at a gate.
	Admit
	// Retry is the decision whether and when to make another attempt.
	Retry
	// Eject is the ejection of a target or its return.
	Eject
	// Member is a change of a node's or target's state.
	Member
	// Release is a release that was put in force or refused, or a change of the
	// source's availability.
	Release
	// Lease is a lease that was acquired or lost, or the version floor that a node
	// determined at its start.
	Lease
	// Answer is the response to a caller.
	Answer
	// Cap is a change of the node that coordinates the usage cap of a team, or of its
	// availability.
	Cap
	// Omitted reports the number of lines that were omitted from the log.
	Omitted
)

type (
	// Kind is the kind of a decision.
	Kind uint8

	// Decision is one line of the decision log. It is passed by value, and Reason is a
	// constant string, so that recording it allocates nothing.
	Decision struct {
		At      clock.Millis
		Kind    Kind
		Request ident.RequestID
		Route   ident.RouteName
		Service ident.ServiceName
		Target  ident.TargetID
		Node    ident.NodeID
		Version ident.Version
		// Team is the team of the caller's access key; empty without one.
		Team ident.TeamName
		// Source is where a release that was put in force came from.
		Source string
		// Era and Revision are the position of the last answer of the source of
		// releases.
		Era      ident.Era
		Revision ident.Revision
		Verdict  result.Verdict
		Attempt  int
		// Status is the HTTP status of an Answer.
		Status int
		// Count is the number of omitted lines, if Kind is Omitted.
		Count  int
		Reason string
		// Wait is the time in a queue and Took the time at the target. They are set
		// for a completed call.
		Wait, Took clock.Millis
		// Free and Queued are the gate's load on which a decision was based. They are
		// valid if HasLoad is set.
		HasLoad      bool
		Free, Queued int
		// LimitPerSecond is the limit of requests per second that a target stated; 0
		// without one.
		LimitPerSecond float64
	}

	// Sink records decisions. Record is safe for concurrent use.
	Sink interface {
		Record(d Decision)
	}

	// Discard is a Sink that discards all decisions.
	Discard struct{}
)

// kindNames contains the name of each kind.
var kindNames = [...]string{"Route", "Admit", "Retry", "Eject", "Member", "Release", "Lease", "Answer", "Cap", "Omitted"}

// String returns the kind's name.
func (k Kind) String() string {
	return kindNames[min(int(k), len(kindNames)-1)]
}

// Record discards d.
func (Discard) Record(Decision) {}
