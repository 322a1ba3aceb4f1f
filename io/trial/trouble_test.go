package trial

import (
	"testing"

	"hickoryrail/core/canary"
	"hickoryrail/core/clock"
)

// TestSuddenTrouble guards against a good version that is rolled back because of trouble
// that hits both versions and begins while the share grows.
func TestSuddenTrouble(t *testing.T) {
	for _, fails := range []float64{0.15, 0.5} {
		for _, factor := range []float64{1, 3} {
			for i := range 10 {
				begin := 10*clock.Second + clock.Millis(i)*400
				o := options(uint64(i))
				o.PerSecond = 1500
				o.Trouble = func(since clock.Millis) (float64, float64) {
					if since > begin {
						return fails, factor
					}
					return 0, 1
				}
				f := rollOut(o, nil)
				if f.Store.Status().Phase != canary.Completed {
					t.Errorf("%v of answers fail, factor %v, from %v: %v %v", fails, factor, begin, f.Store.Status().Phase, reasons(f))
				}
			}
		}
	}
}
