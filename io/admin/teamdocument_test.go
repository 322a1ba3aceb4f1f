package admin

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

// drawTeam draws a team, which need not be valid.
func drawTeam(t *rapid.T) model.Team {
	team := model.Team{
		Name:              ident.TeamName(rapid.StringMatching(`[a-z /]{0,5}`).Draw(t, "team")),
		RequestsPerSecond: rapid.Float64Range(0, 9).Draw(t, "rate"), BurstRequests: rapid.Float64Range(0, 9).Draw(t, "burst"),
	}
	if team.HasClass = rapid.Bool().Draw(t, "has class"); team.HasClass {
		team.Class = model.Class(rapid.IntRange(0, 2).Draw(t, "class"))
	}
	for _, key := range rapid.SliceOf(rapid.Byte()).Draw(t, "keys") {
		team.Keys = append(team.Keys, model.DigestKey([]byte{key}))
	}
	return team
}

// TestTeamDocumentFaults guards against a team that loses its class or a key because the
// document states it in another form, and against a fault that shows a key.
func TestTeamDocumentFaults(t *testing.T) {
	is := is.New(t)
	d := TeamDocument{Name: "a", Class: "urgent", KeyDigests: []string{"secret", strings.Repeat("0", 32)}}
	_, faults := d.team()
	is.Equal(len(faults), 2)
	is.True(!strings.Contains(faults.Error(), "secret"))
}
