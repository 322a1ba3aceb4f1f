package boottime

import (
	"golang.org/x/sys/unix"

	"hickoryrail/core/clock"
)

// now reads CLOCK_BOOTTIME.
func now() clock.Millis {
	var t unix.Timespec
	// The call fails only on kernels before 2.6.39, which Go does not support.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return clock.Millis(t.Sec)*clock.Second + clock.Millis(t.Nsec)/1e6
}
