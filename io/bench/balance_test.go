package bench

import (
	"testing"

	"hickoryrail/core/clock"
)

// balanceTestMillis is the virtual time of a run of the tests. It is the
// period of the wave of demand.
const balanceTestMillis = waveMillis

// TestBalanceServesBetter replays the demand and the varying speeds of the two deployments,
// without and with faults: false figures, cold targets, targets that hang, and a restart of
// all nodes. It guards against a choice by expected time that serves callers worse than the
// choice of two does, or with more traffic between failure domains.
func TestBalanceServesBetter(t *testing.T) {
	run := func(f balanceFleet, policy, fault string, demand float64) (missed, far float64) {
		r := newBalanceSimulation(f, policy, fault, demand, balanceTestMillis)
		r.runAll()
		o := &r.result
		if o.calls == 0 || o.inGoal+o.late+o.refused+o.lost != o.calls {
			t.Fatalf("%d calls, but %d in their goals, %d late, %d refused, %d lost", o.calls, o.inGoal, o.late, o.refused, o.lost)
		}
		return float64(o.calls-o.inGoal) / float64(o.calls), o.farKB / float64(o.calls)
	}
	for _, f := range balanceFleets[:2] {
		for _, fault := range balanceFaults {
			demands := balanceDemands(f, fault)
			for _, demand := range demands {
				missed, far := run(f, policyToday, fault, demand)
				balancedMissed, balancedFar := run(f, policyExpected, fault, demand)
				t.Logf("%s, %s, demand %.1f: %.4f missed and %.3f KB, was %.4f and %.3f KB", f.name, fault, demand, balancedMissed, balancedFar, missed, far)
				if balancedMissed > missed || balancedFar > far {
					t.Errorf("%s, %s, demand %.1f: %.4f missed and %.3f KB, was %.4f and %.3f KB", f.name, fault, demand, balancedMissed, balancedFar, missed, far)
				}
				if fault == balanceNoPace && (balancedMissed != missed || balancedFar != far) {
					t.Errorf("%s: without a pace, other decisions than before", f.name)
				}
			}
		}
	}
}

// TestBalanceWave guards against a demand of the simulation that is not that of the
// deployments on average.
func TestBalanceWave(t *testing.T) {
	r := &balanceSimulation{fleet: balanceFleets[0]}
	sum, n := 0.0, 0
	for at := clock.Millis(0); at < 9*waveMillis; at += 10 {
		sum += r.level(at, 1)
		n++
	}
	if mean := sum / float64(n); mean < 1.08 || mean > 1.14 {
		t.Errorf("the mean level is %.3f", mean)
	}
}
