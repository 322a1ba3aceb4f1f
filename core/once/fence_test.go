package once

import (
	"flag"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/result"
)

func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}

// TestFullFenceRefuses guards against forgetting an id early, or promising a
// void that cannot be recorded.
func TestFullFenceRefuses(t *testing.T) {
	is := is.New(t)
	f := &Fence{Gate: 1, MaxRecords: 1, KeepMillis: 100}
	is.Equal(f.Arrive(0, 1, "a").Kind, Run)
	is.Equal(f.Arrive(0, 1, "b").Verdict, result.NotRun)
	is.Equal(f.Void(0, 1, "b").Verdict, result.MayHaveRun)
	is.Equal(f.Arrive(1000, 1, "a").Reason, ReasonRunning)
	f.Finish(1000, "a", result.Ran, []byte("x"))
	is.Equal(f.Void(1099, 1, "a").Kind, Replay)
	is.Equal(f.Arrive(1100, 1, "b").Kind, Run)
	is.Equal(int(f.Bytes()), 0)
}
