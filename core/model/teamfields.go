package model

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"hickoryrail/core/ident"
)

const (
	// teamKind is the kind of teams, which field names start with.
	teamKind = "Team"
	// keyFieldPrefix starts the name of the field of one key, which its digest follows. A
	// key is a field of its own, so that a changed key is a small change of a large team.
	keyFieldPrefix = "Key-"
	// keyFieldValue is the value of the field of a key.
	keyFieldValue = "true"
)

// errKeyField reports a field of a key whose name has no digest.
var errKeyField = errors.New("name of a key's field has no digest")

// String returns the digest in hexadecimal digits.
func (d KeyDigest) String() string {
	return hex.EncodeToString(d[:])
}

// ParseKeyDigest parses the text that String returns.
func ParseKeyDigest(text string) (KeyDigest, bool) {
	var d KeyDigest
	if len(text) != hex.EncodedLen(len(d)) {
		return KeyDigest{}, false
	}
	_, err := hex.Decode(d[:], []byte(text))
	return d, err == nil
}

// compareKeys orders digests.
func compareKeys(a, b KeyDigest) int { return bytes.Compare(a[:], b[:]) }

// teamName returns a team's name.
func teamName(t *Team) string { return string(t.Name) }

// equalTeams reports whether two teams with sorted keys are equal.
func equalTeams(a, b *Team) bool {
	return a.Name == b.Name && a.HasClass == b.HasClass && a.Class == b.Class &&
		a.RequestsPerSecond == b.RequestsPerSecond && a.BurstRequests == b.BurstRequests &&
		slices.Equal(a.Keys, b.Keys)
}

// sortedTeams returns the teams in order of name with their keys in ascending order. The
// result is list itself if it is in order already.
func sortedTeams(list []Team) []Team {
	out := sortedByName(list, teamName)
	for i := range out {
		if slices.IsSortedFunc(out[i].Keys, compareKeys) {
			continue
		}
		if len(list) > 0 && &out[0] == &list[0] {
			out = slices.Clone(list)
		}
		out[i].Keys = slices.Clone(out[i].Keys)
		slices.SortFunc(out[i].Keys, compareKeys)
	}
	return out
}

// dropCommonKeys removes the keys that teams of the same name in both lists have in
// common. Both lists are in order of name.
func dropCommonKeys(a, b []Team) {
	for i := range a {
		j, found := slices.BinarySearchFunc(b, a[i].Name, func(t Team, n ident.TeamName) int {
			return strings.Compare(string(t.Name), string(n))
		})
		if found {
			a[i].Keys, b[j].Keys = differingKeys(a[i].Keys, b[j].Keys)
		}
	}
}

// differingKeys returns the keys of each list that the other one does not have. Both
// lists are in ascending order.
func differingKeys(a, b []KeyDigest) (onlyA, onlyB []KeyDigest) {
	for len(a) > 0 && len(b) > 0 {
		order := compareKeys(a[0], b[0])
		if order < 0 {
			onlyA = append(onlyA, a[0])
		}
		if order > 0 {
			onlyB = append(onlyB, b[0])
		}
		if order <= 0 {
			a = a[1:]
		}
		if order >= 0 {
			b = b[1:]
		}
	}
	return append(onlyA, a...), append(onlyB, b...)
}

// keyOf returns the digest that a field's name contains; false for a field that is not
// that of a key.
func keyOf(field string) (KeyDigest, bool) {
	text, found := strings.CutPrefix(field[strings.LastIndexByte(field, '/')+1:], keyFieldPrefix)
	if !found || !strings.HasPrefix(field, teamKind+"/") {
		return KeyDigest{}, false
	}
	return ParseKeyDigest(text)
}

// setAside removes from teams the keys that no change names and returns them by team. It
// keeps the cost of applying a delta proportional to its changes rather than to the keys
// of the teams that it changes. The lists of keys are replaced and not modified.
func setAside(teams []Team, changes []Change) map[ident.TeamName][]KeyDigest {
	if len(teams) == 0 {
		return nil
	}
	named := make(map[KeyDigest]bool)
	for _, c := range changes {
		if d, ok := keyOf(c.Field); ok {
			named[d] = true
		}
	}
	kept := make(map[ident.TeamName][]KeyDigest, len(teams))
	for i := range teams {
		t := &teams[i]
		rest := make([]KeyDigest, 0, len(t.Keys))
		var touched []KeyDigest
		for _, k := range t.Keys {
			if named[k] {
				touched = append(touched, k)
			} else {
				rest = append(rest, k)
			}
		}
		if len(rest) > 0 {
			kept[t.Name] = rest
		}
		t.Keys = touched
	}
	return kept
}

// putBack adds to teams the keys that setAside has removed. It returns false if one of
// their teams is missing.
func putBack(teams []Team, kept map[ident.TeamName][]KeyDigest) bool {
	found := 0
	for i := range teams {
		t := &teams[i]
		rest, ok := kept[t.Name]
		if !ok {
			continue
		}
		found++
		t.Keys = append(rest, t.Keys...)
		slices.SortFunc(t.Keys, compareKeys)
	}
	return found == len(kept)
}

// setTeam sets the fields of a team. Optional fields without a value are left out.
func (f fields) setTeam(t *Team) {
	name := string(t.Name)
	f.set(teamKind, name, nameField, name)
	if t.HasClass {
		f.set(teamKind, name, "Class", t.Class.String())
	}
	if t.RequestsPerSecond != 0 {
		f.set(teamKind, name, "RequestsPerSecond", formatNumber(t.RequestsPerSecond))
	}
	if t.BurstRequests != 0 {
		f.set(teamKind, name, "BurstRequests", formatNumber(t.BurstRequests))
	}
	for _, k := range t.Keys {
		f.set(teamKind, name, keyFieldPrefix+k.String(), keyFieldValue)
	}
}

// appendTeam parses the fields of a team, except those of its keys, and appends it to c.
func (f fields) appendTeam(c *Configuration, element, name string) error {
	t := Team{Name: ident.TeamName(name)}
	var err error
	if text, ok := f[element+"/Class"]; ok {
		if t.Class, t.HasClass = ParseClass(text); !t.HasClass {
			return fmt.Errorf("unknown class %q", text)
		}
	}
	if t.RequestsPerSecond, err = parseNumber(f[element+"/RequestsPerSecond"]); err != nil {
		return err
	}
	if t.BurstRequests, err = parseNumber(f[element+"/BurstRequests"]); err != nil {
		return err
	}
	c.Rules.Teams = append(c.Rules.Teams, t)
	return nil
}

// addKeys parses the fields of the keys of all teams and adds them to c's teams.
func (f fields) addKeys(c *Configuration) error {
	if len(c.Rules.Teams) == 0 {
		return nil
	}
	teams := make(map[string]*Team, len(c.Rules.Teams))
	for i := range c.Rules.Teams {
		teams[teamKind+"/"+string(c.Rules.Teams[i].Name)] = &c.Rules.Teams[i]
	}
	for field := range f {
		t := teams[elementOf(field)]
		if t == nil || !strings.HasPrefix(field[len(elementOf(field))+1:], keyFieldPrefix) {
			continue
		}
		d, ok := keyOf(field)
		if !ok {
			return fmt.Errorf("%s: %w", field, errKeyField)
		}
		t.Keys = append(t.Keys, d)
	}
	return nil
}

// formatNumber returns the shortest decimal text that parses to the same value.
func formatNumber(n float64) string {
	return strconv.FormatFloat(n, 'f', -1, 64)
}

// parseNumber parses the text that formatNumber returns; empty text means 0.
func parseNumber(text string) (float64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseFloat(text, 64)
}
