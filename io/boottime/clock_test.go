package boottime

import (
	"testing"
	"time"

	"hickoryrail/core/clock"
)

// TestClockAdvances guards against a clock in another unit than milliseconds.
func TestClockAdvances(t *testing.T) {
	var c Clock
	before, began := c.Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	passed := c.Now() - before
	if most := clock.FromDuration(time.Since(began)); passed < 20 || passed > most+1 {
		t.Fatalf("%v passed, not between 20 ms and %v", passed, most)
	}
}

// BenchmarkNow measures a reading of the clock, which each request with a key makes.
func BenchmarkNow(b *testing.B) {
	var c Clock
	for range b.N {
		c.Now()
	}
}
