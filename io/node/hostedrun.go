package node

import (
	"context"
	"errors"
	"io"
	"runtime/debug"

	"github.com/apex/log"

	"hickoryrail/core/clock"
	"hickoryrail/core/stop"
)

const (
	// hostedGCPercent is the growth of the heap between collections. It is low because
	// memory beside a target costs more than processor time.
	hostedGCPercent = 30
	// stopAdmitMillis is how long the gate of a stopping node still admits calls after
	// the announcement of the stop, for nodes that have not received it yet.
	stopAdmitMillis = 500 * clock.Millis(1)
)

// RunHosted runs a node until ctx ends. The node then reports that it is not ready, goes
// on serving for a lame-duck period, and stops gracefully.
func RunHosted(ctx context.Context, h Hosted, output io.Writer) error {
	debug.SetGCPercent(hostedGCPercent)
	n, err := NewHosted(h, output)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(n.memory.SoftLimit))
	if err := n.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	n.stopping.Store(true)
	plan := stop.NewPlan(h.Settings.Stop.LameDuckMillis, h.Settings.Stop.GraceMillis, h.KillMillis)
	n.logger.WithFields(log.Fields{
		"Node": string(n.settings.Node), "LameDuckMillis": float64(plan.LameDuckMillis), "FinishMillis": float64(plan.FinishMillis),
	}).Info("node is asked to stop")
	n.ingress.BeginStop(plan)
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), plan.FinishMillis.Duration())
	defer cancel()
	n.lameDuck(grace, plan.LameDuckMillis)
	if err := n.Stop(grace); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil // the time for a graceful stop is over, which is not an error
}

// lameDuck goes on serving callers and other nodes for d. stopAdmitMillis before the end
// it announces that the local target is draining, so that other nodes route their calls
// elsewhere. The target is out of service from then until the node starts again, so this
// part is kept short.
func (n *Node) lameDuck(ctx context.Context, d clock.Millis) {
	sleep(ctx, max(d-stopAdmitMillis, 0).Duration())
	n.localTarget.announceDraining()
	sleep(ctx, min(d, stopAdmitMillis).Duration())
}
