// Package clock provides Millis, the only time type of hickoryrail, and its clocks.
package clock

import (
	"strconv"
	"time"
)

// Millis is an instant or a duration in milliseconds. An instant counts from
// the Unix epoch; fractions represent sub-millisecond durations.
type Millis float64

const (
	// Second is the number of milliseconds in a second.
	Second Millis = 1000
	// Minute is the number of milliseconds in a minute.
	Minute = 60 * Second
	// Forever is later than every instant that a clock returns.
	Forever Millis = 1 << 62
)

// FromDuration converts a standard duration.
func FromDuration(d time.Duration) Millis {
	return Millis(float64(d) / float64(time.Millisecond))
}

// FromTime converts a standard time to an instant.
func FromTime(t time.Time) Millis {
	return Millis(float64(t.UnixMicro()) / 1000)
}

// Duration converts m to a standard duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Time converts the instant m to a standard time in UTC.
func (m Millis) Time() time.Time {
	return time.UnixMicro(int64(float64(m) * 1000)).UTC()
}

// String formats m in milliseconds with as many decimals as its exact value needs.
func (m Millis) String() string {
	return strconv.FormatFloat(float64(m), 'f', -1, 64) + "ms"
}
