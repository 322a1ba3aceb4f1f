package bench

import (
	"fmt"
	"math/rand/v2"
	"strconv"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/stall"
)

const (
	// stallSeed fixes arrivals.
	stallSeed = 2029
	// StallRuns is the number of connections that go silent, for published figures.
	StallRuns = 200
	// idleTimeout is the idle timeout of a connection between nodes.
	idleTimeout = 30 * clock.Second
	// stallTick is the interval between ticks of the detector.
	stallTick clock.Millis = 25
	// callDuration is the time of a call on a working connection.
	callDuration clock.Millis = 6
)

// stallSimulation simulates calls from the instant 0 at which the connection in use goes
// silent. The detector is nil for the baseline with only an idle timeout.
type stallSimulation struct {
	scheduler
	detector *stall.Detector
	// current is the connection in use: 1 is the silent one, 2 the one that replaces it.
	current stall.ConnectionID
	// firstAnswer is the instant of the first answer; 0 until then.
	firstAnswer clock.Millis
	// calls counts the calls, and lost those on the silent connection.
	lost, calls int
	// closed reports whether the detector has closed the silent connection.
	closed bool
}

// SilentConnection measures the time from the start of a connection's silence to the
// first answered call, with the stall detector and with only an idle timeout. Calls keep
// the connection from being idle on the sending side; the baseline closes it when
// nothing was received for the idle timeout.
func SilentConnection(runs int) *Table {
	t := NewTable(fmt.Sprintf("silent connection, %d runs, idle timeout %s, seed %d", runs, idleTimeout, stallSeed),
		"calls/s", "detection", "p50 ms to the first good call", "p99 ms", "calls lost per run")
	for _, rate := range []float64{1, 10, 100} {
		for _, d := range []*stall.Detector{
			// The second detector, with 250 and 500 ms, has the default settings.
			nil, {ProbeMillis: 1000, GiveUpMillis: 1000}, {ProbeMillis: 250, GiveUpMillis: 500}, {ProbeMillis: 100, GiveUpMillis: 200}, {ProbeMillis: 50, GiveUpMillis: 100},
		} {
			name := "idle timeout"
			if d != nil {
				name = fmt.Sprintf("watch %s + %s", d.ProbeMillis, d.GiveUpMillis)
			}
			h := hdrhistogram.New(1, 100_000_000, 3)
			lost := 0
			random := rand.New(rand.NewPCG(stallSeed, uint64(rate)))
			for range runs {
				s := newStallSimulation(d, rate, random)
				s.runAll()
				_ = h.RecordValue(int64(1000 * s.firstAnswer))
				lost += s.lost
			}
			t.Add(rate, name, float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000,
				float64(lost)/float64(runs))
		}
	}
	return t
}

// newStallSimulation returns a simulation that starts when the connection goes silent.
func newStallSimulation(d *stall.Detector, rate float64, random *rand.Rand) *stallSimulation {
	s := &stallSimulation{current: 1}
	if d != nil {
		s.detector = &stall.Detector{ProbeMillis: d.ProbeMillis, GiveUpMillis: d.GiveUpMillis}
		s.schedule(stallTick*clock.Millis(random.Float64()), s.tick)
	} else {
		s.schedule(idleTimeout, func() { s.current = 2 })
	}
	var arrive func()
	arrive = func() {
		if s.firstAnswer == 0 {
			s.call()
			s.schedule(s.now+clock.Millis(random.ExpFloat64()*1000/rate), arrive)
		}
	}
	s.schedule(clock.Millis(random.ExpFloat64()*1000/rate), arrive)
	return s
}

// call sends one call on the current connection.
func (s *stallSimulation) call() {
	s.calls++
	id, connection := ident.RequestID(strconv.Itoa(s.calls)), s.current
	if s.detector != nil {
		s.detector.Sent(s.now, connection, id)
	}
	if connection == 1 {
		s.lost++
		if s.detector != nil {
			s.schedule(s.now+callTimeout, func() { s.detector.Finished(connection, id) })
		}
		return
	}
	s.schedule(s.now+callDuration, func() {
		if s.firstAnswer == 0 {
			s.firstAnswer = s.now
		}
	})
}

// tick runs the detector's ticks until the silent connection is closed.
func (s *stallSimulation) tick() {
	for _, a := range s.detector.Tick(s.now) {
		if a.Kind == stall.Close && a.Connection == 1 {
			s.current, s.closed = 2, true
		}
	}
	if !s.closed {
		s.schedule(s.now+stallTick, s.tick)
	}
}
