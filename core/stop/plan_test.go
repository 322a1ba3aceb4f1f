package stop

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/clock"
)

// TestPlanEndsBeforeKill guards against a process that is killed while it still accepts
// requests, or before it has answered those that it accepted.
func TestPlanEndsBeforeKill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		millis := func(name string) clock.Millis { return clock.Millis(rapid.Float64Range(1, 600_000).Draw(t, name)) }
		killAfter := millis("kill after")
		p := NewPlan(millis("lame duck"), millis("grace"), killAfter)
		switch {
		case p.FinishMillis >= killAfter:
			t.Fatal("the plan ends after the process is killed")
		case p.LameDuckMillis > p.FinishMillis:
			t.Fatal("the node accepts requests after the end of the plan")
		case p.LameDuckMillis > killAfter/2:
			t.Fatal("requests have less than half of the time to finish")
		}
	})
}

// TestPlanUsesTheTime guards against a stop that ends requests long before the process is
// killed, and against one whose settings are ignored.
func TestPlanUsesTheTime(t *testing.T) {
	is := is.New(t)
	long := NewPlan(2500, 600_000, 10_000)
	is.Equal(long.LameDuckMillis, clock.Millis(2500))
	is.True(long.FinishMillis > 9000) // of 10 s
	is.Equal(NewPlan(2500, 5500, 0), Plan{LameDuckMillis: 2500, FinishMillis: 5500})
	is.Equal(NewPlan(2500, 1000, 0), Plan{LameDuckMillis: 1000, FinishMillis: 1000})
}

// TestRequestsThatDoNotFit guards against the acceptance of a request that would be cut
// off at the end of the stop.
func TestRequestsThatDoNotFit(t *testing.T) {
	is := is.New(t)
	p := NewPlan(2500, 5500, 0)
	is.True(p.Fits(1000, 1000, 5500))
	is.True(!p.Fits(1000, 1000, 5501))
	is.True(p.Fits(3500, 1000, 3000))
	is.True(!p.Fits(3500, 1000, 3001))
}
