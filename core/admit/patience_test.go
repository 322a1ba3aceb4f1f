package admit

import (
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
)

// TestPatience guards against a caller that returns after a refusal and is taken
// for a new one, and against a time that is remembered after callers have changed.
func TestPatience(t *testing.T) {
	is := is.New(t)
	var p Patience[string]
	is.Equal(p.Waited(0, "r", 800), clock.Millis(0))
	is.Equal(p.Waited(1, "r", 690), clock.Millis(0)) // a less patient caller
	is.Equal(p.Waited(2, "r", 600), clock.Millis(200))
	is.Equal(p.Waited(3, "other", 600), clock.Millis(0))
	is.Equal(p.Waited(2*patienceMillis, "r", 500), clock.Millis(300))
	is.Equal(p.Waited(4*patienceMillis, "r", 500), clock.Millis(0))
	p.Keep(func(string) bool { return false })
	is.Equal(len(p.kinds), 0)
}
