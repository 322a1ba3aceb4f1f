package proxy

import (
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
)

// TestRejectionLogIsBounded guards against a team beyond its cap whose rejections fill the
// log, and against lines that are left out without being counted.
func TestRejectionLogIsBounded(t *testing.T) {
	is := is.New(t)
	var l rejectionLog
	written, reported := 0, 0
	const perSecond, seconds = 900, 5
	for i := range perSecond * seconds {
		omitted, ok := l.allow(clock.Millis(i) * clock.Second / perSecond)
		reported += omitted
		if ok {
			written++
		}
	}
	is.Equal(written, maxRejectionLines*seconds)
	omitted, ok := l.allow(seconds * clock.Second)
	is.True(ok)
	is.Equal(written+reported+omitted, perSecond*seconds)
}
