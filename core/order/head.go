// Package order determines the total order in which edits become releases. It does no
// I/O; io/plat runs it against the platform's store.
package order

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

const (
	// HeadKey is the key of the row that names the newest release.
	HeadKey = "Head"
	// MaxRecent bounds Head.Recent. Older edits are found in their Edit rows. The bound
	// keeps the Head row, which every reader polls, at a few kilobytes.
	MaxRecent = 64
)

type (
	// Accepted is an accepted edit with its version.
	Accepted struct {
		EditID  ident.EditID
		Version ident.Version
	}

	// Head is the value of the row Head, which identifies the newest release. The zero
	// value represents an absent row.
	Head struct {
		// Version is at least 1 in a stored row.
		Version ident.Version
		// Digest is the digest of the release's configuration.
		Digest ident.Digest
		EditID ident.EditID
		// Object is ObjectName(Version, Digest).
		Object string
		// Recent holds the latest accepted edits, at most MaxRecent, oldest first and
		// with consecutive versions; the last one has EditID and Version.
		Recent []Accepted
	}
)

// ObjectName returns the name of the object that holds a release.
func ObjectName(v ident.Version, d ident.Digest) string {
	return fmt.Sprintf("Release/%d-%s", v, d)
}

// EncodeHead returns the row's value.
func EncodeHead(h Head) []byte {
	return encode(h)
}

// DecodeHead decodes the row's value. Apart from white space it accepts only the output
// of EncodeHead, because nothing else writes the row.
func DecodeHead(value []byte) (Head, error) {
	h, err := decode[Head](value)
	if err != nil {
		return Head{}, fmt.Errorf("decode Head: %w", err)
	}
	if err := h.check(); err != nil {
		return Head{}, fmt.Errorf("decode Head: %w", err)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, value); err != nil {
		return Head{}, fmt.Errorf("decode Head: %w", err)
	}
	if !bytes.Equal(compact.Bytes(), EncodeHead(h)) {
		return Head{}, errors.New("decode Head: value is not in its canonical form")
	}
	return h, nil
}

// check returns an error unless h is valid and consistent as a stored row.
func (h Head) check() error {
	n := len(h.Recent)
	switch {
	case h.Version == 0:
		return errors.New("version is 0")
	case h.Object != ObjectName(h.Version, h.Digest):
		return fmt.Errorf("object %q does not match version and digest", h.Object)
	case n == 0 || n > MaxRecent:
		return fmt.Errorf("%d recent edits, not 1 to %d", n, MaxRecent)
	case h.Recent[n-1] != Accepted{EditID: h.EditID, Version: h.Version}:
		return errors.New("last recent edit is not that of the release")
	case h.Version < ident.Version(n):
		return errors.New("more recent edits than versions")
	}
	first := h.Version - ident.Version(n) + 1
	seen := make(map[ident.EditID]bool, n)
	for i, a := range h.Recent {
		if a.Version != first+ident.Version(i) {
			return fmt.Errorf("recent edits have a gap before version %d", a.Version)
		}
		if !ValidEditID(a.EditID) || seen[a.EditID] {
			return fmt.Errorf("recent edit %q is malformed or repeated", a.EditID)
		}
		seen[a.EditID] = true
	}
	return nil
}

// Find returns the version of an edit, and false if it is not in Recent.
func (h Head) Find(id ident.EditID) (ident.Version, bool) {
	for _, a := range h.Recent {
		if a.EditID == id {
			return a.Version, true
		}
	}
	return 0, false
}

// Next returns the head that follows h when r, the next version, is released.
func (h Head) Next(r model.Release) Head {
	recent := append(slices.Clone(h.Recent), Accepted{EditID: r.EditID, Version: r.Version})
	return Head{
		Version: r.Version, Digest: r.Digest, EditID: r.EditID,
		Object: ObjectName(r.Version, r.Digest),
		Recent: recent[max(0, len(recent)-MaxRecent):],
	}
}

// encode returns a row's value in JSON.
func encode[T any](v T) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // not reached: every field of the row types can be encoded
	}
	return body
}

// decode decodes a row's value; unknown fields and trailing bytes are errors.
func decode[T any](value []byte) (T, error) {
	var v, zero T
	d := json.NewDecoder(bytes.NewReader(value))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return zero, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return zero, errors.New("value has trailing bytes")
	}
	return v, nil
}
