package stall

import (
	"flag"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
)

func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}

// TestCallsThatTimeOutKeepTheWatch guards against a silent connection that is
// never found because each call on it ends before the probe is due.
func TestCallsThatTimeOutKeepTheWatch(t *testing.T) {
	is := is.New(t)
	w := &Watch{ProbeMillis: 100, GiveUpMillis: 100}
	w.Sent(0, 1, "a")
	w.Finished(1, "a")
	w.Sent(60, 1, "b")
	w.Finished(1, "b")
	is.Equal(w.Tick(100), []Action{{Kind: Probe, Connection: 1}})
	w.Sent(120, 1, "c")
	is.Equal(len(w.Tick(150)), 0)
	is.Equal(w.Tick(200), []Action{{Kind: Close, Connection: 1, Calls: []ident.RequestID{"c"}}})
	is.Equal(w.Watched(), 0)
}

// TestPauseOfThisProcess guards against closing a healthy connection whose echo
// was not read because this process was paused.
func TestPauseOfThisProcess(t *testing.T) {
	is := is.New(t)
	w := &Watch{ProbeMillis: 100, GiveUpMillis: 100}
	w.Sent(0, 1, "a")
	is.Equal(len(w.Tick(5000)), 1) // probe, no close
	is.Equal(len(w.Tick(9000)), 0)
	w.Progress(9001, 1)
	w.Finished(1, "a")
	is.Equal(w.Watched(), 0)
}
