package model

import (
	"errors"
	"fmt"
	"maps"

	"hickoryrail/core/ident"
	"hickoryrail/core/sets"
)

// Delta contains the changes that turn one release into a later one.
type Delta struct {
	// From and FromDigest identify the base release.
	From       ident.Version
	FromDigest ident.Digest
	// To, EditID and ToDigest identify the resulting release; To is above From.
	To       ident.Version
	EditID   ident.EditID
	ToDigest ident.Digest
	// Changes are the fields that differ.
	Changes []Change
}

var (
	// ErrBase reports a delta with another base release.
	ErrBase = errors.New("delta starts from another release")

	// errFields reports a delta whose result contains a field of no element, or a value
	// that is not in canonical form.
	errFields = errors.New("delta has a malformed or incomplete element")
)

// MakeDelta returns the delta between two releases.
func MakeDelta(from, to Release) Delta {
	old, later := differing(from.Configuration, to.Configuration)
	return Delta{
		From: from.Version, FromDigest: from.Digest,
		To: to.Version, EditID: to.EditID, ToDigest: to.Digest,
		Changes: Diff(old, later),
	}
}

// Apply returns the resulting release. It returns ErrBase if from is not the base
// release, and an error if the result is not a valid release with the digest ToDigest.
func (d Delta) Apply(from Release) (Release, error) {
	if d.From != from.Version || d.FromDigest != from.Digest {
		return Release{}, ErrBase
	}
	if d.To <= d.From {
		return Release{}, fmt.Errorf("delta leads from version %d to %d", d.From, d.To)
	}
	configuration, err := d.applyChanges(from.Configuration)
	if err != nil {
		return Release{}, err
	}
	to := Release{Version: d.To, EditID: d.EditID, Digest: d.ToDigest, Configuration: configuration}
	if err := to.Check(); err != nil {
		return Release{}, err
	}
	return to, nil
}

// applyChanges returns from with the changes applied to the elements that they name;
// the other elements are copied unchanged.
func (d Delta) applyChanges(from Configuration) (Configuration, error) {
	named := sets.Of[string]()
	for _, c := range d.Changes {
		named.Add(elementOf(c.Field))
	}
	old, rest := from.partition(named)
	kept := setAside(old.Rules.Teams, d.Changes)
	f := flatten(old)
	for _, c := range d.Changes {
		if f[c.Field] != c.Old {
			return Configuration{}, ErrBase
		}
		if c.New == "" {
			delete(f, c.Field)
		} else {
			f[c.Field] = c.New
		}
	}
	changed, err := f.configuration()
	if err != nil {
		return Configuration{}, err
	}
	// The fields must be exactly those of the result: the digest does not cover a field
	// that no element has, or a value that is not in canonical form.
	if !maps.Equal(f, flatten(changed)) {
		return Configuration{}, errFields
	}
	if !putBack(changed.Rules.Teams, kept) {
		return Configuration{}, errFields
	}
	return rest.join(changed), nil
}
