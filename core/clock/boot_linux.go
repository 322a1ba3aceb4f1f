package clock

import (
	"syscall"
	"unsafe"
)

// clockBootTime is CLOCK_BOOTTIME of Linux.
const clockBootTime = 7

// sinceBoot returns the time since the machine started, suspended time included.
func sinceBoot() Millis {
	var t syscall.Timespec
	// The call fails only for an unknown clock; Linux has this one since 2.6.39.
	_, _, _ = syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clockBootTime, uintptr(unsafe.Pointer(&t)), 0)
	return Millis(t.Sec)*Second + Millis(t.Nsec)/1e6
}
