package retry

import (
	"flag"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/model"
	"hickoryrail/core/result"
)

func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}

func newPolicy(b *Budget) *Policy {
	return &Policy{Budget: b, Rand: rand.New(rand.NewPCG(1, 1))}
}

// TestUncertainCallIsNeverNotRun guards against NotRun for a call whose earlier
// attempt may have run.
func TestUncertainCallIsNeverNotRun(t *testing.T) {
	is := is.New(t)
	p := newPolicy(&Budget{})
	s := CallState{Route: model.Route{Idempotent: true, MaxAttempts: 2}, Sent: 2, Uncertain: true, Deadline: 100}
	d := p.Decide(1, s, result.NotRun)
	is.Equal(d.Kind, Finish)
	is.Equal(d.Verdict, result.MayHaveRun)
}

// TestHedgeNeedsIdempotentCheck guards against hedges on routes other than those of
// idempotent checks.
func TestHedgeNeedsIdempotentCheck(t *testing.T) {
	is := is.New(t)
	p := newPolicy(&Budget{})
	p.Budget.RecordCall(0)
	for i, r := range []model.Route{
		{Idempotent: false, Class: model.Check, MaxAttempts: 3},
		{Idempotent: true, Class: model.Action, MaxAttempts: 3},
		{Idempotent: true, Class: model.Check, MaxAttempts: 3, HedgeAfterMillis: -1},
		{Idempotent: true, Class: model.Check, MaxAttempts: 3},
	} {
		d := p.Hedge(5000, CallState{Route: r, Sent: 1, Outstanding: 1, Deadline: 9000})
		is.Equal(d.Kind == Hedge, i == 3)
	}
}
