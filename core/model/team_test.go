package model

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/ident"
)

// drawTeams draws up to three teams that share seven keys.
func drawTeams(t *rapid.T) []Team {
	var teams []Team
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 2), 0, 3, rapid.ID[int]).Draw(t, "teams") {
		team := Team{Name: ident.TeamName([]string{"north", "a/b Name", "südost"}[i])}
		if team.HasClass = rapid.Bool().Draw(t, "has class"); team.HasClass {
			team.Class = Class(rapid.IntRange(0, 2).Draw(t, "class"))
		}
		team.RequestsPerSecond = rapid.SampledFrom([]float64{0, 0.1, 1e9}).Draw(t, "rate")
		team.BurstRequests = rapid.SampledFrom([]float64{0, 2}).Draw(t, "burst")
		teams = append(teams, team)
	}
	for key := range 7 {
		if owner := rapid.IntRange(-1, len(teams)-1).Draw(t, "owner"); owner >= 0 {
			teams[owner].Keys = append(teams[owner].Keys, DigestKey([]byte{byte(key)}))
		}
	}
	return teams
}

// teamsOf returns a number of teams with keys in all.
func teamsOf(teams, keys int) Configuration {
	var c Configuration
	for i := range teams {
		c.Rules.Teams = append(c.Rules.Teams, Team{Name: ident.TeamName(fmt.Sprintf("team-%03d", i)), RequestsPerSecond: 10})
	}
	for i := range keys {
		t := &c.Rules.Teams[i%teams]
		t.Keys = append(t.Keys, DigestKey(fmt.Appendf(nil, "key-%d", i)))
	}
	return c
}

// TestTeamValidation guards against teams that are accepted although a request could belong
// to two of them, or although they have no form in a header field, a delta or a cap.
func TestTeamValidation(t *testing.T) {
	key := DigestKey([]byte("k"))
	for name, c := range map[string]struct {
		teams []Team
		field string
	}{
		"valid":               {[]Team{{Name: "Praxis Süd / 7", Keys: []KeyDigest{key}, HasClass: true, Class: Browse, RequestsPerSecond: 0.5}}, ""},
		"no keys":             {[]Team{{Name: "a"}}, ""},
		"no name":             {[]Team{{}}, "Team//Name"},
		"name twice":          {[]Team{{Name: "a"}, {Name: "a"}}, "Team/a/Name"},
		"line feed in name":   {[]Team{{Name: "a\nb"}}, "Team/a\nb/Name"},
		"space at the end":    {[]Team{{Name: "a "}}, "Team/a /Name"},
		"long name":           {[]Team{{Name: ident.TeamName(strings.Repeat("a", 129))}}, "Team/" + strings.Repeat("a", 129) + "/Name"},
		"name not UTF-8":      {[]Team{{Name: "a\xff"}}, "Team/a\xff/Name"},
		"key of two teams":    {[]Team{{Name: "a", Keys: []KeyDigest{key}}, {Name: "b", Keys: []KeyDigest{key}}}, "Team/b/Keys"},
		"key twice in a team": {[]Team{{Name: "a", Keys: []KeyDigest{key, key}}}, "Team/a/Keys"},
		"class without flag":  {[]Team{{Name: "a", Class: Action}}, "Team/a/Class"},
		"unknown class":       {[]Team{{Name: "a", HasClass: true, Class: 3}}, "Team/a/Class"},
		"negative rate":       {[]Team{{Name: "a", RequestsPerSecond: -1}}, "Team/a/RequestsPerSecond"},
		"large burst":         {[]Team{{Name: "a", BurstRequests: 2e9}}, "Team/a/BurstRequests"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := NewRelease(1, "e", Configuration{Rules: Rules{Teams: c.teams}})
			faults, _ := err.(Faults)
			if c.field == "" {
				is.NoErr(err)
				return
			}
			is.Equal(len(faults), 1)
			is.Equal(faults[0].Field, c.field)
		})
	}
}

// TestChangedKeyIsSmallDelta guards against a delta that holds all keys of a team when one
// of them changes: each revocation would then cost every node megabytes.
func TestChangedKeyIsSmallDelta(t *testing.T) {
	is := is.New(t)
	const allKeys = 100_000
	from, err := NewRelease(1, "a", teamsOf(3, allKeys))
	is.NoErr(err)
	replaced, old := DigestKey([]byte("new")), DigestKey([]byte("key-7"))
	c := teamsOf(3, allKeys)
	team := &c.Rules.Teams[7%3]
	team.Keys[slices.Index(team.Keys, old)] = replaced
	to, err := NewRelease(2, "b", c)
	is.NoErr(err)
	d := MakeDelta(from, to)
	is.Equal(len(d.Changes), 2)
	body, err := encoder.Marshal(d)
	is.NoErr(err)
	is.True(len(body) < 500)
	got, err := d.Apply(from)
	is.NoErr(err)
	is.True(equal(got, to))
	allocations := testing.AllocsPerRun(3, func() { MakeDelta(from, to) })
	is.True(allocations < 100)
}

// TestMovedKey guards against a key that a delta leaves in its former team, or loses, when
// it moves to another one.
func TestMovedKey(t *testing.T) {
	is := is.New(t)
	c := teamsOf(2, 10)
	from, err := NewRelease(1, "a", c)
	is.NoErr(err)
	moved := teamsOf(2, 10)
	a, b := &moved.Rules.Teams[0], &moved.Rules.Teams[1]
	a.Keys, b.Keys = a.Keys[1:], append(b.Keys, a.Keys[0])
	to, err := NewRelease(2, "b", moved)
	is.NoErr(err)
	d := MakeDelta(from, to)
	is.Equal(len(d.Changes), 2)
	got, err := d.Apply(from)
	is.NoErr(err)
	is.True(equal(got, to))
}

// TestDeltaKeepsKeysOfNoTeam guards against a delta that removes a team but not all of its
// keys, and whose result silently lacks them.
func TestDeltaKeepsKeysOfNoTeam(t *testing.T) {
	is := is.New(t)
	from, err := NewRelease(1, "a", teamsOf(2, 10))
	is.NoErr(err)
	to, err := NewRelease(2, "b", Configuration{Rules: Rules{Teams: from.Configuration.Rules.Teams[1:]}})
	is.NoErr(err)
	d := MakeDelta(from, to)
	_, err = d.Apply(from)
	is.NoErr(err)
	d.Changes = slices.DeleteFunc(d.Changes, func(c Change) bool { return strings.Contains(c.Field, keyFieldPrefix) })
	_, err = d.Apply(from)
	is.True(err != nil)
}

// TestMergeOfKeys guards against two edits of different keys of one team that clash.
func TestMergeOfKeys(t *testing.T) {
	is := is.New(t)
	base, head, edited := teamsOf(1, 3), teamsOf(1, 3), teamsOf(1, 3)
	head.Rules.Teams[0].Keys[0] = DigestKey([]byte("x"))
	edited.Rules.Teams[0].Keys = edited.Rules.Teams[0].Keys[:2]
	merged, clashes := Merge(base, head, edited)
	is.Equal(len(clashes), 0)
	want := []KeyDigest{DigestKey([]byte("x")), DigestKey([]byte("key-1"))}
	slices.SortFunc(want, compareKeys)
	is.Equal(merged.Rules.Teams[0].Keys, want)
}

// TestReleaseWithoutTeams guards against a release without teams that is encoded with the
// fields of teams: a node of an earlier build refuses unknown fields.
func TestReleaseWithoutTeams(t *testing.T) {
	is := is.New(t)
	body := string(EncodeRelease(seedRelease(1, 1)))
	for _, field := range []string{"Teams", "Anonymous"} {
		is.True(!strings.Contains(body, field))
	}
}

// TestEachFieldMakesADelta guards against a release that differs in one field only and whose
// delta has no change, so that the field never changes on the nodes that get it.
func TestEachFieldMakesADelta(t *testing.T) {
	configuration := func() Configuration {
		c := seedRelease(1, 1).Configuration
		c.Rules.Routes = slices.Clone(c.Rules.Routes)
		c.Rules.Teams = teamsOf(1, 2).Rules.Teams
		return c
	}
	for name, change := range map[string]func(c *Configuration){
		"anonymous":  func(c *Configuration) { c.Rules.Routes[0].Anonymous = true },
		"has class":  func(c *Configuration) { c.Rules.Teams[0].HasClass = true },
		"class":      func(c *Configuration) { c.Rules.Teams[0].HasClass, c.Rules.Teams[0].Class = true, Browse },
		"rate":       func(c *Configuration) { c.Rules.Teams[0].RequestsPerSecond++ },
		"no rate":    func(c *Configuration) { c.Rules.Teams[0].RequestsPerSecond = 0 },
		"burst":      func(c *Configuration) { c.Rules.Teams[0].BurstRequests++ },
		"key":        func(c *Configuration) { c.Rules.Teams[0].Keys = c.Rules.Teams[0].Keys[:1] },
		"other name": func(c *Configuration) { c.Rules.Teams[0].Name = "x" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			from, err := NewRelease(1, "a", configuration())
			is.NoErr(err)
			changed := configuration()
			change(&changed)
			to, err := NewRelease(2, "b", changed)
			is.NoErr(err)
			is.True(from.Digest != to.Digest)
			got, err := MakeDelta(from, to).Apply(from)
			is.NoErr(err)
			is.True(equal(got, to))
		})
	}
}
