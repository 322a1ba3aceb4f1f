// Package ident provides the named types for identifiers and units.
package ident

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

type (
	// NodeID identifies a node, one hickoryrail process beside a target. It names the
	// deployment slot, so it stays the same when the process is replaced.
	NodeID string
	// TargetID identifies a target.
	TargetID string
	// ServiceName names a service, a set of interchangeable targets.
	ServiceName string
	// FailureDomain names a set of servers that can fail together.
	FailureDomain string
	// Region names a set of failure domains.
	Region string
	// RouteName names a route in the rules.
	RouteName string
	// EditID identifies an operator's edit; the submitter chooses it at random.
	EditID string
	// RequestID identifies one submission of one request.
	RequestID string
	// CallerID identifies a caller in idempotency keys and logs.
	CallerID string
	// TeamName names a team, a set of callers that share access keys and a usage cap.
	TeamName string
	// SoftwareVersion names a version of a target's software.
	SoftwareVersion string

	// Version is the number of an accepted release, counted from 1; 0 means no release.
	Version uint64
	// Incarnation orders the runs of a node or gate between restarts; each restart uses
	// a larger one.
	Incarnation uint64
	// Epoch numbers the successive holders of a lease.
	Epoch uint64
	// Revision counts the writes to a table row; 0 means that the row is absent.
	Revision uint64
	// Era numbers the restores of a store from an older copy: it rises with each, and
	// revisions of different eras cannot be compared. 0 means that it is not known.
	Era uint64

	// Slots is a number of requests that a target runs at the same time.
	Slots int
	// Connections is a number of transport connections.
	Connections int
	// Bytes is a size in bytes.
	Bytes int64

	// Digest is a SHA-256 sum.
	Digest [sha256.Size]byte
)

// errDigest reports text that is not a digest.
var errDigest = errors.New("digest is not 64 hexadecimal digits")

// Sum returns the digest of body.
func Sum(body []byte) Digest {
	return sha256.Sum256(body)
}

// String returns the digest as 64 hexadecimal digits.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// Short returns the first 12 hexadecimal digits, for logs.
func (d Digest) Short() string {
	return hex.EncodeToString(d[:6])
}

// IsZero reports whether d is unset.
func (d Digest) IsZero() bool {
	return d == Digest{}
}

// MarshalText encodes d as hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText decodes hexadecimal digits. It returns an error unless there
// are exactly 64 of them.
func (d *Digest) UnmarshalText(text []byte) error {
	var out Digest
	if hex.DecodedLen(len(text)) != len(out) {
		return errDigest
	}
	if _, err := hex.Decode(out[:], text); err != nil {
		return errDigest
	}
	*d = out
	return nil
}
