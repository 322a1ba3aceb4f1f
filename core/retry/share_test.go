package retry

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// TestShareHoldsOverAllNodes guards against a sum of repeated arrivals above the
// bound in any window, however the requests are spread over nodes and time.
func TestShareHoldsOverAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const windowMillis = 10 * clock.Second
		n := rapid.IntRange(1, 6).Draw(t, "nodes")
		shares := make([]*Share, n)
		for i := range shares {
			shares[i] = &Share{Ratio: 0.2, Fixed: 64, WindowMillis: windowMillis, Nodes: n}
		}
		type event struct {
			at       clock.Millis
			repeated bool
		}
		var events []event
		now := clock.Millis(rapid.Float64Range(0, 1e6).Draw(t, "start"))
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += clock.Millis(rapid.Float64Range(0, 300).Draw(t, "pause"))
			s := shares[rapid.IntRange(0, n-1).Draw(t, "node")]
			s.Request(now, "s")
			events = append(events, event{at: now})
			for range rapid.IntRange(0, 5).Draw(t, "repeats") {
				if s.Take(now, "s") {
					events = append(events, event{at: now, repeated: true})
				}
			}
		}
		for i := range events {
			requests, repeats := 0, 0
			for _, e := range events[i:] {
				if e.at >= events[i].at+windowMillis {
					break
				}
				if e.repeated {
					repeats++
				} else {
					requests++
				}
			}
			// Requests of the window before count as well; they are left out here.
			before := 0
			for _, e := range events[:i] {
				if e.at >= events[i].at-windowMillis && !e.repeated {
					before++
				}
			}
			if float64(repeats) > 0.2*float64(max(requests, before))+64 {
				t.Fatalf("%d repeats for %d requests, %d before", repeats, requests, before)
			}
		}
	})
}

// TestShareSpend guards against repeats that are decided elsewhere and do not count.
func TestShareSpend(t *testing.T) {
	is := is.New(t)
	s := &Share{Ratio: 0, Fixed: 10, WindowMillis: 10 * clock.Second, Nodes: 1}
	for range 7 {
		s.Spend(0, "s")
	}
	is.True(s.Take(0, "s"))
	is.True(!s.Take(0, "s"))
	is.True(s.Take(0, ident.ServiceName("other")))
	is.True(s.Take(11*clock.Second+1, "s")) // the window has passed
}
