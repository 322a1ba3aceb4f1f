// Package stop decides how long each part of a planned stop takes.
package stop

import (
	"errors"

	"hickoryrail/core/clock"
)

const (
	// lameDuckShare bounds the lame-duck period as a share of the time until the process
	// is killed. The requests that arrive in it need the rest to finish.
	lameDuckShare = 5.0 / 12
	// exitShare is the share of that time that is left for answering what is unfinished
	// and for the exit of the process.
	exitShare = 1.0 / 12
)

// ErrStopped is the cause that ends the requests which are in flight when a node stops.
var ErrStopped = errors.New("node has stopped")

// Plan is the timetable of a planned stop. Both times count from the request to stop.
type Plan struct {
	// LameDuckMillis is how long the node serves on while it reports that it is not ready.
	LameDuckMillis clock.Millis
	// FinishMillis is when the requests that are still in flight are answered with what is
	// known about them.
	FinishMillis clock.Millis
}

// NewPlan returns the plan of a stop with at most lameDuck of lame-duck period and at
// most grace until its end, in a process that is killed after killAfter; 0 if nothing
// kills it. A process that is killed before its plan ends cuts its requests off.
func NewPlan(lameDuck, grace, killAfter clock.Millis) Plan {
	if killAfter > 0 {
		grace = min(grace, killAfter*(1-exitShare))
		lameDuck = min(lameDuck, killAfter*lameDuckShare)
	}
	return Plan{LameDuckMillis: min(lameDuck, grace), FinishMillis: grace}
}

// Fits reports whether a request that arrives at now and is expected to take the given
// time ends before the plan of a stop that was requested at stopAt does.
func (p Plan) Fits(now, stopAt, expected clock.Millis) bool {
	return now+expected <= stopAt+p.FinishMillis
}
