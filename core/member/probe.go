package member

import (
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// helperCount is the number of neighbours that receive an IndirectProbe.
	helperCount = 2
	// maxRelays bounds the unanswered probes on behalf of other nodes.
	maxRelays = 32
)

type (
	// probe is an unanswered probe of a neighbour.
	probe struct {
		sequence uint64
		sentAt   clock.Millis
		// indirect is set once the indirect probes were requested.
		indirect bool
	}

	// relay is a probe on behalf of another node.
	relay struct {
		requester ident.NodeID
		sequence  uint64
		sentAt    clock.Millis
	}
)

// Tick runs the timers that are due and returns the messages to send.
func (t *Table) Tick(now clock.Millis) []Action {
	if t.self.State == Left {
		return nil
	}
	t.detectPause(now)
	t.expire(now)
	t.rings.update(t.ordered)
	out := t.checkProbes(now)
	out = append(out, t.startProbes(now)...)
	out = append(out, t.reconnect(now)...)
	if t.noticeDue && now >= t.nextNotice {
		out = append(out, t.notify(now)...)
	}
	return out
}

// detectPause handles a pause of the node's own process. Answers that arrived during
// the pause are still unread, so pending probes are dropped and sent again, and the
// timeouts of suspicions are extended by the pause.
func (t *Table) detectPause(now clock.Millis) {
	gap := now - t.lastTick
	t.lastTick = now
	if gap < t.config.PauseMillis {
		return
	}
	clear(t.probes)
	clear(t.relays)
	for _, m := range t.ordered {
		if m.record.State == Suspect {
			m.suspectedAt = min(m.suspectedAt+gap, now)
		}
		m.digestDiffersSince = 0
	}
	for i := range t.nextProbe {
		// Spreads the probes of the rings over the interval.
		t.nextProbe[i] = now + t.config.ProbeMillis*clock.Millis(i)/ringCount
	}
}

// startProbes probes the ring successors whose next probe is due.
func (t *Table) startProbes(now clock.Millis) []Action {
	var out []Action
	for i, m := range t.rings.successors {
		if now < t.nextProbe[i] {
			continue
		}
		t.nextProbe[i] = max(t.nextProbe[i]+t.config.ProbeMillis, now+t.config.ProbeMillis/2)
		if t.probes[m.record.Node] != nil {
			continue
		}
		t.lastProbe++
		t.probes[m.record.Node] = &probe{sequence: t.lastProbe, sentAt: now}
		out = append(out, t.send(Probe, m, t.lastProbe))
	}
	return out
}

// checkProbes probes members that did not answer in time once more, on a new connection
// and indirectly, and suspects members that did not answer that either. It also drops
// expired relays.
func (t *Table) checkProbes(now clock.Millis) []Action {
	var out []Action
	for _, m := range t.ordered {
		p := t.probes[m.record.Node]
		if p == nil {
			continue
		}
		waited := now - p.sentAt
		switch {
		case !p.indirect && waited >= t.config.TimeoutMillis:
			p.indirect = true
			again := t.send(Probe, m, p.sequence)
			again.Fresh = true
			out = append(out, again)
			out = append(out, t.requestIndirectProbes(m, p.sequence)...)
		case waited >= t.config.TimeoutMillis+t.config.IndirectMillis:
			delete(t.probes, m.record.Node)
			t.probeFailed(now, m)
		}
	}
	for sequence, r := range t.relays {
		if now-r.sentAt >= t.config.IndirectMillis {
			delete(t.relays, sequence)
		}
	}
	return out
}

// probeFailed records that the node's own probes of a member, direct and indirect,
// were not answered.
func (t *Table) probeFailed(now clock.Millis, m *member) {
	switch m.record.State {
	case Alive:
		t.suspect(now, m, m.record, t.self.Node, "no answer to a probe, direct or indirect")
	case Suspect:
		t.confirm(m, t.self.Node)
	case Dead, Left:
	}
}

// requestIndirectProbes asks randomly chosen other neighbours to probe a member.
func (t *Table) requestIndirectProbes(m *member, sequence uint64) []Action {
	helpers := slices.DeleteFunc(t.neighbours(), func(h *member) bool {
		return h == m || h.record.State != Alive
	})
	t.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	var out []Action
	for _, h := range helpers[:min(helperCount, len(helpers))] {
		a := t.send(IndirectProbe, h, sequence)
		a.Message.Target, a.Message.Address = m.record.Node, m.record.PeerAddress
		out = append(out, a)
	}
	return out
}

// relay probes a node on behalf of another node.
func (t *Table) relay(now clock.Millis, from ident.NodeID, m Message) []Action {
	if len(t.relays) >= maxRelays || m.Target == "" || m.Target == t.self.Node {
		return nil
	}
	t.lastProbe++
	t.relays[t.lastProbe] = relay{requester: from, sequence: m.Sequence, sentAt: now}
	return []Action{{To: m.Target, Address: m.Address, Message: t.message(Probe, m.Target, t.lastProbe)}}
}

// handleAck ends the probe that m answers, and passes the answer to a relayed probe
// on to its requester. An answer from a helper has the probed node as Target.
func (t *Table) handleAck(from ident.NodeID, m Message) []Action {
	target := from
	if m.Target != "" {
		target = m.Target
	}
	if p := t.probes[target]; p != nil && p.sequence == m.Sequence {
		delete(t.probes, target)
	}
	if r, ok := t.relays[m.Sequence]; ok && m.Target == "" {
		delete(t.relays, m.Sequence)
		a := t.reply(ProbeAck, r.requester, r.sequence)
		a.Message.Target = from
		return []Action{a}
	}
	return nil
}

// reconnect contacts one random dead member and one seed, so that the overlay becomes
// one again after a partition.
func (t *Table) reconnect(now clock.Millis) []Action {
	var out []Action
	if now >= t.nextRetry {
		t.nextRetry = now + t.jitter(t.config.RetryMillis)
		var dead []*member
		for _, m := range t.ordered {
			if m.record.State == Dead {
				dead = append(dead, m)
			}
		}
		if len(dead) > 0 {
			out = append(out, t.send(Probe, dead[t.random.IntN(len(dead))], 0))
		}
	}
	if now >= t.nextSeed {
		out = append(out, t.contactSeed(now)...)
	}
	return out
}

// contactSeed probes a seed that is not a live member. A node without members
// requests all records from the seed instead, at a shorter interval. Until joinUntil,
// records are requested from several seeds at once.
func (t *Table) contactSeed(now clock.Millis) []Action {
	if now < t.joinUntil {
		t.nextSeed = now + joinIntervalMillis
		return t.contactSeeds()
	}
	kind, interval := Probe, t.config.RetryMillis
	if len(t.rings.successors) == 0 {
		kind, interval = Sync, t.config.JoinMillis
	}
	t.nextSeed = now + t.jitter(interval)
	seed, ok := t.randomMissingSeed()
	if !ok {
		return nil
	}
	return []Action{{To: seed.Node, Address: seed.Address, Message: t.message(kind, seed.Node, 0)}}
}

// randomMissingSeed returns a random seed that is not a live member. Seeds that are
// live members are skipped: contacting them gains nothing, and a connection to a node
// that is not a neighbour costs a handshake.
func (t *Table) randomMissingSeed() (Seed, bool) {
	missing := t.missingSeeds()
	if len(missing) == 0 {
		return Seed{}, false
	}
	return missing[t.random.IntN(len(missing))], true
}

// missingSeeds returns the seeds that are not live members.
func (t *Table) missingSeeds() []Seed {
	var missing []Seed
	for _, s := range t.config.Seeds {
		m := t.members[s.Node]
		if s.Node != t.self.Node && (m == nil || !m.record.live()) {
			missing = append(missing, s)
		}
	}
	return missing
}

// jitter returns d changed at random by up to 25% up or down.
func (t *Table) jitter(d clock.Millis) clock.Millis {
	return d * clock.Millis(0.75+t.random.Float64()/2)
}
