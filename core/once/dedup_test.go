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

// TestFullDedupRefuses guards against deleting a record early, and against running a
// later copy of a request that was refused or voided while MaxRecords was reached.
func TestFullDedupRefuses(t *testing.T) {
	is := is.New(t)
	d := &Dedup{Gate: 1, MaxRecords: 1, KeepMillis: 100}
	is.Equal(d.Void(0, 1, "early").Verdict, result.NotRun)
	is.Equal(d.Begin(0, 1, "refused").Verdict, result.NotRun)
	is.Equal(d.Void(0, 1, "voided").Verdict, result.NotRun)
	is.Equal(d.Begin(90, 1, "late").Verdict, result.NotRun)
	is.Equal(d.Records(), 1)
	for _, id := range []ident.RequestID{"refused", "voided"} {
		is.Equal(d.Begin(100, 1, id).Kind, Refuse) // there is space for a record, but a copy must not run
	}
	is.Equal(d.Begin(189, 1, "late").Kind, Refuse)
	d = &Dedup{Gate: 1, MaxRecords: 1, KeepMillis: 100}
	is.Equal(d.Begin(0, 1, "a").Kind, Run)
	is.Equal(d.Begin(0, 1, "b").Verdict, result.NotRun)
	is.Equal(d.Void(0, 1, "c").Verdict, result.NotRun)
	is.Equal(d.Begin(1000, 1, "a").Reason, ReasonRunning)
	d.Finish(1000, "a", result.Ran, []byte("x"))
	is.Equal(d.Void(1099, 1, "a").Kind, Replay)
	is.Equal(d.Begin(1100, 1, "d").Kind, Run)
	is.Equal(int(d.Bytes()), 0)
}
