package spread

import (
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

const (
	// Announce carries the version that the sender holds and the heartbeats that it knows.
	Announce Kind = iota
	// Fetch requests a newer release and names the one that the sender holds.
	Fetch
	// DeltaBody carries the difference from the release that a Fetch named.
	DeltaBody
	// SnapshotBody carries a whole release.
	SnapshotBody
	// Busy rejects a Fetch because the sender already serves MaxSnapshots snapshots.
	Busy

	// kindCount is the number of message kinds.
	kindCount
)

const (
	// Send sends Message to a peer.
	Send ActionKind = iota
	// Apply activates Release. Its version is higher than that of each Apply before.
	Apply
	// ReadRelease reads the release with Version and Digest from the source; the
	// caller passes the result to SourceRelease.
	ReadRelease
	// NeedSource reads the newest release from the source, because no peer has a
	// release at or above the floor, or because a node without a release reads the
	// source before it fetches from peers.
	NeedSource
)

type (
	// Kind is the kind of a message.
	Kind uint8

	// Heartbeat is a heartbeat of a region's reader, ordered by epoch and count.
	Heartbeat struct {
		_      struct{} `cbor:",toarray"`
		Region ident.Region
		// Epoch is that of the reader's lease.
		Epoch ident.Epoch
		// Count grows by 1 with each heartbeat of an epoch and starts at 1.
		Count uint64
	}

	// Message is a message between two nodes.
	Message struct {
		_    struct{} `cbor:",toarray"`
		Kind Kind
		// Version and Digest identify the release that the sender holds or sends; both
		// are zero if it holds none, and in a Fetch that requests a snapshot.
		Version ident.Version
		Digest  ident.Digest
		// Delta is set in DeltaBody.
		Delta *model.Delta
		// Body is the encoded and compressed release of a SnapshotBody, and Sum its SHA-256
		// checksum, which is needed because the release's own digest covers neither its
		// version nor its edit id.
		Body       []byte
		Sum        []byte
		Heartbeats []Heartbeat
	}

	// ActionKind is the kind of an action.
	ActionKind uint8

	// Action is a step that the caller must carry out.
	Action struct {
		Kind ActionKind
		// To, Address and Message are set for Send. Address is empty if To is not a
		// neighbour.
		To      ident.NodeID
		Address string
		Message Message
		// Release is set for Apply, and From to the neighbour that sent it; From is empty
		// for a release of the source.
		Release model.Release
		From    ident.NodeID
		// Version and Digest are set for ReadRelease, and Version for NeedSource.
		Version ident.Version
		Digest  ident.Digest
	}
)

var (
	// kindNames holds the name of each kind.
	kindNames = [kindCount]string{"Announce", "Fetch", "DeltaBody", "SnapshotBody", "Busy"}
	// actionNames holds the name of each action kind.
	actionNames = [...]string{"Send", "Apply", "ReadRelease", "NeedSource"}
)

// String returns the message kind's name.
func (k Kind) String() string {
	return kindNames[min(k, kindCount-1)]
}

// String returns the action kind's name.
func (k ActionKind) String() string {
	return actionNames[min(int(k), len(actionNames)-1)]
}

// newer reports whether h is a later heartbeat than other.
func (h Heartbeat) newer(other Heartbeat) bool {
	if h.Epoch != other.Epoch {
		return h.Epoch > other.Epoch
	}
	return h.Count > other.Count
}
