package stall

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// TestSilenceIsClosedAndSlownessIsNot guards against calls that wait for ever on
// a silent connection, and against closing one whose target is slow. Calls come
// and end at generated times, with or without an answer, and Tick is late by up
// to 20 ms.
func TestSilenceIsClosedAndSlownessIsNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &Watch{
			ProbeMillis:  clock.Millis(rapid.IntRange(50, 500).Draw(t, "ProbeMillis")),
			GiveUpMillis: clock.Millis(rapid.IntRange(100, 500).Draw(t, "GiveUpMillis")),
		}
		const connections = 3
		silentFrom := clock.Millis(rapid.IntRange(0, 2000).Draw(t, "silent"))
		silent := rapid.IntRange(0, connections).Draw(t, "connection")
		answers := rapid.IntRange(0, 9).Draw(t, "answers")
		calls := make([][]ident.RequestID, connections)
		var echoes []struct {
			at clock.Millis
			id ConnectionID
		}
		firstLost, closed := clock.Forever, clock.Forever
		for now, n := clock.Millis(0), 0; now < 6000; n++ {
			now += clock.Millis(rapid.IntRange(1, 20).Draw(t, "step"))
			for len(echoes) > 0 && echoes[0].at <= now {
				if int(echoes[0].id) != silent || now < silentFrom {
					w.Progress(now, echoes[0].id)
				}
				echoes = echoes[1:]
			}
			i := n % connections
			dead := i == silent && now >= silentFrom
			id := ConnectionID(i)
			switch k := rapid.IntRange(0, 9).Draw(t, "action"); {
			case dead && closed <= now:
			case k < 4:
				call := ident.RequestID(fmt.Sprint(n))
				w.Sent(now, id, call)
				calls[i] = append(calls[i], call)
				if dead {
					firstLost = min(firstLost, now)
				}
			case k < 6 && len(calls[i]) > 0:
				if !dead && k%2 == 0 && answers > 0 {
					w.Progress(now, id)
				}
				w.Finished(id, calls[i][0])
				calls[i] = calls[i][1:]
			}
			for _, a := range w.Tick(now) {
				lost := int(a.Connection) == silent && now >= silentFrom
				if a.Kind == Probe && !lost {
					echoes = append(echoes, struct {
						at clock.Millis
						id ConnectionID
					}{now + 40, a.Connection})
				}
				if a.Kind == Close {
					if !lost {
						t.Fatalf("connection %d with answered echoes was closed at %s", a.Connection, now)
					}
					if len(a.Calls) != len(calls[silent]) {
						t.Fatalf("%d calls ended with the connection, want %d", len(a.Calls), len(calls[silent]))
					}
					closed = min(closed, now)
				}
			}
			// 20 ms late at the probe and at the end.
			if limit := firstLost + w.ProbeMillis + w.GiveUpMillis + 40; closed == clock.Forever && now > limit {
				t.Fatalf("silent since %s, still open at %s", firstLost, now)
			}
		}
	})
}
