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

// TestTimedOutCallsKeepMonitoring guards against never detecting a silent connection
// because each call on it times out before the probe is due.
func TestTimedOutCallsKeepMonitoring(t *testing.T) {
	is := is.New(t)
	d := &Detector{ProbeMillis: 100, GiveUpMillis: 100}
	d.Sent(0, 1, "a")
	d.Finished(1, "a")
	d.Sent(60, 1, "b")
	d.Finished(1, "b")
	is.Equal(d.Tick(100), []Action{{Kind: Probe, Connection: 1}})
	d.Sent(120, 1, "c")
	is.Equal(len(d.Tick(150)), 0)
	is.Equal(d.Tick(200), []Action{{Kind: Close, Connection: 1, Calls: []ident.RequestID{"c"}}})
	is.Equal(d.Monitored(), 0)
}

// TestPauseOfThisProcess guards against closing a healthy connection whose echo reply
// was not read because this process was paused.
func TestPauseOfThisProcess(t *testing.T) {
	is := is.New(t)
	d := &Detector{ProbeMillis: 100, GiveUpMillis: 100}
	d.Sent(0, 1, "a")
	is.Equal(len(d.Tick(5000)), 1) // probe, no close
	is.Equal(len(d.Tick(9000)), 0)
	d.Progress(9001, 1)
	d.Finished(1, "a")
	is.Equal(d.Monitored(), 0)
}
