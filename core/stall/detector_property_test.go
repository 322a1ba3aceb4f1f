package stall

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// TestClosesSilentNotSlow guards against calls that wait forever on a silent connection,
// and against closing a connection whose target is slow. Calls start and end at
// generated times, with or without an answer, and Tick is up to 20 ms late.
func TestClosesSilentNotSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &Detector{
			ProbeMillis:  clock.Millis(rapid.IntRange(50, 500).Draw(t, "ProbeMillis")),
			GiveUpMillis: clock.Millis(rapid.IntRange(100, 500).Draw(t, "GiveUpMillis")),
		}
		const connections = 3
		silentSince := clock.Millis(rapid.IntRange(0, 2000).Draw(t, "silent"))
		silentConnection := rapid.IntRange(0, connections).Draw(t, "connection")
		answers := rapid.IntRange(0, 9).Draw(t, "answers")
		calls := make([][]ident.RequestID, connections)
		var echoes []struct {
			at clock.Millis
			id ConnectionID
		}
		firstUnanswered, closedAt := clock.Forever, clock.Forever
		for now, n := clock.Millis(0), 0; now < 6000; n++ {
			now += clock.Millis(rapid.IntRange(1, 20).Draw(t, "step"))
			for len(echoes) > 0 && echoes[0].at <= now {
				if int(echoes[0].id) != silentConnection || now < silentSince {
					d.Progress(now, echoes[0].id)
				}
				echoes = echoes[1:]
			}
			i := n % connections
			isSilent := i == silentConnection && now >= silentSince
			id := ConnectionID(i)
			switch k := rapid.IntRange(0, 9).Draw(t, "action"); {
			case isSilent && closedAt <= now:
			case k < 4:
				call := ident.RequestID(fmt.Sprint(n))
				d.Sent(now, id, call)
				calls[i] = append(calls[i], call)
				if isSilent {
					firstUnanswered = min(firstUnanswered, now)
				}
			case k < 6 && len(calls[i]) > 0:
				if !isSilent && k%2 == 0 && answers > 0 {
					d.Progress(now, id)
				}
				d.Finished(id, calls[i][0])
				calls[i] = calls[i][1:]
			}
			for _, a := range d.Tick(now) {
				onSilent := int(a.Connection) == silentConnection && now >= silentSince
				if a.Kind == Probe && !onSilent {
					echoes = append(echoes, struct {
						at clock.Millis
						id ConnectionID
					}{now + 40, a.Connection})
				}
				if a.Kind == Close {
					if !onSilent {
						t.Fatalf("connection %d with answered echoes was closed at %s", a.Connection, now)
					}
					if len(a.Calls) != len(calls[silentConnection]) {
						t.Fatalf("%d calls ended with the connection, want %d", len(a.Calls), len(calls[silentConnection]))
					}
					closedAt = min(closedAt, now)
				}
			}
			// Tick may be 20 ms late for the probe and for the close.
			if limit := firstUnanswered + d.ProbeMillis + d.GiveUpMillis + 40; closedAt == clock.Forever && now > limit {
				t.Fatalf("silent since %s, still open at %s", firstUnanswered, now)
			}
		}
	})
}
