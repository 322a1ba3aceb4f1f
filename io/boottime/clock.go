// Package boottime provides a clock that counts the time for which the machine was
// suspended. The clocks of the Go library stop meanwhile.
package boottime

import "hickoryrail/core/clock"

// Clock is a clock.Clock whose time counts from an arbitrary instant, on Linux from the
// start of the machine. The zero value is ready for use.
type Clock struct{}

// Now returns the time in milliseconds.
func (Clock) Now() clock.Millis { return now() }
