package proxy

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/io/stats"
)

const (
	// leftRead is the stage at which a request has been read from its caller.
	leftRead leftStage = iota
	// leftAttempt is the stage before an attempt.
	leftAttempt
	// leftGate is the stage at which an attempt has arrived at the gate, or has a slot.
	leftGate
	// leftTarget is the stage at which a connection to the target is ready.
	leftTarget

	leftStages = int(leftTarget) + 1
)

type (
	// leftStage is a point on the path of a request at which a node checks whether the
	// caller has left.
	leftStage uint8

	// leftCounters counts the requests whose callers had left, by stage.
	leftCounters [leftStages]prometheus.Counter
)

// leftStageNames holds the label of each stage.
var leftStageNames = [leftStages]string{"read", "attempt", "gate", "target"}

// newLeftCounters returns the counters and the collector that holds them.
func newLeftCounters(name string) (leftCounters, prometheus.Collector) {
	c := stats.Counters(name, "Requests whose callers had left when they reached a stage.", "stage")
	var counters leftCounters
	for i, stage := range leftStageNames {
		counters[i] = c.WithLabelValues(stage)
	}
	return counters, c
}

// check counts a request that is at a stage if its caller has left.
func (l *leftCounters) check(ctx context.Context, stage leftStage) {
	if ctx.Err() != nil {
		l[stage].Inc()
	}
}
