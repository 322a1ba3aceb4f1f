package fresh

import (
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/feed"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

// role returns a node's part in following the store, as io/node decides it.
func (w *world) role(n *simNode) feed.Role {
	rank := 0
	for _, o := range w.nodes[:n.index] {
		if o.up && o.domain == n.domain {
			rank++
		}
	}
	switch {
	case rank == 0, n.substitute.Active(n.own(w.now)):
		return feed.Leader
	case rank < simWatchers, n.held == 0:
		return feed.Watcher
	}
	return feed.Reader
}

// step makes a node's next call to the store.
func (w *world) step(n *simNode) {
	n.holding, n.idle = false, false
	s := n.follower.Step(w.role(n))
	sent := n.own(w.now)
	if s.Kind == feed.Idle {
		n.idle = true
		return
	}
	if s.Kind == feed.Wait && s.HoldMillis > 5*clock.Second {
		n.holding = true
	} else if s.Kind == feed.Wait {
		if hold, ok := n.node.Hold(sent, s.HoldMillis); !ok {
			s = feed.Step{Kind: feed.Read}
		} else if s.HoldMillis > 0 {
			s.HoldMillis = hold
		}
	}
	n.call++
	w.calls++
	call, life := n.call, n.life
	finish := func(a feed.Answer, ok bool) {
		if n.call == call && n.life == life {
			w.answered(n, s, sent, a, ok)
		}
	}
	w.after(w.store.latency*clock.Millis(n.random.Float64()), nil, func() { w.serve(n, s, call, finish) })
}

// answered takes in the answer to a call, or its failure.
func (w *world) answered(n *simNode, s feed.Step, sent clock.Millis, a feed.Answer, ok bool) {
	now := n.own(w.now)
	var out feed.Outcome
	switch {
	case !ok:
		out = n.follower.Failed(0)
		n.substitute.Failed(now)
	case a.Position.Revision == 0:
		out = n.follower.RevisionUnknown(a.Position.Era)
	case s.Kind == feed.Read:
		out = n.follower.ReadDone(a)
	default:
		out = n.follower.WaitDone(now, a)
	}
	if ok && a.Position.Revision > 0 {
		if s.Kind == feed.Read || !out.Restored {
			w.send(n, n.node.Answered(now, Answer{
				Version: n.follower.Newest(), Unchanged: s.Kind == feed.Wait && a.Release.Version == 0, SentAt: sent, HoldMillis: s.HoldMillis, Era: a.Position.Era, StoreMillis: a.StoreMillis,
			}))
		}
		w.hold(n, a.Release.Version)
	}
	w.after(out.DelayMillis, n, func() { w.step(n) })
}

// serve handles a call at the store.
func (w *world) serve(n *simNode, s feed.Step, call int, finish func(feed.Answer, bool)) {
	back := func(a feed.Answer, ok bool) {
		w.after(w.store.latency*clock.Millis(w.rand.Float64()), n, func() { finish(a, ok) })
	}
	switch {
	case n.refused == silent || !w.store.up && w.rand.IntN(2) == 0:
		w.after(s.HoldMillis+simTimeout, n, func() { finish(feed.Answer{}, false) })
		return
	case n.refused == rejected || !w.store.up:
		back(feed.Answer{}, false)
		return
	case s.Kind == feed.Read:
		back(w.store.answer(w.now, true), true)
		return
	case s.After > w.store.revision:
		back(feed.Answer{Position: feed.Position{Era: w.store.era}}, true)
		return
	case w.store.written > s.After && w.now >= w.store.deafUntil:
		back(w.store.answer(w.now, true), true)
		return
	}
	wait := &simWait{node: n, call: call, life: n.life, after: s.After, reply: back}
	w.store.waiting = append(w.store.waiting, wait)
	w.after(s.HoldMillis, nil, func() {
		if !wait.done {
			wait.done = true
			back(w.store.answer(w.now, w.store.written > wait.after && w.now >= w.store.deafUntil), true)
		}
	})
}

// answer returns an answer with or without the release.
func (s *simStore) answer(now clock.Millis, withRelease bool) feed.Answer {
	a := feed.Answer{Position: feed.Position{Era: s.era, Revision: s.revision}, StoreMillis: clock.Millis(int64(now)) + 77_000*clock.Millis(s.era)}
	if withRelease {
		a.Release = model.Release{Version: s.version}
	}
	return a
}

// publish writes a newer release.
func (w *world) publish() {
	if !w.store.up {
		return
	}
	s := &w.store
	s.revision++
	s.version = max(s.version, ident.Version(len(s.acknowledged)-1)) + 1
	s.written = s.revision
	for len(s.acknowledged) <= int(s.version) {
		s.acknowledged = append(s.acknowledged, w.now)
	}
	w.wake()
}

// wake answers the waits for a change, unless the store hears of none.
func (w *world) wake() {
	s := &w.store
	if w.now < s.deafUntil {
		return
	}
	kept := s.waiting[:0]
	for _, wait := range s.waiting {
		switch {
		case wait.done:
		case s.written > wait.after:
			wait.done = true
			wait.reply(s.answer(w.now, true), true)
		default:
			kept = append(kept, wait)
		}
	}
	s.waiting = kept
}

// fail makes all held calls fail.
func (w *world) fail() {
	for _, wait := range w.store.waiting {
		if !wait.done {
			wait.done = true
			wait.reply(feed.Answer{}, false)
		}
	}
	w.store.waiting = nil
}

// restore brings the store back from a copy that lacks the newest release, which the
// operators write again some time later.
func (w *world) restore() {
	s := &w.store
	w.fail()
	s.era++
	if s.version > 1 {
		if !slices.ContainsFunc(w.nodes, func(n *simNode) bool { return n.up && n.node.proofs.top >= s.version }) {
			s.acknowledged[s.version] = clock.Forever // nothing can know of it any more
		}
		s.version--
	}
	s.revision -= min(s.revision-1, 3)
	s.written = min(s.written, s.revision)
	w.after(clock.Millis(1000+w.rand.IntN(5000)), nil, w.publish)
}
