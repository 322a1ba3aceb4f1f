package trial

import (
	"hickoryrail/core/canary"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// storeMillis is the time of a call to the store.
const storeMillis = 10 * clock.Millis(1)

type (
	// Store is the modelled store with one order and one status row.
	Store struct {
		// Down makes all calls fail without an effect, and Slow adds to their time.
		Down bool
		Slow clock.Millis
		// LosesAnswers makes writes take effect, after Slow, without an answer.
		LosesAnswers bool
		// History holds the status rows in the order in which they were written.
		History []canary.Status

		fleet   *Fleet
		era     ident.Era
		version ident.Revision
		order   *canary.Order
		status  canary.Status
		calls   int
	}
)

// Status returns the status row.
func (s *Store) Status() canary.Status { return s.status }

// Calls returns the number of calls about the status row.
func (s *Store) Calls() int { return s.calls }

// SetStatus sets the status row, as an earlier rollout left it.
func (s *Store) SetStatus(row canary.Status) {
	s.version++
	row.Revision = s.version
	s.status = row
}

// Restore replaces the status row by an older one and raises the era. The operators write
// their order again.
func (s *Store) Restore(row canary.Status) {
	s.era++
	s.version -= 2
	s.status = row
	if s.order != nil {
		s.version++
		o := *s.order
		o.Era, o.Revision = s.era, s.version
		s.order = &o
	}
	s.fleet.tellWatchers()
}

// read reads the status row for a node.
func (s *Store) read(h *Host, service ident.ServiceName) {
	s.calls++
	f := s.fleet
	f.After(storeMillis+s.Slow, func() {
		row, reply := s.status, canary.OK
		if s.Down || h.Refused {
			row, reply = canary.Status{}, canary.Failed
		}
		f.event(h, func() []canary.Action { return h.Node.StatusRead(f.Now, service, row, reply) })
	})
}

// write writes the status row for a node on condition of its revision.
func (s *Store) write(h *Host, service ident.ServiceName, row canary.Status) {
	s.calls++
	f := s.fleet
	lost := s.LosesAnswers
	answer := func(reply canary.Reply) {
		f.event(h, func() []canary.Action { return h.Node.StatusWritten(f.Now, service, reply) })
	}
	if lost {
		f.After(clock.Second, func() { answer(canary.Unknown) })
	}
	f.After(storeMillis+s.Slow, func() {
		reply := canary.OK
		switch {
		case s.Down || h.Refused:
			reply = canary.Failed
		case row.Revision != s.status.Revision:
			reply = canary.Conflict
		default:
			s.version++
			row.Revision = s.version
			s.status = row
			s.History = append(s.History, row)
			f.statusChanged(row)
		}
		if !lost {
			answer(reply)
		}
	})
}

// statusChanged makes the platform stop the targets that an outcome does not need.
func (f *Fleet) statusChanged(row canary.Status) {
	if r := &f.Result; row.Phase.Final() && r.EndAt == 0 {
		r.EndAt, r.EndNew, r.EndBad = f.Now, r.New, r.NewBad
	}
	f.After(storeMillis, func() {
		for _, t := range f.Targets {
			if row.Phase == canary.Completed && t.Software != row.To || row.Phase == canary.RolledBack && t.Software == row.To {
				t.Stopped = row.Phase == canary.Completed
			}
		}
		f.Changed()
	})
}
