package route

import (
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/result"
)

// TestLeavingTargetGetsNoCalls guards against calls to a target that stated that it
// leaves, also when its gate has restarted and forgotten it, and against a target that
// gets no calls after its own restart.
func TestLeavingTargetGetsNoCalls(t *testing.T) {
	is := is.New(t)
	p := newPicker(1)
	stays, leaves := record("orders", 0, 1), record("orders", 4, 1) // in one failure domain
	picks := func(now clock.Millis) int {
		n := 0
		for range 200 {
			c, ok := p.Pick(now, "orders", nil)
			is.True(ok)
			if c.Target.ID == leaves.Target {
				n++
			}
			p.Done(now, c.Target.ID, Outcome{Delay: 5, Verdict: result.Ran})
		}
		return n
	}
	p.SetView(0, viewOf(stays, leaves))
	is.True(picks(0) > 0)
	for _, ok := p.Pick(0, "orders", nil); ok && p.InFlight(leaves.Target) == 0; _, ok = p.Pick(0, "orders", nil) {
	}
	p.Done(1, leaves.Target, Outcome{Delay: 5, Verdict: result.Ran, Leaving: true})
	is.Equal(picks(2), 0)
	is.Equal(len(p.Events(nil)), 1)

	p.SetView(3000, viewOf(stays)) // the node beside it restarts and announces it again
	leaves.GateIncarnation = 2
	p.SetView(4000, viewOf(stays, leaves))
	is.Equal(picks(4000), 0)
	is.Equal(picks(30*clock.Second), 0)

	p.SetView(31*clock.Second, viewOf(stays)) // its gate takes it out of service and back
	p.SetView(40*clock.Second, viewOf(stays, leaves))
	is.True(picks(40*clock.Second) > 0)
}

// TestLeavingIsForgotten guards against a target that gets no calls for ever because both
// it and its gate restarted after it stated that it leaves.
func TestLeavingIsForgotten(t *testing.T) {
	is := is.New(t)
	p := newPicker(1)
	only := record("orders", 0, 1)
	p.SetView(0, viewOf(only))
	_, ok := p.Pick(0, "orders", nil)
	is.True(ok)
	p.Done(1, only.Target, Outcome{Verdict: result.Ran, Leaving: true})
	_, ok = p.Pick(leavingMillis-1, "orders", nil)
	is.True(!ok)
	_, ok = p.Pick(1+leavingMillis, "orders", nil)
	is.True(ok)
}
