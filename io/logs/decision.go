// Package logs provides the structured log of a node and its log of routing and
// placement decisions.
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
	// Retry is the decision whether and when to attempt again.
	Retry
	// Eject is the exclusion or return of a target.
	Eject
	// Member is a change of a node's or target's state.
	Member
	// Release is a release that was put in force, refused or held back.
	Release
	// Lease is a lease that was taken, lost or left.
	Lease
	// Answer is what a caller got.
	Answer
	// Omitted says that lines were left out.
	Omitted
)

type (
	// Kind says what was decided.
	Kind uint8

	// Decision is one line of the decision log. It is a plain value, so that
	// recording it allocates nothing; Reason is a constant string.
	Decision struct {
		At      clock.Millis
		Kind    Kind
		Request ident.RequestID
		Route   ident.RouteName
		Service ident.ServiceName
		Target  ident.TargetID
		Node    ident.NodeID
		Version ident.Version
		Verdict result.Verdict
		Attempt int
		// Status is the HTTP status of an Answer.
		Status int
		// Count is the number of lines that an Omitted stands for.
		Count  int
		Reason string
		// Wait is the time in a queue, and Took the time at the target, of a call
		// that has ended.
		Wait, Took clock.Millis
		// Free and Queued are the gate's load that a decision was based on, if
		// HasLoad.
		HasLoad      bool
		Free, Queued int
	}

	// Sink takes decisions. Record is safe for concurrent use.
	Sink interface {
		Record(d Decision)
	}

	// Discard is a Sink that drops everything.
	Discard struct{}
)

// kindNames holds the text form of each kind.
var kindNames = [...]string{"Route", "Admit", "Retry", "Eject", "Member", "Release", "Lease", "Answer", "Omitted"}

// String returns the kind's name.
func (k Kind) String() string {
	return kindNames[min(int(k), len(kindNames)-1)]
}

// Record drops d.
func (Discard) Record(Decision) {}
