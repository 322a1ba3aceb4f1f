package model

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"hickoryrail/core/codec"
	"hickoryrail/core/ident"
)

// Release is an accepted configuration.
type Release struct {
	// Version is at least 1.
	Version ident.Version
	// EditID names the edit that became this release.
	EditID ident.EditID
	// Digest is the digest of Configuration.
	Digest ident.Digest
	// Configuration is valid.
	Configuration Configuration
}

var (
	// ErrDigest reports a release whose configuration does not match its digest.
	ErrDigest = errors.New("configuration does not match the release's digest")

	// encoder writes one byte string for equal values.
	encoder = codec.NewEncoder()
	// decoder refuses unknown fields, duplicate keys and trailing bytes.
	decoder = codec.NewDecoder(codec.Limits{})
)

// NewRelease returns the release of a configuration, or its Faults.
func NewRelease(v ident.Version, edit ident.EditID, c Configuration) (Release, error) {
	if err := c.Validate(); err != nil {
		return Release{}, err
	}
	c = c.sorted()
	return Release{Version: v, EditID: edit, Digest: c.Digest(), Configuration: c}, nil
}

// Digest returns the digest of the canonical encoding; the order of services,
// failure domains and routes does not count.
func (c Configuration) Digest() ident.Digest {
	body, err := encoder.Marshal(c.sorted())
	if err != nil {
		panic(err) // every field of Configuration has an encoding
	}
	return ident.Sum(body)
}

// sorted returns c with its lists in order of name. Lists that are in order are
// shared with c.
func (c Configuration) sorted() Configuration {
	return Configuration{
		Inventory: Inventory{
			FailureDomains: inOrder(c.Inventory.FailureDomains, domainName),
			Services:       inOrder(c.Inventory.Services, serviceName),
		},
		Rules: Rules{Routes: inOrder(c.Rules.Routes, routeName), Callers: c.Rules.Callers},
	}
}

// inOrder returns the elements in order of name, in a new list unless they are so
// already.
func inOrder[E any](list []E, name func(*E) string) []E {
	byName := func(a, b E) int { return cmp.Compare(name(&a), name(&b)) }
	if slices.IsSortedFunc(list, byName) {
		return list
	}
	list = slices.Clone(list)
	slices.SortFunc(list, byName)
	return list
}

// EncodeRelease returns the release in canonical CBOR.
func EncodeRelease(r Release) []byte {
	body, err := encoder.Marshal(r)
	if err != nil {
		panic(err) // every field of Release has an encoding
	}
	return body
}

// DecodeRelease decodes, validates and checks the digest. It returns an error
// for anything that is not a whole, valid release.
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

// Check returns an error unless r is a whole, valid release.
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
