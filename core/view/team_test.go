package view

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

// keyText returns the text of an access key.
func keyText(i int) []byte {
	return fmt.Appendf(nil, "access-key-%d", i)
}

// viewOfTeams returns a view with a number of teams that have keys in turn.
func viewOfTeams(t testing.TB, teams, keys int) *View {
	t.Helper()
	var c model.Configuration
	for i := range teams {
		c.Rules.Teams = append(c.Rules.Teams, model.Team{Name: ident.TeamName(fmt.Sprint("team-", i))})
	}
	for i := range keys {
		team := &c.Rules.Teams[i%teams]
		team.Keys = append(team.Keys, model.DigestKey(keyText(i)))
	}
	r, err := model.NewRelease(1, "e", c)
	if err != nil {
		t.Fatal(err)
	}
	return Build(r, nil)
}

// TestTeamOfKey guards against a key that is found in another team or not at all, and an
// unknown key that is found in one. A lookup for each request must not allocate.
func TestTeamOfKey(t *testing.T) {
	is := is.New(t)
	const keys, teams = 100_000, 72
	v := viewOfTeams(t, teams, keys)
	is.True(v.HasTeams())
	for i := 0; i < keys; i += 997 {
		team := v.Team(model.DigestKey(keyText(i)))
		is.True(team != nil)
		is.Equal(team.Name, ident.TeamName(fmt.Sprint("team-", i%teams)))
	}
	is.True(v.Team(model.DigestKey([]byte("unknown"))) == nil)
	is.True(v.Team(model.KeyDigest{}) == nil)
	known, unknown := keyText(42), []byte("unknown")
	allocations := testing.AllocsPerRun(100, func() {
		v.Team(model.DigestKey(known))
		v.Team(model.DigestKey(unknown))
	})
	is.Equal(allocations, 0.0)
}

// TestViewWithoutTeams guards against a view that demands keys although there are no teams.
func TestViewWithoutTeams(t *testing.T) {
	is := is.New(t)
	v := Build(model.Release{}, nil)
	is.True(!v.HasTeams())
	is.True(v.Team(model.DigestKey([]byte("k"))) == nil)
	is.True(v.index.teams == nil)
}

// BenchmarkTeamOfKey measures the lookup of a key among 100,000.
func BenchmarkTeamOfKey(b *testing.B) {
	v, key := viewOfTeams(b, 72, 100_000), keyText(42)
	for b.Loop() {
		if v.Team(model.DigestKey(key)) == nil {
			b.Fatal("key is not found")
		}
	}
}
