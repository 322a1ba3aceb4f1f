// Package ident provides the named types for identifiers and units.
package ident

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

type (
	// NodeID names a node, one hickoryrail process beside a target. It is the
	// slot's name and stays the same when the process is replaced.
	NodeID string
	// TargetID names a target.
	TargetID string
	// ServiceName names a service, a set of interchangeable targets.
	ServiceName string
	// FailureDomain names a set of servers that can fail together.
	FailureDomain string
	// Region names a set of failure domains.
	Region string
	// RouteName names a route in the rules.
	RouteName string
	// EditID names an operator's edit; the submitter chooses it at random.
	EditID string
	// RequestID names one submission of one request.
	RequestID string
	// CallerID names a caller for idempotency keys and logs.
	CallerID string

	// Version numbers accepted releases from 1; 0 means no release.
	Version uint64
	// Incarnation orders the lives of a node; a restart takes a larger one.
	Incarnation uint64
	// Epoch counts the holders of a lease.
	Epoch uint64
	// Revision counts the writes of a table row; 0 means the row is absent.
	Revision uint64

	// Slots counts requests that a target runs at the same time.
	Slots int
	// Connections counts transport connections.
	Connections int
	// Bytes counts bytes.
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
