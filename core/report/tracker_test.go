package report

import (
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// TestLateReports guards against a late report that makes a draining or stopped target
// ready again, or that replaces its successor.
func TestLateReports(t *testing.T) {
	is := is.New(t)
	at := func(id ident.TargetID, startedAt clock.Millis, sequence uint64) Status {
		return Status{Target: id, StartedAt: startedAt, Sequence: sequence}
	}
	var tracker Tracker
	is.Equal(tracker.Apply(at("a", 10, 1)), Started)
	is.Equal(tracker.Apply(at("a", 10, 3)), Renewed)
	is.Equal(tracker.Apply(at("a", 10, 2)), Stale)
	drain := at("a", 10, 4)
	drain.Draining = true
	is.Equal(tracker.Apply(drain), Draining)
	is.Equal(tracker.Apply(at("a", 10, 5)), Draining)
	leave := Status{Target: "a", StartedAt: 10, Leaving: true}
	is.Equal(tracker.Apply(leave), Left)
	is.Equal(tracker.Apply(leave), Stale)
	is.Equal(tracker.Apply(at("a", 10, 6)), Stale)
	is.Equal(tracker.Apply(at("b", 20, 1)), Started)
	is.Equal(tracker.Apply(at("a", 10, 7)), Stale)
	is.Equal(tracker.Apply(leave), Stale)
}

// TestSameNameAgain guards against treating the reports of a restarted target as late
// because its sequence starts again at 1.
func TestSameNameAgain(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	is.Equal(tracker.Apply(Status{Target: "a", StartedAt: 10, Sequence: 40}), Started)
	is.Equal(tracker.Apply(Status{Target: "a", StartedAt: 30, Sequence: 1}), Started)
	is.Equal(tracker.Apply(Status{Target: "a", StartedAt: 10, Sequence: 41}), Stale)
	is.Equal(tracker.Apply(Status{Target: "a", StartedAt: 10, Leaving: true}), Stale)
	is.Equal(tracker.Apply(Status{Target: "a", StartedAt: 30, Sequence: 2}), Renewed)
}

// TestExpire guards against a target that stays removed although it reports again after
// an interruption, and against a late report that starts a stopped target again.
func TestExpire(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	is.Equal(tracker.Apply(Status{Target: "a", StartedAt: 10, Sequence: 5}), Started)
	tracker.Expire()
	is.Equal(tracker.Apply(Status{Target: "a", StartedAt: 10, Sequence: 6}), Started)
	is.Equal(tracker.Apply(Status{Target: "a", StartedAt: 10, Leaving: true}), Left)
	tracker.Expire()
	is.Equal(tracker.Apply(Status{Target: "a", StartedAt: 10, Sequence: 7}), Stale)
}
