package lease

import (
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
)

// TestFewContenders guards against a fleet whose nodes all call the store at once when the
// reader is gone.
func TestFewContenders(t *testing.T) {
	const fleet, seeds, maxCalls, maxMillis = 790, 20, 40, 14_000
	worstCalls, worstMillis := 0, clock.Millis(0)
	for seed := range uint64(seeds) {
		g := newRegion(fleet, seed, t.Fatalf)
		g.row, g.revision = Row{Holder: "gone", Epoch: 4, Count: 9}, 1
		for len(g.holders) == 0 {
			g.runWithoutFaults(100, 100)
			if g.now > 60_000 {
				t.Fatalf("no node acquires the lease with seed %d", seed)
			}
		}
		worstMillis = max(worstMillis, g.now)
		worstCalls = max(worstCalls, g.reads+g.writes)
	}
	t.Logf("maximum of %d seeds: %d calls and %s until a node holds the lease", seeds, worstCalls, worstMillis)
	if worstCalls > maxCalls || worstMillis > maxMillis {
		t.Errorf("%d calls and %s until a node holds the lease, want at most %d and %d", worstCalls, worstMillis, maxCalls, maxMillis)
	}
}

// TestTiming guards against durations with which a holder cannot renew before its lease
// expires.
func TestTiming(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultTiming().Validate())
	for _, change := range []func(*Timing){
		func(t *Timing) { t.TTLMillis = 2*t.RenewMillis + t.MarginMillis - 1 },
		func(t *Timing) { t.RenewMillis = 0 },
		func(t *Timing) { t.HeartbeatTimeoutMillis = -1 },
		func(t *Timing) { t.JitterPerNodeMillis = -1 },
		func(t *Timing) { t.MarginMillis = -1 },
	} {
		timing := DefaultTiming()
		change(&timing)
		is.True(timing.Validate() != nil)
	}
}

// FuzzDecodeRow guards against a panic on a malformed row, and against a row that changes
// when it is encoded and decoded again.
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
