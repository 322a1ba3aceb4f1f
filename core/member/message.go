package member

import "hickoryrail/core/ident"

const (
	// Probe asks for a ProbeAck with the same sequence.
	Probe Kind = iota
	// ProbeAck answers a Probe, or an IndirectProbe whose target answered.
	ProbeAck
	// IndirectProbe asks the receiver to probe Target on the sender's behalf.
	IndirectProbe
	// Sync carries bucket hashes and asks for the records that differ. Without
	// hashes it asks for all records.
	Sync
	// SyncReply carries whole buckets of records.
	SyncReply
	// Notice carries updates and asks for nothing. A leaving node sends it.
	Notice

	// kinds is the number of kinds.
	kinds
)

const (
	// bucketCount is the number of hash buckets of a Sync.
	bucketCount = 256
	// bucketBytes is the size of the hash of one bucket. It may be short, since
	// each Sync hashes with another salt.
	bucketBytes = 2
	// maxCounter bounds incarnations and change counts from peers, so that a
	// refutation can always go above them.
	maxCounter = 1 << 62
)

type (
	// Kind is the kind of a message.
	Kind uint8

	// Known is what the sender knows of the receiver. It lets the receiver
	// refute a suspicion, send a newer record, and learn the version that its
	// slot held before a restart.
	Known struct {
		_           struct{} `cbor:",toarray"`
		Incarnation ident.Incarnation
		Change      uint64
		State       State
		Held        ident.Version
	}

	// Update is a record on its way through the overlay.
	Update struct {
		_      struct{} `cbor:",toarray"`
		Record Record
		// Observer is the node whose probe failed, if Record is Suspect.
		Observer ident.NodeID
	}

	// Message is a message between two tables.
	Message struct {
		_    struct{} `cbor:",toarray"`
		Kind Kind
		// Sequence joins an answer with its question; in Sync it is the salt.
		Sequence uint64
		// Digest is the digest of the sender's live records.
		Digest uint64
		// Held is the version that the sender has put in force.
		Held  ident.Version
		Known Known
		// Target and Address name the node of an IndirectProbe.
		Target  ident.NodeID
		Address string
		// Buckets are the bucket hashes of a Sync, or the numbers of the whole
		// buckets in a SyncReply.
		Buckets []byte
		// Final is set on a SyncReply that needs no records in return.
		Final   bool
		Updates []Update
	}

	// Action is a message that is to be sent.
	Action struct {
		To ident.NodeID
		// Address is empty if it is not known; an open connection may exist.
		Address string
		Message Message
	}
)

// kindNames holds the text form of each kind.
var kindNames = [kinds]string{"Probe", "ProbeAck", "IndirectProbe", "Sync", "SyncReply", "Notice"}

// String returns the kind's name.
func (k Kind) String() string {
	return kindNames[min(k, kinds-1)]
}

// Valid reports whether the message is well formed. Others are dropped.
func (m Message) Valid() bool {
	if m.Kind >= kinds {
		return false
	}
	if m.Kind == Sync && len(m.Buckets) != 0 && len(m.Buckets) != bucketCount*bucketBytes {
		return false
	}
	for _, u := range m.Updates {
		if !u.Record.valid() {
			return false
		}
	}
	return m.Known.State <= Left && m.Known.Incarnation < maxCounter && m.Known.Change < maxCounter
}

// valid reports whether a record from a peer is in range.
func (r Record) valid() bool {
	return r.Node != "" && r.State <= Left && r.TargetState <= TargetLeft &&
		r.Incarnation < maxCounter && r.Change < maxCounter
}
