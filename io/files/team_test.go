package files

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/model"
)

// teams are valid teams for the rules file.
const teams = `[[Teams]]
Name = "north"
Keys = ["k-1", # the portal's key
  "k-2"]
Class = "Check"
RequestsPerSecond = 12.5
BurstRequests = 30

[[Teams]]
Name = "south"
KeyDigests = ["00112233445566778899aabbccddeeff"]
`

// TestTeams guards against a team that is decoded incorrectly, or that changes when it is
// written and read again.
func TestTeams(t *testing.T) {
	is := is.New(t)
	c, err := parseText(inventory, rules+"Anonymous = true\n"+teams)
	is.NoErr(err)
	is.True(c.Rules.Routes[0].Anonymous)
	digest, _ := model.ParseKeyDigest("00112233445566778899aabbccddeeff")
	is.Equal(c.Rules.Teams, []model.Team{
		{
			Name: "north", Keys: []model.KeyDigest{model.DigestKey([]byte("k-1")), model.DigestKey([]byte("k-2"))},
			HasClass: true, Class: model.Check, RequestsPerSecond: 12.5, BurstRequests: 30,
		},
		{Name: "south", Keys: []model.KeyDigest{digest}},
	})
	i, r, err := Format(c)
	is.NoErr(err)
	is.True(!strings.Contains(string(r), "k-1"))
	again, err := parseText(string(i), string(r))
	is.NoErr(err)
	is.Equal(len(model.Diff(c, again)), 0)
}

// TestTeamFaults guards against a faulty team that is accepted, or reported without its
// line, and against a fault that shows an access key.
func TestTeamFaults(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"key of two teams": {
			"[[Teams]]\nName = \"a\"\nKeys = [\"secret\"]\n[[Teams]]\nName = \"b\"\nKeys = [\"secret\"]\n",
			`r.toml:6: Teams.Keys = [...] is not allowed; allowed: a key that is used once, by one team`,
		},
		"key and digest": {
			"[[Teams]]\nName = \"a\"\nKeys = [\"secret\"]\n[[Teams]]\nName = \"b\"\nKeyDigests = [\"2bb80d537b1da3e38bd30361aa855686\"]\n",
			`r.toml:4: Teams.Keys is missing or empty; allowed: a key that is used once, by one team`,
		},
		"key without a list": {
			"[[Teams]]\nName = \"a\"\nKeys = \"secret\"\n",
			`r.toml:3: Teams.Keys = [...] is not allowed; allowed: a list of access keys`,
		},
		"number as a key": {
			"[[Teams]]\nName = \"a\"\nKeys = [\"secret\", 7]\n",
			`r.toml:3: Teams.Keys = [...] is not allowed; allowed: a list of access keys`,
		},
		"empty key": {
			"[[Teams]]\nName = \"a\"\nKeys = [\"\"]\n",
			`r.toml:3: Teams.Keys = [...] is not allowed; allowed: a list of access keys`,
		},
		"key as a digest": {
			"[[Teams]]\nName = \"a\"\nKeyDigests = [\"secret\"]\n",
			`r.toml:3: Teams.KeyDigests = [...] is not allowed; allowed: a list of digests of 32 hexadecimal digits`,
		},
		"name twice": {
			"[[Teams]]\nName = \"a\"\n[[Teams]]\nName = \"a\"\n",
			`r.toml:4: Teams.Name = "a" is not allowed; allowed: a name that is used once`,
		},
		"negative rate": {
			"[[Teams]]\nName = \"a\"\nRequestsPerSecond = -0.5\n",
			`r.toml:3: Teams.RequestsPerSecond = -0.5 is not allowed; allowed: 0 to 1e9`,
		},
		"unknown class": {
			"[[Teams]]\nName = \"a\"\nClass = \"First\"\n",
			`r.toml:3: Teams.Class = "First" is not allowed; allowed: Check, Action, Browse`,
		},
		"unknown key of the table": {
			"[[Teams]]\nName = \"a\"\nRate = 1\n",
			`r.toml:3: Teams.Rate = 1 is not allowed; allowed: the keys Name, Keys, KeyDigests, Class, RequestsPerSecond, BurstRequests`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := parseText("", c.text)
			var faults Faults
			is.True(errors.As(err, &faults))
			is.Equal(faults.Error(), c.want)
		})
	}
}
