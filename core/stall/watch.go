// Package stall provides the detection of connections that went silent.
package stall

import (
	"cmp"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// Probe sends an echo request on the connection.
	Probe Kind = iota
	// Close closes the connection; the action's calls end without an answer.
	Close
)

const (
	// DefaultProbeMillis stands for a ProbeMillis of 0.
	DefaultProbeMillis clock.Millis = 250
	// DefaultGiveUpMillis stands for a GiveUpMillis of 0.
	DefaultGiveUpMillis clock.Millis = 500
)

type (
	// ConnectionID names a connection; the transport never reuses one.
	ConnectionID uint64

	// Kind says what to do with a connection.
	Kind uint8

	// Action is what the transport does.
	Action struct {
		Kind       Kind
		Connection ConnectionID
		// Calls are those outstanding on a connection to close, in order of id.
		Calls []ident.RequestID
	}

	// Watch finds connections that went silent with calls outstanding. A slow
	// target does not count as silence while its node answers the echo. It is
	// not safe for concurrent use.
	Watch struct {
		// ProbeMillis is the silence that triggers an echo request.
		ProbeMillis clock.Millis
		// GiveUpMillis is the time without any byte after an echo request at
		// which the connection is closed.
		GiveUpMillis clock.Millis

		connections map[ConnectionID]*connection
	}

	// connection is the state of one connection that owes bytes.
	connection struct {
		// calls holds, for each outstanding call, the progress count at its start.
		calls map[ident.RequestID]uint64
		// progress counts the arrivals of bytes.
		progress uint64
		// silent is the start of the present silence. Only progress moves it: a
		// call that ends without an answer proves nothing about the connection.
		silent clock.Millis
		// probedAt is the instant of the unanswered echo request, if probed.
		probedAt clock.Millis
		probed   bool
		// looked is the instant of the last Tick while probed.
		looked clock.Millis
		// extended says that the wait for the echo was restarted after a pause.
		extended bool
	}
)

// Sent notes that a call was sent on a connection.
func (w *Watch) Sent(now clock.Millis, id ConnectionID, call ident.RequestID) {
	if w.connections == nil {
		w.connections = make(map[ConnectionID]*connection)
	}
	c := w.connections[id]
	if c == nil {
		c = &connection{calls: make(map[ident.RequestID]uint64), silent: now}
		w.connections[id] = c
	}
	c.calls[call] = c.progress
}

// Progress notes that bytes of any kind arrived on a connection, echoes
// included.
func (w *Watch) Progress(now clock.Millis, id ConnectionID) {
	c := w.connections[id]
	if c == nil {
		return
	}
	c.progress++
	c.silent, c.probed, c.extended = now, false, false
	if len(c.calls) == 0 {
		delete(w.connections, id)
	}
}

// Finished notes that a call ended, answered or not. If nothing arrived since
// the call was sent, the connection stays under watch.
func (w *Watch) Finished(id ConnectionID, call ident.RequestID) {
	c := w.connections[id]
	if c == nil {
		return
	}
	before, ok := c.calls[call]
	delete(c.calls, call)
	if ok && len(c.calls) == 0 && c.progress > before {
		delete(w.connections, id)
	}
}

// Closed forgets a connection that ended for another reason.
func (w *Watch) Closed(id ConnectionID) {
	delete(w.connections, id)
}

// Tick returns the actions that are due, in order of connection.
func (w *Watch) Tick(now clock.Millis) []Action {
	var out []Action
	for id, c := range w.connections {
		switch {
		case !c.probed && now-c.silent >= w.probeMillis():
			c.probed, c.probedAt, c.looked = true, now, now
			out = append(out, Action{Kind: Probe, Connection: id})
		case c.probed && w.expired(now, c):
			out = append(out, Action{Kind: Close, Connection: id, Calls: c.outstanding()})
			delete(w.connections, id)
		}
	}
	slices.SortFunc(out, func(a, b Action) int { return cmp.Compare(a.Connection, b.Connection) })
	return out
}

// expired reports whether an echo is overdue. If this process did not run for
// most of the wait, the echo may lie unread; the wait then starts again, once.
func (w *Watch) expired(now clock.Millis, c *connection) bool {
	paused := now-c.looked > w.giveUpMillis()/2
	c.looked = now
	if paused && !c.extended {
		c.probedAt, c.extended = now, true
	}
	return now-c.probedAt >= w.giveUpMillis()
}

// Next returns the instant of the next due Tick, or clock.Forever.
func (w *Watch) Next() clock.Millis {
	next := clock.Forever
	for _, c := range w.connections {
		due := c.silent + w.probeMillis()
		if c.probed {
			// Half of the wait, so that a pause of this process shows.
			due = min(c.looked+w.giveUpMillis()/2, c.probedAt+w.giveUpMillis())
		}
		next = min(next, due)
	}
	return next
}

// Watched returns the number of connections under watch.
func (w *Watch) Watched() int {
	return len(w.connections)
}

// outstanding returns the calls in order of id.
func (c *connection) outstanding() []ident.RequestID {
	out := make([]ident.RequestID, 0, len(c.calls))
	for call := range c.calls {
		out = append(out, call)
	}
	slices.Sort(out)
	return out
}

// probeMillis returns ProbeMillis or its default.
func (w *Watch) probeMillis() clock.Millis {
	if w.ProbeMillis <= 0 {
		return DefaultProbeMillis
	}
	return w.ProbeMillis
}

// giveUpMillis returns GiveUpMillis or its default.
func (w *Watch) giveUpMillis() clock.Millis {
	if w.GiveUpMillis <= 0 {
		return DefaultGiveUpMillis
	}
	return w.GiveUpMillis
}
