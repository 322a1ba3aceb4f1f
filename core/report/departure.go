package report

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// Departure identifies the start of a target that has stated that it drains or leaves. It
// is kept outside the node, so that a restarted node can tell a late report of that target
// from a report of its successor. The zero value identifies none.
type Departure struct {
	// Target is empty if there is no departure.
	Target ident.TargetID
	// StartedAt is the time at which the target started, by its own clock. It is above 0 if
	// Target is set: without it, a restart of the target under the same id would count as
	// departed as well.
	StartedAt clock.Millis
}

// Known reports whether d identifies a target.
func (d Departure) Known() bool {
	return d.Target != "" && d.StartedAt > 0
}

// Departure returns the departure of the present target. It is the zero value if the target
// accepts work or its start time is unknown.
func (t *Tracker) Departure() Departure {
	departed := t.current.Draining || t.current.Leaving
	if !t.known || !departed || t.current.StartedAt <= 0 {
		return Departure{}
	}
	return Departure{Target: t.current.Target, StartedAt: t.current.StartedAt}
}

// Restore records a departure from before a restart of the node and returns its effect.
// It is Stale if the present target is another one, or a later start of the same one.
func (t *Tracker) Restore(d Departure) Effect {
	s := Status{Target: d.Target, StartedAt: d.StartedAt, Draining: true}
	switch {
	case !d.Known():
		return Stale
	case !t.known:
		return t.start(s)
	case d.Target != t.current.Target || d.StartedAt < t.current.StartedAt:
		return Stale
	}
	return t.Apply(s)
}
