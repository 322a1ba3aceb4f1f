package limit

import (
	"flag"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

func init() {
	if err := flag.Set("rapid.seed", "7"); err != nil {
		panic(err)
	}
}

// TestRateIsBounded guards against a caller that is allowed more requests than a burst
// plus its rate, against charging one caller for the requests of another, and against an
// unbounded number of tracked callers.
func TestRateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Limiter[ident.CallerID]{PerSecond: float64(rapid.IntRange(1, 50).Draw(t, "rate")), MaxCallers: 4}
		allowed := make(map[ident.CallerID]int)
		now := clock.Millis(0)
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			now += clock.Millis(rapid.IntRange(-5, 100).Draw(t, "pause"))
			caller := ident.CallerID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "caller")))
			if l.Allow(now, caller) {
				allowed[caller]++
			}
		}
		for caller, n := range allowed {
			// The clock may have stepped back by 5 ms before each of 300 calls.
			bound := l.burst() + l.PerSecond*float64((now+1500)/clock.Second)
			if float64(n) > bound {
				t.Fatalf("caller %s was allowed %d requests, want at most %v", caller, n, bound)
			}
		}
		if l.Callers() > 4 {
			t.Fatalf("%d callers are tracked, want at most 4", l.Callers())
		}
	})
}

// TestIdleCallerIsEvicted guards against refusing new callers when the table is full.
func TestIdleCallerIsEvicted(t *testing.T) {
	is := is.New(t)
	l := &Limiter[ident.CallerID]{PerSecond: 1, MaxCallers: 2}
	is.True(l.Allow(0, "a"))
	is.True(!l.Allow(0, "a"))
	is.True(l.Allow(0, "b"))
	is.True(l.Allow(0, "c"))
	is.Equal(l.Callers(), 2)
	is.True(!l.Allow(0, "c"))
}
