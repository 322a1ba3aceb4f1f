// Package grant divides the usage cap of each team among the nodes. A coordinator, chosen
// for each team by rendezvous hashing, hands out short-lived grants that follow the demand at
// each node; a node without a coordinator admits a fixed safe part of the cap.
package grant

import (
	"math"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// Request asks the coordinator of some teams for tokens, and reports how earlier ones
	// were used.
	Request Kind = iota
	// Reply answers a Request.
	Reply
)

const (
	// MaxEntries bounds the teams in a message. A message of that size has about 50 KB,
	// which is below the limit of control messages.
	MaxEntries = 512
	// maxTeamBytes bounds the name of a team in a message.
	maxTeamBytes = 256
	// maxCount bounds every count in a message, so that sums cannot overflow.
	maxCount = 1 << 24
	// maxRate bounds the rates in a message, in requests/s.
	maxRate = 1 << 24
)

type (
	// Config holds the settings of usage caps; the zero value turns them off.
	Config struct {
		// WindowMillis is the sliding window in which the requests of a team are counted.
		WindowMillis clock.Millis
		// Overage and Slack bound what a window may hold beyond the cap: the cap times
		// (1 + Overage), plus Slack requests.
		Overage, Slack float64
	}

	// Kind is the kind of a message.
	Kind uint8

	// Message is a control message between a node and a coordinator.
	Message struct {
		_    struct{} `cbor:",toarray"`
		Kind Kind
		// Run identifies the process that sent the Request, and Sequence increases with
		// each Request to one coordinator. A Reply repeats both.
		Run      uint64
		Sequence uint64
		// Version is the release that the sender of a Request holds.
		Version ident.Version
		// Asks are the entries of a Request and Grants those of a Reply.
		Asks   []Ask
		Grants []Grant
	}

	// Ask is the entry of one team in a Request.
	Ask struct {
		_    struct{} `cbor:",toarray"`
		Team ident.TeamName
		// RequestsPerSecond and BurstRequests are the cap in the sender's release.
		RequestsPerSecond, BurstRequests float64
		// Held is the number of unused tokens at the node, and Waiting the number of
		// requests there that wait for one.
		Held, Waiting uint32
		// Arrived counts the requests that arrived, Used the granted tokens that were
		// taken and Safe the requests that the safe part admitted, each since the last
		// Request that was answered. Tokens that were given back count as negative.
		Arrived    uint32
		Used, Safe int32
		// Demand is the rate at which requests arrive at the node, in requests/s; 0 if
		// the node expects no more requests.
		Demand float64
	}

	// Grant is the entry of one team in a Reply.
	Grant struct {
		_    struct{} `cbor:",toarray"`
		Team ident.TeamName
		// Tokens is the number of requests that the node may admit until the end of the
		// lease.
		Tokens uint32
		// HoldMillis is the time before which the node must not ask again: no token is
		// free for it earlier. SpreadMillis is the time after that within which the stock
		// can serve the requests that are refused now.
		HoldMillis, SpreadMillis clock.Millis
		// Warming is set while a new coordinator does not hand out the whole rate.
		Warming bool
		// Declined is set if the receiver of the Request does not coordinate the team.
		Declined bool
	}
)

// Enabled reports whether usage caps are enforced.
func (c Config) Enabled() bool {
	return c.WindowMillis > 0
}

// Valid reports whether all fields of the message are in range.
func (m *Message) Valid() bool {
	if m.Kind > Reply || len(m.Asks) > MaxEntries || len(m.Grants) > MaxEntries {
		return false
	}
	if m.Kind == Request && len(m.Grants) > 0 || m.Kind == Reply && len(m.Asks) > 0 {
		return false
	}
	for i := range m.Asks {
		if !m.Asks[i].valid() {
			return false
		}
	}
	for i := range m.Grants {
		if !m.Grants[i].valid() {
			return false
		}
	}
	return true
}

// valid reports whether all fields are in range.
func (a *Ask) valid() bool {
	return validTeam(a.Team) && inRange(a.RequestsPerSecond, maxRate) && a.RequestsPerSecond > 0 &&
		inRange(a.BurstRequests, maxCount) && inRange(a.Demand, maxRate) &&
		a.Held <= maxCount && a.Waiting <= maxCount && a.Arrived <= maxCount &&
		inRange(math.Abs(float64(a.Used)), maxCount) && inRange(math.Abs(float64(a.Safe)), maxCount)
}

// valid reports whether all fields are in range.
func (g *Grant) valid() bool {
	return validTeam(g.Team) && g.Tokens <= maxCount &&
		inRange(float64(g.HoldMillis), float64(clock.Minute)) && inRange(float64(g.SpreadMillis), float64(clock.Minute))
}

// validTeam reports whether a message may contain the name.
func validTeam(name ident.TeamName) bool {
	return name != "" && len(name) <= maxTeamBytes
}

// inRange reports whether v is from 0 to limit; it is false for NaN.
func inRange(v, limit float64) bool {
	return v >= 0 && v <= limit
}
