package spread

import (
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

const (
	// Announce tells which release the sender holds, and the pulses it knows.
	Announce Kind = iota
	// Fetch asks for a newer release and tells which one the sender holds.
	Fetch
	// DeltaBody carries the difference from the release that a Fetch named.
	DeltaBody
	// SnapshotBody carries a whole release.
	SnapshotBody
	// Busy refuses a Fetch, because too many snapshots are being served.
	Busy

	// kinds is the number of kinds.
	kinds
)

const (
	// Send is a message to a peer.
	Send ActionKind = iota
	// Apply puts Release in force. Versions only ever grow.
	Apply
	// ReadRelease asks the reader to get the release with Version and Digest from
	// the source and to pass it to SourceRelease.
	ReadRelease
	// NeedSource says that no peer can provide a release at or above the floor, or
	// that the source is to provide it before peers do.
	NeedSource
)

type (
	// Kind is the kind of a message.
	Kind uint8

	// Pulse is the heartbeat of a region's reader, ordered by epoch and count.
	Pulse struct {
		_      struct{} `cbor:",toarray"`
		Region ident.Region
		// Epoch is that of the reader's lease.
		Epoch ident.Epoch
		Count uint64
	}

	// Message is a message between two nodes.
	Message struct {
		_    struct{} `cbor:",toarray"`
		Kind Kind
		// Version and Digest name the release that the sender holds, or 0.
		Version ident.Version
		Digest  ident.Digest
		// Delta is set in DeltaBody.
		Delta *model.Delta
		// Body is an encoded and packed release in SnapshotBody, and Sum its SHA-256 sum: the
		// release's own digest covers neither its version nor its edit id.
		Body   []byte
		Sum    []byte
		Pulses []Pulse
	}

	// ActionKind is the kind of an action.
	ActionKind uint8

	// Action is what the caller must do.
	Action struct {
		Kind ActionKind
		// To, Address and Message belong to Send. Address is empty if To is no
		// neighbour.
		To      ident.NodeID
		Address string
		Message Message
		// Release belongs to Apply.
		Release model.Release
		// Version and Digest belong to ReadRelease.
		Version ident.Version
		Digest  ident.Digest
	}
)

var (
	// kindNames holds the text form of each kind.
	kindNames = [kinds]string{"Announce", "Fetch", "DeltaBody", "SnapshotBody", "Busy"}
	// actionNames holds the text form of each action kind.
	actionNames = [...]string{"Send", "Apply", "ReadRelease", "NeedSource"}
)

// String returns the kind's name.
func (k Kind) String() string {
	return kindNames[min(k, kinds-1)]
}

// String returns the kind's name.
func (k ActionKind) String() string {
	return actionNames[min(int(k), len(actionNames)-1)]
}

// newer reports whether p is a later heartbeat than other.
func (p Pulse) newer(other Pulse) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch > other.Epoch
	}
	return p.Count > other.Count
}
