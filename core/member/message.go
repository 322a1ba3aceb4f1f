package member

import (
	"slices"

	"hickoryrail/core/ident"
)

const (
	// Probe asks for a ProbeAck with the same sequence.
	Probe Kind = iota
	// ProbeAck answers a Probe, or an IndirectProbe whose target answered.
	ProbeAck
	// IndirectProbe asks the receiver to probe Target on the sender's behalf.
	IndirectProbe
	// Sync carries bucket hashes and requests the records of the buckets that
	// differ. Without hashes it requests all records.
	Sync
	// SyncReply carries all records of one or more buckets.
	SyncReply
	// Notice carries updates and needs no answer. A node sends it after a change
	// of its own record, and when it leaves.
	Notice

	// kindCount is the number of kinds.
	kindCount
)

const (
	// bucketCount is the number of hash buckets of a Sync.
	bucketCount = 256
	// bucketBytes is the size of the hash of one bucket. A short hash suffices,
	// because each Sync uses another salt, so a collision does not persist.
	bucketBytes = 2
	// maxCounter bounds incarnations and revisions from peers, so that a
	// refutation can always exceed them.
	maxCounter = 1 << 62
)

type (
	// Kind is the kind of a message.
	Kind uint8

	// RecordSummary is a short form of the record that the sender of a message has
	// of the receiver. It lets the receiver refute a suspicion, send a newer record,
	// and learn the version that it had in force before a restart.
	RecordSummary struct {
		_           struct{} `cbor:",toarray"`
		Incarnation ident.Incarnation
		Revision    uint64
		State       State
		Held        ident.Version
	}

	// Update is a record that nodes forward through the overlay.
	Update struct {
		_      struct{} `cbor:",toarray"`
		Record Record
		// Observer is the node that got no answer from the suspected node; it is set
		// only if Record is Suspect.
		Observer ident.NodeID
	}

	// Message is a message between two tables.
	Message struct {
		_    struct{} `cbor:",toarray"`
		Kind Kind
		// Sequence matches an answer to its request; in a Sync it is also the salt.
		Sequence uint64
		// Digest is the digest of the sender's live records.
		Digest uint64
		// Held is the release version that the sender has put in force.
		Held ident.Version
		// Receiver is the sender's summary of its record of the receiver; it is
		// zero if the sender has none.
		Receiver RecordSummary
		// Target and Address are those of the node that an IndirectProbe asks to
		// probe. A ProbeAck from a helper has the probed node as Target.
		Target  ident.NodeID
		Address string
		// Buckets holds the bucket hashes of a Sync, or the numbers of the buckets
		// that a SyncReply contains in full.
		Buckets []byte
		// Final is set on a SyncReply that needs no records in return.
		Final   bool
		Updates []Update
	}

	// Action is a message that the caller has to send.
	Action struct {
		To ident.NodeID
		// Address is empty if it is unknown; then only an open connection to the
		// node can carry the message.
		Address string
		Message Message
		// Fresh asks to send on a new connection, because the open ones to the node may be
		// silent.
		Fresh bool
	}
)

// kindNames holds the name of each kind.
var kindNames = [kindCount]string{"Probe", "ProbeAck", "IndirectProbe", "Sync", "SyncReply", "Notice"}

// String returns the kind's name.
func (k Kind) String() string {
	return kindNames[min(k, kindCount-1)]
}

// Valid reports whether the message is well formed. Receive drops invalid messages.
func (m Message) Valid() bool {
	if m.Kind >= kindCount {
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
	return m.Receiver.State <= Left && m.Receiver.Incarnation < maxCounter && m.Receiver.Revision < maxCounter
}

// SplitLabelled returns the message without the updates whose records have a software
// version, and a Notice with these. A build that does not know software versions drops the
// notice and must still receive the rest, such as a probe. It returns false if there are
// none; plain is then the message itself.
func (m Message) SplitLabelled() (plain, notice Message, ok bool) {
	isLabelled := func(u Update) bool { return u.Record.Software != "" }
	if !slices.ContainsFunc(m.Updates, isLabelled) {
		return m, Message{}, false
	}
	plain, notice = m, m
	notice.Kind, notice.Sequence, notice.Target, notice.Address, notice.Buckets, notice.Final = Notice, 0, "", "", nil, false
	plain.Updates, notice.Updates = nil, nil
	for _, u := range m.Updates {
		if isLabelled(u) {
			notice.Updates = append(notice.Updates, u)
		} else {
			plain.Updates = append(plain.Updates, u)
		}
	}
	return plain, notice, true
}

// valid reports whether the fields of a record from a peer are in range.
func (r Record) valid() bool {
	return r.Node != "" && r.State <= Left && r.TargetState <= TargetLeft &&
		r.Incarnation < maxCounter && r.Revision < maxCounter
}
