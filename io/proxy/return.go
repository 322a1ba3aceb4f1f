package proxy

import (
	"hickoryrail/core/admit"
	"hickoryrail/core/result"
	"hickoryrail/core/route"
	"hickoryrail/io/wire"
)

// noRoomReasons holds the reasons of refusals for lack of room, after which a later try may
// find some.
var noRoomReasons = map[string]bool{
	admit.ReasonFull: true, admit.ReasonDisplaced: true, admit.ReasonWait: true, admit.ReasonGoal: true,
	admit.ReasonNoFreeSlot: true, admit.ReasonLimit: true, admit.ReasonLink: true, admit.ReasonTeamShare: true, route.ReasonExhausted: true,
}

// nameReturn sets the time after which the caller of a call that was refused for lack of room
// may return, if the configuration has teams or the targets of the service state their pace.
func (in *Ingress) nameReturn(c *call, resp *wire.Response) {
	if in.Returns == nil || !c.view.HasTeams() && !in.paceStated.Load() {
		return
	}
	now := in.Clock.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	switch {
	case !c.view.HasTeams() && !in.Picker.StatesPace(now, c.route.Service):
	case resp.Verdict != result.NotRun:
		in.Returns.Admitted(now, c.route.Service)
	case noRoomReasons[resp.Reason]:
		resp.RetryAfterMillis = in.Returns.Refused(now, c.route.Service, c.callerDeadline-now)
	}
}
