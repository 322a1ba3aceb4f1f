package model

import (
	"errors"
	"fmt"
	"maps"

	"hickoryrail/core/ident"
	"hickoryrail/core/sets"
)

// Delta turns one release into a later one.
type Delta struct {
	// From and FromDigest name the release that the delta starts from.
	From       ident.Version
	FromDigest ident.Digest
	// To, EditID and ToDigest name the release that it leads to; To is above From.
	To       ident.Version
	EditID   ident.EditID
	ToDigest ident.Digest
	// Changes are the fields that differ.
	Changes []Change
}

var (
	// ErrBase reports a delta that starts from another release.
	ErrBase = errors.New("delta starts from another release")

	// errFields reports a delta that leaves fields without their element.
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

// Apply returns the later release. It returns ErrBase for another base, and an
// error if the result is not a whole, valid release with the expected digest.
func (d Delta) Apply(from Release) (Release, error) {
	if d.From != from.Version || d.FromDigest != from.Digest {
		return Release{}, ErrBase
	}
	if d.To <= d.From {
		return Release{}, fmt.Errorf("delta leads from version %d to %d", d.From, d.To)
	}
	configuration, err := d.change(from.Configuration)
	if err != nil {
		return Release{}, err
	}
	to := Release{Version: d.To, EditID: d.EditID, Digest: d.ToDigest, Configuration: configuration}
	if err := to.Check(); err != nil {
		return Release{}, err
	}
	return to, nil
}

// change applies the changes to the elements that they name; the others are taken
// over as they are.
func (d Delta) change(from Configuration) (Configuration, error) {
	named := sets.Of[string]()
	for _, c := range d.Changes {
		named.Add(elementOf(c.Field))
	}
	old, rest := from.partition(named)
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
	// The fields must be exactly those of the result: a field that no element has,
	// or a value in an unusual form, does not show in the digest.
	if !maps.Equal(f, flatten(changed)) {
		return Configuration{}, errFields
	}
	return rest.join(changed), nil
}
