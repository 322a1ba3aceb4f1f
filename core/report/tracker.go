// Package report orders the status reports of the targets beside one node. A report can
// arrive late, or after the target that sent it has been replaced.
package report

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// Stale means that the report is outdated and changes nothing.
	Stale Effect = iota
	// Started means that another target, or a restarted one, has replaced the
	// present one.
	Started
	// Renewed means that the present target is still running.
	Renewed
	// Draining means that the present target accepts no new work from now on.
	Draining
	// Left means that the present target leaves and accepts no new work.
	Left
)

type (
	// Effect is the consequence of a report.
	Effect uint8

	// Status is the part of a target's report that determines its order and effect.
	Status struct {
		Target ident.TargetID
		// StartedAt is the time at which the target started, by its own clock; 0 if
		// the report does not contain it.
		StartedAt clock.Millis
		// Sequence increases with each report between two starts of the target; 0
		// if the report does not contain it.
		Sequence uint64
		// Draining means that the target accepts no new work, and Leaving that it
		// is about to stop.
		Draining, Leaving bool
	}

	// Tracker orders the reports of the successive targets beside one node. The zero
	// value has no target.
	Tracker struct {
		// current is the combined status of the present target.
		current Status
		// known is set if there is a present target.
		known bool
	}
)

// Apply updates the present target with a report and returns the effect.
func (t *Tracker) Apply(s Status) Effect {
	switch {
	case !t.known || t.replaces(s):
		return t.start(s)
	case s.Target != t.current.Target || s.StartedAt < t.current.StartedAt && s.StartedAt > 0:
		return Stale // from a replaced target or from before a restart
	case t.current.Leaving, !s.Leaving && s.Sequence > 0 && s.Sequence <= t.current.Sequence:
		return Stale
	}
	wasDraining := t.current.Draining
	t.current.Sequence = max(t.current.Sequence, s.Sequence)
	t.current.StartedAt = max(t.current.StartedAt, s.StartedAt)
	switch {
	case s.Leaving:
		t.current.Leaving = true
		return Left
	case s.Draining || wasDraining:
		t.current.Draining = true // a draining target becomes ready again only by a restart
		return Draining
	}
	return Renewed
}

// Accepting reports whether there is a present target that accepts new work.
func (t *Tracker) Accepting() bool {
	return t.known && !t.current.Draining && !t.current.Leaving
}

// Expire removes the present target, whose reports have stopped, so that its next report
// counts as a start. A target that drains or leaves stays, because late reports of it
// must not count as a start.
func (t *Tracker) Expire() {
	if !t.current.Leaving && !t.current.Draining {
		t.known = false
	}
}

// replaces reports whether a report is from a later start than that of the present
// target. It compares the start times. If one of them is unknown, a report with another
// target id counts as a later start, unless its sender is leaving.
func (t *Tracker) replaces(s Status) bool {
	if s.StartedAt > 0 && t.current.StartedAt > 0 {
		return s.StartedAt > t.current.StartedAt
	}
	return s.Target != t.current.Target && !s.Leaving
}

// start makes the sender of a report the present target.
func (t *Tracker) start(s Status) Effect {
	t.current, t.known = s, true
	switch {
	case s.Leaving:
		return Left
	case s.Draining:
		return Draining
	}
	return Started
}
