package clock

// Boot is a steady clock that also counts the time in which the machine is suspended, where
// the operating system has one. Use it for leases that others give away after their end.
type Boot struct {
	// startMillis is the wall time at NewBoot, and start the reading of the steady clock.
	startMillis, start Millis
}

// NewBoot returns a clock that starts at the machine's wall time.
func NewBoot() *Boot {
	return &Boot{startMillis: NewSystem().startMillis, start: sinceBoot()}
}

// Now returns the current instant.
func (b *Boot) Now() Millis {
	return b.startMillis + sinceBoot() - b.start
}
