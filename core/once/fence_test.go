package once

import (
	"flag"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
	"hickoryrail/core/result"
)

func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.checks", "20000")
	_ = flag.Set("rapid.nofailfile", "true")
}

// TestFullFenceRefuses guards against forgetting an id early, and against running
// a later copy of a request that was refused or voided while the fence was full.
func TestFullFenceRefuses(t *testing.T) {
	is := is.New(t)
	f := &Fence{Gate: 1, MaxRecords: 1, KeepMillis: 100}
	is.Equal(f.Void(0, 1, "early").Verdict, result.NotRun)
	is.Equal(f.Arrive(0, 1, "refused").Verdict, result.NotRun)
	is.Equal(f.Void(0, 1, "voided").Verdict, result.NotRun)
	is.Equal(f.Arrive(90, 1, "late").Verdict, result.NotRun)
	is.Equal(f.Records(), 1)
	for _, id := range []ident.RequestID{"refused", "voided"} {
		is.Equal(f.Arrive(100, 1, id).Kind, Refuse) // there is room, and a copy must not run
	}
	is.Equal(f.Arrive(189, 1, "late").Kind, Refuse)
	f = &Fence{Gate: 1, MaxRecords: 1, KeepMillis: 100}
	is.Equal(f.Arrive(0, 1, "a").Kind, Run)
	is.Equal(f.Arrive(0, 1, "b").Verdict, result.NotRun)
	is.Equal(f.Void(0, 1, "c").Verdict, result.NotRun)
	is.Equal(f.Arrive(1000, 1, "a").Reason, ReasonRunning)
	f.Finish(1000, "a", result.Ran, []byte("x"))
	is.Equal(f.Void(1099, 1, "a").Kind, Replay)
	is.Equal(f.Arrive(1100, 1, "d").Kind, Run)
	is.Equal(int(f.Bytes()), 0)
}
