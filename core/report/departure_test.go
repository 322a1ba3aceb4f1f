package report

import (
	"testing"

	"github.com/matryer/is"
)

// TestRestoredDeparture guards against a late report that starts a target which had left
// before a restart of the node, and against a successor that is taken for it.
func TestRestoredDeparture(t *testing.T) {
	is := is.New(t)
	var before, after Tracker
	before.Apply(Status{Target: "a", StartedAt: 10, Sequence: 1})
	is.Equal(before.Departure(), Departure{}) // it accepts work
	before.Apply(Status{Target: "a", StartedAt: 10, Leaving: true})
	is.Equal(before.Departure(), Departure{Target: "a", StartedAt: 10})

	is.Equal(after.Restore(before.Departure()), Draining)
	is.True(!after.Accepting())
	is.Equal(after.Apply(Status{Target: "a", StartedAt: 10, Sequence: 1}), Draining)
	is.Equal(after.Apply(Status{Target: "a", StartedAt: 9, Sequence: 9}), Stale)
	is.Equal(after.Apply(Status{Target: "a"}), Draining) // a health check tells no start time
	is.Equal(after.Apply(Status{Target: "a", StartedAt: 11, Sequence: 1}), Started)
	is.True(after.Accepting())
	is.Equal(after.Restore(before.Departure()), Stale) // of an earlier start

	after = Tracker{}
	after.Restore(before.Departure())
	is.Equal(after.Apply(Status{Target: "b"}), Started)
	is.Equal(after.Restore(before.Departure()), Stale) // of another target
}

// TestDepartureAfterReport guards against a target that stays in service because a health
// check or a late report was handled before its departure was read.
func TestDepartureAfterReport(t *testing.T) {
	is := is.New(t)
	for _, s := range []Status{{Target: "a"}, {Target: "a", StartedAt: 10, Sequence: 4}} {
		var tracker Tracker
		is.Equal(tracker.Apply(s), Started)
		is.Equal(tracker.Restore(Departure{Target: "a", StartedAt: 10}), Draining)
		is.Equal(tracker.Apply(Status{Target: "a", StartedAt: 10, Sequence: 5}), Draining)
		is.Equal(tracker.Apply(Status{Target: "a", StartedAt: 11, Sequence: 1}), Started)
	}
}

// TestDepartureWithoutStart guards against a departure without a start time, which would
// keep every later start of the target out of service.
func TestDepartureWithoutStart(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	tracker.Apply(Status{Target: "a", Leaving: true})
	is.Equal(tracker.Departure(), Departure{})
	is.Equal(tracker.Restore(Departure{Target: "a"}), Stale)
}
