package files

import (
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

const (
	// keysKey lists the access keys of a team, of which only the digests go into the
	// configuration, and digestsKey those digests.
	keysKey    = "Keys"
	digestsKey = "KeyDigests"
	classKey   = "Class"
	// allowedDigests describes the values of digestsKey.
	allowedDigests = "a list of digests of 32 hexadecimal digits"
)

// teamText is a team as Format writes it.
type teamText struct {
	Name              string
	KeyDigests        []string `toml:",omitempty"`
	Class             string   `toml:",omitempty"`
	RequestsPerSecond float64  `toml:",omitempty"`
	BurstRequests     float64  `toml:",omitempty"`
}

// team returns a team.
func (e *element) team() model.Team {
	t := model.Team{Name: ident.TeamName(e.text("Name"))}
	for _, key := range e.texts(keysKey, "a list of access keys") {
		t.Keys = append(t.Keys, model.DigestKey([]byte(key)))
	}
	for _, text := range e.texts(digestsKey, allowedDigests) {
		d, ok := model.ParseKeyDigest(text)
		if !ok {
			e.fault(digestsKey, allowedDigests)
			break
		}
		t.Keys = append(t.Keys, d)
	}
	e.listed = make(map[string][]string)
	for _, k := range t.Keys {
		e.listed[keysKey] = append(e.listed[keysKey], k.String())
	}
	if _, t.HasClass = e.values[classKey]; t.HasClass {
		t.Class = e.class(classKey)
	} else {
		e.decoded[classKey] = ""
		e.requested = append(e.requested, classKey)
	}
	t.RequestsPerSecond, t.BurstRequests = e.number("RequestsPerSecond"), e.number("BurstRequests")
	return t
}

// formatTeam returns the text form of a team.
func formatTeam(t *model.Team) teamText {
	out := teamText{Name: string(t.Name), RequestsPerSecond: t.RequestsPerSecond, BurstRequests: t.BurstRequests}
	for _, k := range t.Keys {
		out.KeyDigests = append(out.KeyDigests, k.String())
	}
	if t.HasClass {
		out.Class = t.Class.String()
	}
	return out
}
