package trial

import (
	"hickoryrail/core/canary"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// Kill ends the process of a node and the target beside it.
func (f *Fleet) Kill(h *Host) {
	h.Down = true
	if h.Target != nil {
		h.Target.Stopped = true
	}
	f.Changed()
}

// Pause stops the process of a node for a time.
func (f *Fleet) Pause(h *Host, d clock.Millis) {
	h.PausedUntil = f.Now + d
}

// Decider returns the node that announced the state last, as most nodes know it.
func (f *Fleet) Decider() *Host {
	votes := make(map[ident.NodeID]int)
	var most *Host
	for _, h := range f.Nodes {
		id := h.Node.Decider(Service)
		votes[id]++
		if id != "" && (most == nil || votes[id] > votes[most.ID]) {
			most = f.byID[id]
		}
	}
	return most
}

// CutOff separates some nodes from all others until Heal.
func (f *Fleet) CutOff(hosts ...*Host) {
	apart := make(map[ident.NodeID]bool)
	for _, h := range hosts {
		apart[h.ID] = true
	}
	f.Cut = func(from, to ident.NodeID) bool { return apart[from] != apart[to] }
}

// Heal ends CutOff.
func (f *Fleet) Heal() {
	f.Cut = nil
}

// Withdraw removes the order.
func (f *Fleet) Withdraw() {
	f.Store.version++
	f.Store.order = nil
	f.tellWatchers()
}

// Relabel publishes the software version of a target that was replaced.
func (f *Fleet) Relabel(t *Target) {
	f.event(t.host, func() []canary.Action { return nil })
}
