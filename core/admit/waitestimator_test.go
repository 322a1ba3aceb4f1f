package admit

import (
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
)

// TestWaitEstimator guards against counting a retry after a refusal as a first try, and
// against using the timeout of earlier callers after shorter ones have become the norm.
func TestWaitEstimator(t *testing.T) {
	is := is.New(t)
	var e WaitEstimator[string]
	is.Equal(e.Observe(0, "r", 800), clock.Millis(0))
	is.Equal(e.Observe(1, "r", 690), clock.Millis(0)) // a first try with a shorter timeout
	is.Equal(e.Observe(2, "r", 600), clock.Millis(200))
	is.Equal(e.Observe(3, "other", 600), clock.Millis(0))
	is.Equal(e.Observe(2*windowMillis, "r", 500), clock.Millis(300))
	is.Equal(e.Observe(4*windowMillis, "r", 500), clock.Millis(0))
	e.Keep(func(string) bool { return false })
	is.Equal(len(e.byKind), 0)
}
