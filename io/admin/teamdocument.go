package admin

import (
	"fmt"
	"strings"

	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

// TeamDocument is one team of a Document. It holds the digests of the team's access keys
// and never a key.
type TeamDocument struct {
	Name ident.TeamName
	// KeyDigests are in hexadecimal digits.
	KeyDigests []string `json:",omitempty"`
	// Class is empty if the team has no class of its own.
	Class             string  `json:",omitempty"`
	RequestsPerSecond float64 `json:",omitempty"`
	BurstRequests     float64 `json:",omitempty"`
}

// newTeamDocument returns the document of a team.
func newTeamDocument(t *model.Team) TeamDocument {
	d := TeamDocument{Name: t.Name, RequestsPerSecond: t.RequestsPerSecond, BurstRequests: t.BurstRequests}
	for _, k := range t.Keys {
		d.KeyDigests = append(d.KeyDigests, k.String())
	}
	if t.HasClass {
		d.Class = t.Class.String()
	}
	return d
}

// team returns the team of the document, or the faults in its class and its digests.
func (d *TeamDocument) team() (model.Team, model.Faults) {
	t := model.Team{Name: d.Name, RequestsPerSecond: d.RequestsPerSecond, BurstRequests: d.BurstRequests}
	var faults model.Faults
	if d.Class != "" {
		if t.Class, t.HasClass = model.ParseClass(d.Class); !t.HasClass {
			faults = append(faults, model.Fault{
				Field: fmt.Sprintf("Team/%s/Class", d.Name), Value: d.Class, Allowed: strings.Join(model.ClassNames(), ", "),
			})
		}
	}
	for i, text := range d.KeyDigests {
		k, ok := model.ParseKeyDigest(text)
		if !ok {
			// The value is left out, since it could be a key in place of its digest.
			faults = append(faults, model.Fault{
				Field: fmt.Sprintf("Team/%s/KeyDigests", d.Name), Value: fmt.Sprint("item ", i+1), Allowed: "digests of 32 hexadecimal digits",
			})
		}
		t.Keys = append(t.Keys, k)
	}
	return t, faults
}
