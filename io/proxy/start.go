package proxy

import (
	"context"
	"time"

	"hickoryrail/core/clock"
	"hickoryrail/core/route"
	"hickoryrail/core/view"
)

const (
	// startMillis is the time after the start in which a call waits for the first
	// configuration and for the first targets of its service, startShare the part of
	// its timeout that it waits at most, and startPoll the interval at which it looks.
	startMillis = 1 * clock.Second
	startShare  = 0.25
	startPoll   = 10 * time.Millisecond
)

// awaitView returns the view in force, for which it waits a moment; nil if there is
// none. A node that has just started has one within a few tenths of a second, and
// after a restart of the whole fleet callers that are refused use up their tries. The
// caller gives up after timeout.
func (in *Ingress) awaitView(ctx context.Context, now, timeout clock.Millis) *view.View {
	limit := min(in.opened+startMillis, now+timeout*startShare)
	for {
		if v := in.view.Load(); v != nil {
			return v
		}
		if in.Clock.Now() >= limit || ctx.Err() != nil {
			return nil
		}
		time.Sleep(startPoll)
	}
}

// awaitTargets waits a moment for the first targets of a service and reports whether
// to choose again. A node that has just started learns of targets within a few tenths
// of a second; refusing its callers until then would cost them a way back.
func (in *Ingress) awaitTargets(c *call, choice route.Choice) bool {
	now := in.Clock.Now()
	limit := min(in.opened+startMillis, c.deadline-c.timeout+c.timeout*startShare)
	if choice.Reason != route.ReasonNoTargets || now >= limit || c.ctx.Err() != nil {
		return false
	}
	c.waits = true
	time.Sleep(startPoll)
	return true
}
