package grant

import (
	"cmp"
	"math"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

const (
	// leaseMillis is the time after the sending of a Request in which the tokens of its
	// Reply may be used, and advanceMillis the longest time for which a node asks in
	// advance. Nodes ask again before the end of the lease even if few requests arrive.
	leaseMillis   = 2 * clock.Second
	advanceMillis = 1200 * clock.Millis(1)
	// roundMillis is the shortest interval between Requests of a node for a team whose
	// demand is above its cap, so that such a team costs each node 10 messages/s.
	roundMillis = 100 * clock.Millis(1)
	// stockShare is the share of Overage and Slack by which the tokens that are free or
	// unused at nodes may exceed the burst. Nodes hold tokens in advance for up to a
	// second; without this share, they would reduce the burst.
	stockShare = 0.3
	// windowShare is the share of Overage and Slack by which the requests of a window and the
	// unused tokens may exceed the cap. Most of the unused tokens stay unused: nodes with few
	// requests each hold one. The rest is for changes of the coordinator.
	windowShare = 0.7
	// safeShare is the part of a node's equal share of the rate that it admits without a
	// coordinator. It covers the usual load of a team whose cap is 1.6 times its load. The
	// coordinator takes as much off the rate for each node that it does not reach.
	safeShare = 0.75
	// missingTolerance is the share of the rate for unreachable nodes that a coordinator
	// does not take off, so that one or two stopped nodes cost nothing.
	missingTolerance = 0.02
	// firstSlackShare is the share of Slack with which a new coordinator starts.
	firstSlackShare = 0.2
	// warmMillis is the time in which a new coordinator raises its rate from 0 to the
	// whole rate. Its predecessor may still hand out tokens to nodes that have not heard
	// of the change.
	warmMillis = 600 * clock.Millis(1)
	// maxLimit bounds rates and bursts, in requests/s and requests.
	maxLimit = 1 << 22
)

// Limits is the usage cap of a team.
type Limits struct {
	// Rate is in requests/s and above 0; Burst is in requests.
	Rate, Burst float64
}

// LimitsOf returns the usage cap of a team that has one. No fleet reaches maxLimit, so a
// higher cap is treated like that.
func LimitsOf(t *model.Team) Limits {
	return Limits{Rate: min(t.RequestsPerSecond, maxLimit), Burst: min(t.BurstRequests, maxLimit)}
}

// capacity returns the largest sum of free tokens and unused tokens at nodes.
func (c Config) capacity(l Limits) float64 {
	return max(l.Burst+stockShare*c.tolerance(l), 1)
}

// tolerance returns the requests by which a window may exceed the cap.
func (c Config) tolerance(l Limits) float64 {
	return c.Overage*(l.Rate*float64(c.WindowMillis/clock.Second)+l.Burst) + c.Slack
}

// decay returns the factor by which an exponentially weighted sum with the given time
// constant declines in d.
func decay(d, constant clock.Millis) float64 {
	if d <= 0 {
		return 1
	}
	return math.Exp(-float64(d / constant))
}

// hashOf returns a hash of a name.
func hashOf[T ~string](name T) uint64 {
	// FNV-1a; rank mixes the bits.
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return h
}

// rank returns the rank of a node for a team. The live node of the highest rank
// coordinates the team (rendezvous hashing, Thaler and Ravishankar 1998).
func rank(team, node uint64) uint64 {
	// Finalizer of SplitMix64.
	x := team ^ (node * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// teamIndex finds the caps of a release. It shares the list of the release.
type teamIndex struct {
	version ident.Version
	// teams are in order of name.
	teams []model.Team
}

// find returns the cap of a team, and false if the release has no cap for it.
func (x *teamIndex) find(name ident.TeamName) (Limits, bool) {
	i, ok := slices.BinarySearchFunc(x.teams, name, func(t model.Team, n ident.TeamName) int { return cmp.Compare(t.Name, n) })
	if !ok || !x.teams[i].Capped() {
		return Limits{}, false
	}
	return LimitsOf(&x.teams[i]), true
}
