package lease

import (
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
)

// TestFewContenders guards against a missing reader that sends the whole fleet to
// the source.
func TestFewContenders(t *testing.T) {
	const fleet, seeds, maxCalls, maxMillis = 790, 20, 40, 14_000
	worstCalls, worstMillis := 0, clock.Millis(0)
	for seed := range uint64(seeds) {
		g := newRegion(fleet, seed, t.Fatalf)
		g.row, g.revision = Row{Holder: "gone", Epoch: 4, Count: 9}, 1
		for len(g.holders) == 0 {
			g.calm(100, 100)
			if g.now > 60_000 {
				t.Fatalf("nobody takes the lease with seed %d", seed)
			}
		}
		worstMillis = max(worstMillis, g.now)
		worstCalls = max(worstCalls, g.reads+g.writes)
	}
	t.Logf("worst of %d seeds: %d calls, %s until there is a holder", seeds, worstCalls, worstMillis)
	if worstCalls > maxCalls || worstMillis > maxMillis {
		t.Errorf("%d calls and %s, not at most %d and %d", worstCalls, worstMillis, maxCalls, maxMillis)
	}
}

// TestTiming guards against durations with which a holder cannot renew in time.
func TestTiming(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultTiming().Validate())
	for _, change := range []func(*Timing){
		func(t *Timing) { t.TTLMillis = 2*t.RenewMillis + t.MarginMillis - 1 },
		func(t *Timing) { t.RenewMillis = 0 },
		func(t *Timing) { t.SilenceMillis = -1 },
		func(t *Timing) { t.SpreadMillis = -1 },
		func(t *Timing) { t.MarginMillis = -1 },
	} {
		timing := DefaultTiming()
		change(&timing)
		is.True(timing.Validate() != nil)
	}
}

// FuzzDecodeRow guards against a panic on a damaged row and against a row that
// two readers read differently.
func FuzzDecodeRow(f *testing.F) {
	f.Add(EncodeRow(Row{Holder: "n1", Epoch: 3, Count: 77}))
	f.Add([]byte(`{"Epoch":0}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := DecodeRow(value)
		if err != nil {
			return
		}
		if again, err := DecodeRow(EncodeRow(r)); err != nil || again != r {
			t.Errorf("%s decodes to %+v and then to %+v: %v", value, r, again, err)
		}
	})
}
