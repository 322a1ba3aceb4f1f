package model

import (
	"errors"
	"fmt"

	"hickoryrail/core/ident"
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

// ErrBase reports a delta that starts from another release.
var ErrBase = errors.New("delta starts from another release")

// MakeDelta returns the delta between two releases.
func MakeDelta(from, to Release) Delta {
	return Delta{
		From: from.Version, FromDigest: from.Digest,
		To: to.Version, EditID: to.EditID, ToDigest: to.Digest,
		Changes: Diff(from.Configuration, to.Configuration),
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
	f := flatten(from.Configuration)
	for _, c := range d.Changes {
		if f[c.Field] != c.Old {
			return Release{}, ErrBase
		}
		if c.New == "" {
			delete(f, c.Field)
		} else {
			f[c.Field] = c.New
		}
	}
	configuration, err := f.configuration()
	if err != nil {
		return Release{}, err
	}
	to := Release{Version: d.To, EditID: d.EditID, Digest: d.ToDigest, Configuration: configuration}
	return to, to.Check()
}
