package grant

import (
	"math/rand/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

// pauseMillis is the shortest gap between two ticks that counts as a pause of the process.
// Another node may have become the coordinator in the meantime.
const pauseMillis = 1500 * clock.Millis(1)

// Kinds of events.
const (
	// CoordinatorChanged means that a team in use has another coordinator.
	CoordinatorChanged EventKind = iota
	// CoordinatorSilent means that a coordinator does not answer, so that the safe part
	// decides on the requests of its teams.
	CoordinatorSilent
	// CoordinatorAnswers means that a silent coordinator has answered.
	CoordinatorAnswers
)

type (
	// EventKind is the kind of an event.
	EventKind uint8

	// Event is a change that operators should see.
	Event struct {
		Kind EventKind
		// Team is set for CoordinatorChanged.
		Team ident.TeamName
		// Node is the coordinator.
		Node ident.NodeID
	}

	// Action is a message to another node.
	Action struct {
		To      ident.NodeID
		Address string
		Message Message
	}

	// Agent decides on the requests of teams at one node, and coordinates some teams for
	// all nodes. It performs no I/O and is not safe for concurrent use. After each call
	// the caller must perform Actions and pass on Results.
	Agent struct {
		members     members
		node        node
		coordinator coordinator
		// tickedAt is the time of the last tick; 0 before the first.
		tickedAt clock.Millis
	}
)

// NewAgent returns the agent of a node. run must differ between the processes of a node. now
// and all later times are of one clock that also counts the time in which the machine is
// suspended.
func NewAgent(now clock.Millis, c Config, self ident.NodeID, run uint64, random *rand.Rand) *Agent {
	a := &Agent{members: members{self: self, selfHash: hashOf(self), startedAt: now}}
	a.node = node{
		config: c, members: &a.members, random: random, run: run, sweptAt: now,
		usages: make(map[ident.TeamName]*usage), links: make(map[ident.NodeID]*link),
	}
	a.coordinator = coordinator{config: c, members: &a.members, random: random, sweptAt: now, pools: make(map[ident.TeamName]*pool)}
	return a
}

// SetMembers replaces the live members, this node included; known is the number of all that
// may be live, also if this node takes them for dead or has not heard of them yet.
func (a *Agent) SetMembers(now clock.Millis, live []Member, known int) {
	startedAt := a.members.startedAt
	changed := a.members.set(now, live, known)
	if a.members.startedAt != startedAt {
		a.coordinator.reset() // another node may have coordinated the same teams
	}
	if changed {
		a.coordinator.membersChanged()
		a.node.membersChanged(now)
		a.deliverOwn(now)
	}
}

// SetUnreached sets the number of live members that probably have no contact with this node.
func (a *Agent) SetUnreached(n int) {
	a.members.unreached = n
}

// SetTeams replaces the caps by those of a release; the list must not change.
func (a *Agent) SetTeams(version ident.Version, teams []model.Team) {
	a.node.version = version
	a.coordinator.teams = teamIndex{version: version, teams: teams}
}

// Reset makes this node start like a new coordinator, because other nodes took it for
// dead.
func (a *Agent) Reset(now clock.Millis) {
	a.members.startedAt = now
	a.coordinator.reset()
}

// Take decides on a request of a team.
func (a *Agent) Take(now clock.Millis, team ident.TeamName, l Limits) Decision {
	d := a.node.take(now, team, l)
	if len(a.node.actions) > 0 {
		a.deliverOwn(now)
	}
	if d.Outcome != Waiting {
		return d
	}
	for i, r := range a.node.results {
		if r.Ticket == d.Ticket {
			a.node.results = append(a.node.results[:i], a.node.results[i+1:]...)
			return r.Decision
		}
	}
	return d
}

// Return takes back the count of a request that has not reached a target.
func (a *Agent) Return(now clock.Millis, team ident.TeamName) {
	if u := a.node.usages[team]; u != nil {
		u.giveBack(now)
	}
}

// Cancel withdraws a waiting request. Its Result may have been passed on already.
func (a *Agent) Cancel(team ident.TeamName, ticket uint64) {
	a.node.cancel(team, ticket)
}

// Receive handles a message of another node.
func (a *Agent) Receive(now clock.Millis, from Member, m *Message) {
	if m.Kind == Request {
		reply := a.coordinator.request(now, from.Node, m)
		a.node.actions = append(a.node.actions, Action{To: from.Node, Address: from.Address, Message: reply})
		return
	}
	a.node.reply(now, from.Node, m)
	a.deliverOwn(now)
}

// Tick runs the timers; the interval between two calls should be a few tens of
// milliseconds.
func (a *Agent) Tick(now clock.Millis) {
	if a.tickedAt > 0 && now-a.tickedAt >= pauseMillis {
		a.Reset(now)
	}
	a.tickedAt = now
	a.coordinator.tick(now)
	a.node.tick(now)
	a.deliverOwn(now)
}

// deliverOwn handles the messages to this node itself.
func (a *Agent) deliverOwn(now clock.Millis) {
	for i := 0; i < len(a.node.actions); {
		action := a.node.actions[i]
		if action.To != a.members.self {
			i++
			continue
		}
		a.node.actions = append(a.node.actions[:i], a.node.actions[i+1:]...)
		if action.Message.Kind == Request {
			reply := a.coordinator.request(now, a.members.self, &action.Message)
			a.node.reply(now, a.members.self, &reply)
		}
	}
}

// Pending reports whether there are messages, results or events since the last calls of
// Actions, Results and Events.
func (a *Agent) Pending() bool {
	return len(a.node.actions)+len(a.node.results)+len(a.node.events) > 0
}

// Actions returns the messages to send since the last call.
func (a *Agent) Actions() []Action {
	out := a.node.actions
	a.node.actions = nil
	return out
}

// Results returns the decisions about waiting requests since the last call.
func (a *Agent) Results() []Result {
	out := a.node.results
	a.node.results = nil
	return out
}

// Events returns the changes since the last call.
func (a *Agent) Events() []Event {
	out := a.node.events
	a.node.events = nil
	return out
}

// Granted returns the number of tokens that this node has handed out as a coordinator.
func (a *Agent) Granted() uint64 {
	return a.coordinator.granted
}

// Teams returns the number of teams with state at this node, as a node and as a
// coordinator.
func (a *Agent) Teams() (used, coordinated int) {
	return len(a.node.usages), len(a.coordinator.pools)
}

// Coordinates reports whether this node has the state of a team as its coordinator.
func (a *Agent) Coordinates(team ident.TeamName) bool {
	return a.coordinator.pools[team] != nil
}
