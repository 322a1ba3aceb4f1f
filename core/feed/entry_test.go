package feed

import (
	"testing"

	"github.com/matryer/is"
)

// TestEntryIsDue guards against an entry that is lost in a restore and never written
// again, and against one that is written again and again.
func TestEntryIsDue(t *testing.T) {
	is := is.New(t)
	var e Entry
	is.True(e.Due(0))
	e.Written(2, 0)
	is.True(!e.Due(0)) // the era is not known yet
	is.True(!e.Due(1)) // an answer from before the write
	is.True(!e.Due(2))
	is.True(e.Due(3))
	e.Written(0, 3) // the store reports no era with writes
	is.True(!e.Due(3))
	e = Entry{}
	e.Written(0, 0)
	is.True(e.Due(1)) // it may have been restored since
}
