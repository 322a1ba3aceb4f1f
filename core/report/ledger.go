// Package report orders what targets say of themselves. Statements can arrive late,
// and after the target that made them has been replaced.
package report

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// Stale means that the statement says nothing new.
	Stale News = iota
	// Started means that another target, or another life of the same one, has
	// taken the place.
	Started
	// Renewed means that the present target still exists.
	Renewed
	// Drained means that the present target takes no new work from now on.
	Drained
	// Gone means that the present target leaves; it takes no new work either.
	Gone
)

type (
	// News says what follows from a statement.
	News uint8

	// Statement is what a target says of itself at one moment.
	Statement struct {
		Target ident.TargetID
		// Born is the target's own time of its start; 0 if it is not told.
		Born clock.Millis
		// Sequence grows with each statement of one life; 0 if it is not told.
		Sequence uint64
		// Draining says that the target wants no new work, and Leaving that it
		// is about to end.
		Draining, Leaving bool
	}

	// Ledger orders the statements of the targets at one place. The zero value
	// knows no target.
	Ledger struct {
		current Statement
		// known is set by the first statement.
		known bool
	}
)

// Take returns what follows from a statement.
func (l *Ledger) Take(s Statement) News {
	switch {
	case !l.known || l.replaces(s):
		return l.start(s)
	case s.Target != l.current.Target || s.Born < l.current.Born && s.Born > 0:
		return Stale // of an earlier target or life
	case l.current.Leaving, !s.Leaving && s.Sequence > 0 && s.Sequence <= l.current.Sequence:
		return Stale
	}
	wasDraining := l.current.Draining
	l.current.Sequence = max(l.current.Sequence, s.Sequence)
	l.current.Born = max(l.current.Born, s.Born)
	switch {
	case s.Leaving:
		l.current.Leaving = true
		return Gone
	case s.Draining || wasDraining:
		l.current.Draining = true // a life that drains does not come back
		return Drained
	}
	return Renewed
}

// Known reports whether there was a statement.
func (l *Ledger) Known() bool {
	return l.known
}

// Lapse forgets the present target, which has not been heard of for long. Its next
// statement counts as a start.
func (l *Ledger) Lapse() {
	if !l.current.Leaving && !l.current.Draining {
		l.known = false
	}
}

// replaces reports whether a statement is of a later life than the present one. The
// time of birth decides; without it, another name does, unless it says goodbye.
func (l *Ledger) replaces(s Statement) bool {
	if s.Born > 0 && l.current.Born > 0 {
		return s.Born > l.current.Born
	}
	return s.Target != l.current.Target && !s.Leaving
}

// start takes the first statement of a life.
func (l *Ledger) start(s Statement) News {
	l.current, l.known = s, true
	switch {
	case s.Leaving:
		return Gone
	case s.Draining:
		return Drained
	}
	return Started
}
