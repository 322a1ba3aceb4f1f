package model

import (
	"crypto/sha256"

	"hickoryrail/core/ident"
)

// keyDigestBytes is the size of a KeyDigest. 128 bits leave no chance of two keys with the
// same digest, and a release holds 16 bytes a key.
const keyDigestBytes = 16

type (
	// KeyDigest identifies an access key without disclosing it: the first bytes of its
	// SHA-256 sum. Releases, logs and messages hold digests only.
	KeyDigest [keyDigestBytes]byte

	// Team is a set of callers that share access keys, a priority and a usage cap.
	Team struct {
		// Name is unique in the rules and not empty.
		Name ident.TeamName
		// Keys are the digests of the team's access keys, in ascending order. No other
		// team has any of them.
		Keys []KeyDigest `cbor:",omitempty"`
		// HasClass is set if the team has a priority of its own, which is Class and goes
		// before that of the route.
		HasClass bool  `cbor:",omitempty"`
		Class    Class `cbor:",omitempty"`
		// RequestsPerSecond and BurstRequests are the team's usage cap over all nodes
		// together: in any period of t seconds it may use RequestsPerSecond*t +
		// BurstRequests. Both are at least 0; without a rate there is no cap.
		RequestsPerSecond float64 `cbor:",omitempty"`
		BurstRequests     float64 `cbor:",omitempty"`
	}
)

// DigestKey returns the digest of an access key.
func DigestKey(key []byte) KeyDigest {
	sum := sha256.Sum256(key)
	return KeyDigest(sum[:keyDigestBytes])
}

// Capped reports whether the team has a usage cap.
func (t *Team) Capped() bool {
	return t.RequestsPerSecond > 0
}
