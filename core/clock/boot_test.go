package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBoot guards against a clock that stands still, steps back, or counts in another unit
// than that of the system's clock.
func TestBoot(t *testing.T) {
	is := is.New(t)
	b, s := NewBoot(), NewSystem()
	earlier, reference := b.Now(), s.Now()
	time.Sleep(20 * time.Millisecond)
	passed := b.Now() - earlier
	is.True(passed >= 20)
	is.True(passed <= s.Now()-reference+Second)
}

// BenchmarkBoot measures a reading of the clock, which each request with a key makes.
func BenchmarkBoot(b *testing.B) {
	c := NewBoot()
	for range b.N {
		c.Now()
	}
}
