package trial

import (
	"os"
	"runtime/debug"
	"testing"
)

// gcPercent makes the collector run rarely: the models allocate much and keep little.
const gcPercent = 800

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}
