package admit

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// ReasonTeamShare is a refusal of a call of the team with the most waiting calls, in
	// favour of a team with fewer.
	ReasonTeamShare = "team has the most waiting calls in a full queue"

	// maxTeamTags bounds the teams whose tags are kept; those that are not behind the others
	// are dropped at the bound.
	maxTeamTags = 128
)

// teamOrder divides the starts of one rank among the teams whose calls wait, by start-time
// fair queueing (Goyal, Vin, Cheng 1996) with equal weights. The load that it answers is one
// team that presses many times its usual: the others get their share of the slots as if its
// calls were no more than theirs. Shares are measured in run time, not in calls. The zero
// value is ready for use.
type teamOrder struct {
	// virtual is the start tag of the last started call.
	virtual clock.Millis
	// finish holds the finish tag of each team's last started call.
	finish map[ident.TeamName]clock.Millis
}

// next returns the index of the call to start: the first one of the team with the lowest
// start tag. list is in order of goal and not empty. With one team it is the first call.
func (o *teamOrder) next(list []Call) int {
	best := 0
	for i := range list {
		if list[i].Team != list[best].Team && o.startTag(list[i].Team) < o.startTag(list[best].Team) {
			best = i
		}
	}
	return best
}

// startTag returns the tag of a team's next call. A team that did not wait has no credit.
func (o *teamOrder) startTag(team ident.TeamName) clock.Millis {
	return max(o.virtual, o.finish[team])
}

// started charges a team for a started call with its expected run time.
func (o *teamOrder) started(team ident.TeamName, run clock.Millis) {
	if team == "" && len(o.finish) == 0 {
		return // no team was seen, so that there is nothing to divide
	}
	if o.finish == nil {
		o.finish = make(map[ident.TeamName]clock.Millis)
	}
	o.virtual = o.startTag(team)
	o.finish[team] = o.virtual + run
	if len(o.finish) > maxTeamTags {
		o.dropIdle()
	}
}

// finished corrects the charge of a call that ran for took.
func (o *teamOrder) finished(team ident.TeamName, charged, took clock.Millis) {
	if tag, ok := o.finish[team]; ok {
		o.finish[team] = tag + took - charged
	}
}

// dropIdle removes the tags that no longer hold their team back.
func (o *teamOrder) dropIdle() {
	for team, tag := range o.finish {
		if tag <= o.virtual {
			delete(o.finish, team)
		}
	}
}

// ahead returns how many calls of a list start before c if it joins: those of its own team
// with an earlier goal, and as many of each other team at most, plus one.
func (o *teamOrder) ahead(list []Call, c *Call) int {
	own, several := 0, false
	for i := range list {
		if list[i].Team != c.Team {
			several = true
		} else if list[i].effectiveGoal() <= c.effectiveGoal() {
			own++
		}
	}
	if !several {
		return own
	}
	n := own
	for team, waiting := range countTeams(list) {
		if team != c.Team {
			n += min(waiting, own+1)
		}
	}
	return n
}

// displaced returns the index of the call that a call of a team may displace from a list: the
// last one of the team with the most calls, if that has at least two more than the other; -1
// if there is none.
func displaced(list []Call, team ident.TeamName) int {
	counts := countTeams(list)
	at := -1
	for i := range list {
		n := counts[list[i].Team]
		if n >= counts[team]+2 && (at < 0 || n >= counts[list[at].Team]) {
			at = i
		}
	}
	return at
}

// countTeams returns the number of calls of each team.
func countTeams(list []Call) map[ident.TeamName]int {
	counts := make(map[ident.TeamName]int)
	for i := range list {
		counts[list[i].Team]++
	}
	return counts
}
