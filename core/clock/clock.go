package clock

import (
	"sync"
	"time"
)

type (
	// Clock is a source of the current time.
	Clock interface {
		// Now returns the current instant in milliseconds since the Unix epoch.
		Now() Millis
	}

	// System is the machine's clock. It is monotonic within a process, so a step
	// of the wall clock does not affect it.
	System struct {
		// start and startMillis are the time of NewSystem; start has a monotonic
		// reading.
		start       time.Time
		startMillis Millis
	}

	// Manual is a clock for tests that moves only when it is advanced. It is safe for
	// concurrent use.
	Manual struct {
		mu sync.Mutex
		// now never decreases.
		now Millis
	}
)

// NewSystem returns a clock that starts at the machine's wall time.
func NewSystem() *System {
	t := time.Now()
	return &System{start: t, startMillis: FromTime(t)}
}

// Now returns the current instant.
func (s *System) Now() Millis {
	return s.startMillis + FromDuration(time.Since(s.start))
}

// NewManual returns a clock that is set to now.
func NewManual(now Millis) *Manual {
	return &Manual{now: now}
}

// Now returns the instant to which the clock was last set or advanced.
func (m *Manual) Now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d and returns the new instant. A negative
// d is ignored.
func (m *Manual) Advance(d Millis) Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d > 0 {
		m.now += d
	}
	return m.now
}
