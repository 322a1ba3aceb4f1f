//go:build !linux

package boottime

import (
	"time"

	"hickoryrail/core/clock"
)

// start is the instant from which the time counts.
var start = time.Now()

// now returns the time of the monotonic clock, which on this system may stop while the
// machine is suspended. Deployments run on Linux.
func now() clock.Millis {
	return clock.FromDuration(time.Since(start))
}
