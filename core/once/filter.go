package once

import (
	"github.com/cespare/xxhash/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// filterBits is the size of one generation. 60,000 ids in 60 s give about 2
	// false hits in 1000.
	filterBits = 1 << 20
	// filterProbes is the number of bits set for each id.
	filterProbes = 4
	// wordBits is the number of bits in a word.
	wordBits = 64
)

// filter is a Bloom filter of refused ids in two generations. It remembers an id
// for one to two lifetimes in constant memory; a false hit refuses a new request
// as not run, which is safe.
type filter struct {
	// current takes new ids, previous is only read; nil until the first id.
	current, previous []uint64
	// turnAt is the instant at which current becomes previous.
	turnAt clock.Millis
}

// add remembers an id for at least keep.
func (f *filter) add(now, keep clock.Millis, id ident.RequestID) {
	f.turn(now, keep)
	if f.current == nil {
		f.current = make([]uint64, filterBits/wordBits)
		f.turnAt = now + keep
	}
	h := xxhash.Sum64String(string(id))
	for i := range uint64(filterProbes) {
		bit := probe(h, i)
		f.current[bit/wordBits] |= 1 << (bit % wordBits)
	}
}

// has reports whether an id may have been added.
func (f *filter) has(now, keep clock.Millis, id ident.RequestID) bool {
	f.turn(now, keep)
	if f.current == nil && f.previous == nil {
		return false
	}
	h := xxhash.Sum64String(string(id))
	return holds(f.current, h) || holds(f.previous, h)
}

// turn drops the generations whose time is over.
func (f *filter) turn(now, keep clock.Millis) {
	if f.current != nil && now >= f.turnAt {
		f.previous, f.current = f.current, nil
	}
	if f.current == nil && f.previous != nil && now >= f.turnAt+keep {
		f.previous = nil
	}
}

// holds reports whether all bits of a hash are set.
func holds(words []uint64, h uint64) bool {
	if words == nil {
		return false
	}
	for i := range uint64(filterProbes) {
		bit := probe(h, i)
		if words[bit/wordBits]&(1<<(bit%wordBits)) == 0 {
			return false
		}
	}
	return true
}

// probe returns the number of the i-th bit of a hash, by double hashing.
func probe(h, i uint64) uint64 {
	return (h + i*(h>>32|1)) % filterBits
}
