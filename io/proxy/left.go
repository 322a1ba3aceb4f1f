package proxy

import (
	"context"
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/stop"
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
	// caller has left: each one before which the request may have waited.
	leftStage uint8

	// leftCounters counts by stage the requests that ended because their callers had
	// left or their time was over.
	leftCounters [leftStages]prometheus.Counter
)

// leftStageNames holds the label of each stage.
var leftStageNames = [leftStages]string{"read", "attempt", "gate", "target"}

// newLeftCounters returns the counters and the collector that holds them.
func newLeftCounters(name string) (leftCounters, prometheus.Collector) {
	c := stats.Counters(name, "Requests that ended at a stage because their callers had left or their time was over.", "stage")
	var counters leftCounters
	for i, stage := range leftStageNames {
		counters[i] = c.WithLabelValues(stage)
	}
	return counters, c
}

// hasLeft reports whether the caller of a request has left, or its time is over, and
// counts the request under the stage. Nothing may be sent for it from then on.
func (l *leftCounters) hasLeft(ctx context.Context, stage leftStage) bool {
	if ctx.Err() == nil {
		return false
	}
	l[stage].Inc()
	return true
}

// leftReason returns the reason of a request for which hasLeft returned true.
func leftReason(ctx context.Context) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return reasonDeadline
	case errors.Is(context.Cause(ctx), stop.ErrStopped):
		return reasonStopped
	}
	return reasonGaveUp
}
