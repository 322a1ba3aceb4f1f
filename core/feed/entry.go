package feed

import "hickoryrail/core/ident"

// Entry decides when a node has to write its entry in the directory of the store. A store
// that is restored from an older copy may have lost it. The zero value is an entry that
// was never written.
type Entry struct {
	written bool
	// era is that in which the entry was last written; 0 if it is not known.
	era ident.Era
}

// Due reports whether the entry has to be written in an era of the store; 0 means that the
// era is not known.
func (e *Entry) Due(era ident.Era) bool {
	return !e.written || era > e.era
}

// Written records that the entry was written. era is that of the store's answer, or 0, and
// known the latest era that the node knew before the write.
func (e *Entry) Written(era, known ident.Era) {
	e.written, e.era = true, max(era, known)
}
