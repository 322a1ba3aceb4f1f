package proxy

import (
	"context"
	"time"

	"hickoryrail/core/clock"
	"hickoryrail/core/route"
	"hickoryrail/core/view"
)

const (
	// startWaitMillis is the time after the start of the node during which a call
	// waits for the first configuration, its first proof and the first targets of its service,
	// maxStartWaitShare the largest part of its timeout that it waits, and
	// startPollInterval the interval between checks.
	startWaitMillis   = 1 * clock.Second
	maxStartWaitShare = 0.25
	startPollInterval = 10 * time.Millisecond
)

// awaitView returns the current view. After the start it waits for the first one, and
// returns nil if none arrives in time. A node that has just started gets its first
// view within a few tenths of a second, and after a restart of the whole fleet
// refused callers would use up their retries. timeout is the caller's.
func (in *Ingress) awaitView(ctx context.Context, now, timeout clock.Millis) *view.View {
	limit := min(in.openedAt+startWaitMillis, now+timeout*maxStartWaitShare)
	for {
		if v := in.view.Load(); v != nil {
			return v
		}
		if in.Clock.Now() >= limit || ctx.Err() != nil {
			return nil
		}
		time.Sleep(startPollInterval)
	}
}

// awaitProof waits after the start until Freshness vouches for the configuration, and
// reports whether it does.
func (in *Ingress) awaitProof(ctx context.Context, now, timeout clock.Millis) bool {
	limit := min(in.openedAt+startWaitMillis, now+timeout*maxStartWaitShare)
	for in.Clock.Now() < limit && ctx.Err() == nil {
		time.Sleep(startPollInterval)
		if _, ok := in.Freshness.Check(); ok {
			return true
		}
	}
	return false
}

// awaitTargets waits for the first targets of a service and reports whether to pick
// again. A node that has just started learns of targets within a few tenths of a
// second; refusing calls until then would cost their callers a retry.
func (in *Ingress) awaitTargets(c *call, choice route.Choice) bool {
	now := in.Clock.Now()
	limit := min(in.openedAt+startWaitMillis, c.deadline-c.timeout+c.timeout*maxStartWaitShare)
	if choice.Reason != route.ReasonNoTargets || now >= limit || c.ctx.Err() != nil {
		return false
	}
	c.waitsForTargets = true
	time.Sleep(startPollInterval)
	return true
}
