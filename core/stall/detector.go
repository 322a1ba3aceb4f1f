// Package stall detects connections that have stopped delivering bytes.
package stall

import (
	"cmp"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/option"
)

const (
	// Probe asks the transport to send an echo request on the connection.
	Probe Kind = iota
	// Close asks the transport to close the connection and to fail the action's
	// calls.
	Close
)

const (
	// DefaultProbeMillis is used if ProbeMillis is 0.
	DefaultProbeMillis clock.Millis = 250
	// DefaultGiveUpMillis is used if GiveUpMillis is 0.
	DefaultGiveUpMillis clock.Millis = 500
)

type (
	// ConnectionID identifies a connection; the transport never reuses one.
	ConnectionID uint64

	// Kind is the kind of an action.
	Kind uint8

	// Action is an instruction for the transport.
	Action struct {
		Kind       Kind
		Connection ConnectionID
		// Calls holds the outstanding calls of a connection to close, in order of id;
		// empty for Probe.
		Calls []ident.RequestID
	}

	// Detector detects connections that deliver no bytes while calls are outstanding.
	// A connection with a slow target is kept as long as the node replies to echo
	// requests. It is not safe for concurrent use.
	Detector struct {
		// ProbeMillis is the time without received bytes after which an echo request
		// is sent.
		ProbeMillis clock.Millis
		// GiveUpMillis is the time without received bytes after an echo request after
		// which the connection is closed.
		GiveUpMillis clock.Millis

		// connections holds the monitored connections.
		connections map[ConnectionID]*connection
	}

	// connection is the state of a connection on which bytes are expected.
	connection struct {
		// calls holds the value of progress at the start of each outstanding call.
		calls map[ident.RequestID]uint64
		// progress counts the calls of Progress.
		progress uint64
		// silentSince is the time of the last received bytes, or of the first call if
		// there were none. A call that ends without an answer does not change it, since
		// it does not show that the connection works.
		silentSince clock.Millis
		// probedAt is the time from which the wait for the echo is measured, if probed.
		probedAt clock.Millis
		probed   bool
		// lastTick is the time of the last Tick while probed.
		lastTick clock.Millis
		// extended reports whether the wait for the echo was restarted after a pause
		// of this process.
		extended bool
	}
)

// Sent records that a call was sent on a connection.
func (d *Detector) Sent(now clock.Millis, id ConnectionID, call ident.RequestID) {
	if d.connections == nil {
		d.connections = make(map[ConnectionID]*connection)
	}
	c := d.connections[id]
	if c == nil {
		c = &connection{calls: make(map[ident.RequestID]uint64), silentSince: now}
		d.connections[id] = c
	}
	c.calls[call] = c.progress
}

// Progress records that bytes of any kind arrived on a connection, echo replies
// included.
func (d *Detector) Progress(now clock.Millis, id ConnectionID) {
	c := d.connections[id]
	if c == nil {
		return
	}
	c.progress++
	c.silentSince, c.probed, c.extended = now, false, false
	if len(c.calls) == 0 {
		delete(d.connections, id)
	}
}

// Finished records that a call ended, with or without an answer. If nothing arrived
// since the call was sent, the connection remains monitored.
func (d *Detector) Finished(id ConnectionID, call ident.RequestID) {
	c := d.connections[id]
	if c == nil {
		return
	}
	progressAtStart, ok := c.calls[call]
	delete(c.calls, call)
	if ok && len(c.calls) == 0 && c.progress > progressAtStart {
		delete(d.connections, id)
	}
}

// Closed stops monitoring a connection that was closed for another reason.
func (d *Detector) Closed(id ConnectionID) {
	delete(d.connections, id)
}

// Tick returns the actions that are due, in order of connection.
func (d *Detector) Tick(now clock.Millis) []Action {
	var out []Action
	for id, c := range d.connections {
		switch {
		case !c.probed && now-c.silentSince >= d.probeMillis():
			c.probed, c.probedAt, c.lastTick = true, now, now
			out = append(out, Action{Kind: Probe, Connection: id})
		case c.probed && d.expired(now, c):
			out = append(out, Action{Kind: Close, Connection: id, Calls: c.outstanding()})
			delete(d.connections, id)
		}
	}
	slices.SortFunc(out, func(a, b Action) int { return cmp.Compare(a.Connection, b.Connection) })
	return out
}

// expired reports whether an echo is overdue. If this process did not run for more than
// half of the wait, the echo may have arrived without being read, so the wait is
// restarted once.
func (d *Detector) expired(now clock.Millis, c *connection) bool {
	paused := now-c.lastTick > d.giveUpMillis()/2
	c.lastTick = now
	if paused && !c.extended {
		c.probedAt, c.extended = now, true
	}
	return now-c.probedAt >= d.giveUpMillis()
}

// Next returns the instant of the next due Tick, or clock.Forever.
func (d *Detector) Next() clock.Millis {
	next := clock.Forever
	for _, c := range d.connections {
		due := c.silentSince + d.probeMillis()
		if c.probed {
			// At least two ticks per wait, so that expired notices a pause of this process.
			due = min(c.lastTick+d.giveUpMillis()/2, c.probedAt+d.giveUpMillis())
		}
		next = min(next, due)
	}
	return next
}

// Monitored returns the number of monitored connections.
func (d *Detector) Monitored() int {
	return len(d.connections)
}

// outstanding returns the outstanding calls in order of id.
func (c *connection) outstanding() []ident.RequestID {
	out := make([]ident.RequestID, 0, len(c.calls))
	for call := range c.calls {
		out = append(out, call)
	}
	slices.Sort(out)
	return out
}

// probeMillis returns ProbeMillis or its default.
func (d *Detector) probeMillis() clock.Millis {
	return option.OrDefault(d.ProbeMillis, DefaultProbeMillis)
}

// giveUpMillis returns GiveUpMillis or its default.
func (d *Detector) giveUpMillis() clock.Millis {
	return option.OrDefault(d.GiveUpMillis, DefaultGiveUpMillis)
}
