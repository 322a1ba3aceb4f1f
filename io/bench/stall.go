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
	// StallRuns is the number of connections that go silent for figures that are
	// published.
	StallRuns = 200
	// idleTimeout is the idle timeout of a connection between nodes.
	idleTimeout = 30 * clock.Second
	// stallTick is the time between two looks at the watch.
	stallTick clock.Millis = 25
	// roundTrip is the time of a good call on a good connection.
	roundTrip clock.Millis = 6
)

// silence is one connection that goes silent at instant 0.
type silence struct {
	agenda
	watch *stall.Detector
	// open is the connection in use; 1 is the silent one.
	open stall.ConnectionID
	// firstGood is the instant of the first good answer.
	firstGood clock.Millis
	lost      int
	number    int
	// ended says that the watch has no more to do.
	ended bool
}

// SilentConnection measures the time from the silence of a connection to the
// first good call, with the watch and with only an idle timeout. Calls keep a
// connection without a watch from being idle on the sending side; the baseline
// closes when nothing was received for the idle timeout.
func SilentConnection(runs int) *Table {
	t := NewTable(fmt.Sprintf("silent connection, %d runs, idle timeout %s, seed %d", runs, idleTimeout, stallSeed),
		"calls/s", "detection", "p50 ms to the first good call", "p99 ms", "calls lost per run")
	for _, rate := range []float64{1, 10, 100} {
		for _, w := range []*stall.Detector{
			// The second watch has the defaults of the settings.
			nil, {ProbeMillis: 1000, GiveUpMillis: 1000}, {ProbeMillis: 250, GiveUpMillis: 500}, {ProbeMillis: 100, GiveUpMillis: 200}, {ProbeMillis: 50, GiveUpMillis: 100},
		} {
			name := "idle timeout"
			if w != nil {
				name = fmt.Sprintf("watch %s + %s", w.ProbeMillis, w.GiveUpMillis)
			}
			h := hdrhistogram.New(1, 100_000_000, 3)
			lost := 0
			random := rand.New(rand.NewPCG(stallSeed, uint64(rate)))
			for range runs {
				s := newSilence(w, rate, random)
				s.runAll()
				_ = h.RecordValue(int64(1000 * s.firstGood))
				lost += s.lost
			}
			t.Add(rate, name, float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000,
				float64(lost)/float64(runs))
		}
	}
	return t
}

// newSilence returns a run that starts at the silence.
func newSilence(w *stall.Detector, rate float64, random *rand.Rand) *silence {
	s := &silence{open: 1}
	if w != nil {
		s.watch = &stall.Detector{ProbeMillis: w.ProbeMillis, GiveUpMillis: w.GiveUpMillis}
		s.at(stallTick*clock.Millis(random.Float64()), s.tick)
	} else {
		s.at(idleTimeout, func() { s.open = 2 })
	}
	var arrive func()
	arrive = func() {
		if s.firstGood == 0 {
			s.call()
			s.at(s.now+clock.Millis(random.ExpFloat64()*1000/rate), arrive)
		}
	}
	s.at(clock.Millis(random.ExpFloat64()*1000/rate), arrive)
	return s
}

// call sends one call on the open connection.
func (s *silence) call() {
	s.number++
	id, connection := ident.RequestID(strconv.Itoa(s.number)), s.open
	if s.watch != nil {
		s.watch.Sent(s.now, connection, id)
	}
	if connection == 1 {
		s.lost++
		if s.watch != nil {
			s.at(s.now+callTimeout, func() { s.watch.Finished(connection, id) })
		}
		return
	}
	s.at(s.now+roundTrip, func() {
		if s.firstGood == 0 {
			s.firstGood = s.now
		}
	})
}

// tick looks at the watch until the connection is closed.
func (s *silence) tick() {
	for _, a := range s.watch.Tick(s.now) {
		if a.Kind == stall.Close && a.Connection == 1 {
			s.open, s.ended = 2, true
		}
	}
	if !s.ended {
		s.at(s.now+stallTick, s.tick)
	}
}
