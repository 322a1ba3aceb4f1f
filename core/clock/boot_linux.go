package clock

import "golang.org/x/sys/unix"

// sinceBoot returns the time since the machine started, suspended time included.
func sinceBoot() Millis {
	var t unix.Timespec
	// The call fails only for an unknown clock; Linux has this one since 2.6.39.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return Millis(t.Sec)*Second + Millis(t.Nsec)/1e6
}
