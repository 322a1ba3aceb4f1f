package model

import (
	"math"
	"unicode/utf8"

	"hickoryrail/core/sets"
)

const (
	// maxTeamNameBytes bounds the length of a team's name, which each of its requests
	// carries to the target.
	maxTeamNameBytes = 128
	// MaxTeamRequests bounds a team's requests per second and its burst.
	MaxTeamRequests = 1e9
)

// checkTeams checks the teams and that no two of them have the same key.
func (k *checker) checkTeams(teams []Team) {
	names := sets.Of[string]()
	total := 0
	for i := range teams {
		total += len(teams[i].Keys)
	}
	keys := make(map[KeyDigest]struct{}, total)
	for i := range teams {
		t := &teams[i]
		k.kind, k.name = teamKind, string(t.Name)
		require(k, ValidTeamName(string(t.Name)), nameField, t.Name, "1 to 128 printable characters without a space at either end")
		k.requireOnce(names, string(t.Name))
		require(k, int(t.Class) < len(classNames) && (t.HasClass || t.Class == 0), "Class", t.Class, allowedClasses)
		require(k, validRequests(t.RequestsPerSecond), "RequestsPerSecond", t.RequestsPerSecond, "0 to 1e9")
		require(k, validRequests(t.BurstRequests), "BurstRequests", t.BurstRequests, "0 to 1e9")
		for _, key := range t.Keys {
			_, used := keys[key]
			require(k, !used, "Keys", key, "a key that is used once, by one team")
			keys[key] = struct{}{}
		}
	}
}

// validRequests reports whether n is a valid number of requests. The negative zero is not:
// it equals 0 but has another encoding.
func validRequests(n float64) bool {
	return n >= 0 && n <= MaxTeamRequests && !math.Signbit(n)
}

// ValidTeamName reports whether name is a valid name of a team. Unlike the names of other
// elements it is sent to targets in a header field, exactly as the operators have written
// it, and so may have other characters.
func ValidTeamName(name string) bool {
	if name == "" || len(name) > maxTeamNameBytes || !utf8.ValidString(name) {
		return false
	}
	for _, c := range []byte(name) {
		if c < ' ' || c == 0x7f {
			return false
		}
	}
	return name[0] != ' ' && name[len(name)-1] != ' '
}
