//go:build !linux

package clock

import "time"

// processStart is a time with a monotonic reading.
var processStart = time.Now()

// sinceBoot returns the time since the process started. Suspended time may be missing.
func sinceBoot() Millis {
	return FromDuration(time.Since(processStart))
}
