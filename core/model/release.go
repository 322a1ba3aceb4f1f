package model

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"hickoryrail/core/codec"
	"hickoryrail/core/ident"
)

// Release is an accepted configuration with its version.
type Release struct {
	// Version is at least 1.
	Version ident.Version
	// EditID identifies the edit that became this release.
	EditID ident.EditID
	// Digest is the digest of Configuration.
	Digest ident.Digest
	// Configuration is valid; NewRelease puts its lists in order of name.
	Configuration Configuration
}

var (
	// ErrDigest reports a release whose configuration does not match its digest.
	ErrDigest = errors.New("configuration does not match the release's digest")

	// encoder encodes equal values as the same bytes.
	encoder = codec.NewEncoder()
	// decoder rejects unknown fields, duplicate keys and trailing bytes.
	decoder = codec.NewDecoder(codec.Limits{})
)

// NewRelease returns the release of a configuration, or Faults if it is invalid.
func NewRelease(v ident.Version, edit ident.EditID, c Configuration) (Release, error) {
	if err := c.Validate(); err != nil {
		return Release{}, err
	}
	c = c.sorted()
	return Release{Version: v, EditID: edit, Digest: c.Digest(), Configuration: c}, nil
}

// Digest returns the digest of the canonical encoding. It doesn't depend on the order
// of services, failure domains, routes, teams and keys.
func (c Configuration) Digest() ident.Digest {
	body, err := encoder.Marshal(c.sorted())
	if err != nil {
		panic(err) // every field of Configuration has an encoding
	}
	return ident.Sum(body)
}

// sorted returns c with its lists in order of name. Lists that are in order already
// are shared with c.
func (c Configuration) sorted() Configuration {
	return Configuration{
		Inventory: Inventory{
			FailureDomains: sortedByName(c.Inventory.FailureDomains, domainName),
			Services:       sortedByName(c.Inventory.Services, serviceName),
		},
		Rules: Rules{
			Routes: sortedByName(c.Rules.Routes, routeName), Callers: c.Rules.Callers,
			Teams: sortedTeams(c.Rules.Teams),
		},
	}
}

// sortedByName returns the elements in order of name. The result is list itself if it is
// in order already, and otherwise a copy.
func sortedByName[E any](list []E, name func(*E) string) []E {
	byName := func(a, b E) int { return cmp.Compare(name(&a), name(&b)) }
	if slices.IsSortedFunc(list, byName) {
		return list
	}
	list = slices.Clone(list)
	slices.SortFunc(list, byName)
	return list
}

// EncodeRelease returns the canonical CBOR encoding of a release.
func EncodeRelease(r Release) []byte {
	body, err := encoder.Marshal(r)
	if err != nil {
		panic(err) // every field of Release has an encoding
	}
	return body
}

// DecodeRelease decodes a release. It returns an error unless body is the encoding of
// exactly one release that passes Check.
func DecodeRelease(body []byte) (Release, error) {
	var r Release
	if err := decoder.Unmarshal(body, &r); err != nil {
		return Release{}, fmt.Errorf("decode release: %w", err)
	}
	if err := r.Check(); err != nil {
		return Release{}, err
	}
	return r, nil
}

// Check returns an error unless r has a version, a valid configuration and its digest.
func (r Release) Check() error {
	if r.Version == 0 {
		return errors.New("release has version 0")
	}
	if err := r.Configuration.Validate(); err != nil {
		return err
	}
	if r.Configuration.Digest() != r.Digest {
		return ErrDigest
	}
	return nil
}
