package once

import (
	"github.com/cespare/xxhash/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// filterBits is the size of one generation. With 60,000 ids in 60 s, about 2 in
	// 1000 lookups are false positives.
	filterBits = 1 << 20
	// filterProbes is the number of bits that are set for each id.
	filterProbes = 4
	// wordBits is the number of bits in one element of a generation.
	wordBits = 64
)

// filter is a Bloom filter of refused ids in two generations. It remembers an id for
// one to two retention periods in constant memory. A false positive refuses a new
// request as not run, which is safe.
type filter struct {
	// current receives new ids, previous is read only. Either is nil while it holds
	// no ids.
	current, previous []uint64
	// rotateAt is the instant at which current becomes previous.
	rotateAt clock.Millis
}

// add inserts an id, which is remembered for at least keep.
func (f *filter) add(now, keep clock.Millis, id ident.RequestID) {
	f.rotate(now, keep)
	if f.current == nil {
		f.current = make([]uint64, filterBits/wordBits)
		f.rotateAt = now + keep
	}
	h := xxhash.Sum64String(string(id))
	for i := range uint64(filterProbes) {
		bit := bitIndex(h, i)
		f.current[bit/wordBits] |= 1 << (bit % wordBits)
	}
}

// mayContain reports whether an id may have been added; false positives are possible.
func (f *filter) mayContain(now, keep clock.Millis, id ident.RequestID) bool {
	f.rotate(now, keep)
	if f.current == nil && f.previous == nil {
		return false
	}
	h := xxhash.Sum64String(string(id))
	return allBitsSet(f.current, h) || allBitsSet(f.previous, h)
}

// rotate makes current the previous generation once it is keep old, and drops a
// previous generation that has expired.
func (f *filter) rotate(now, keep clock.Millis) {
	if f.current != nil && now >= f.rotateAt {
		f.previous, f.current = f.current, nil
	}
	if f.current == nil && f.previous != nil && now >= f.rotateAt+keep {
		f.previous = nil
	}
}

// allBitsSet reports whether all bits of a hash are set in words.
func allBitsSet(words []uint64, h uint64) bool {
	if words == nil {
		return false
	}
	for i := range uint64(filterProbes) {
		bit := bitIndex(h, i)
		if words[bit/wordBits]&(1<<(bit%wordBits)) == 0 {
			return false
		}
	}
	return true
}

// bitIndex returns the index of the i-th bit of a hash, by double hashing.
func bitIndex(h, i uint64) uint64 {
	return (h + i*(h>>32|1)) % filterBits
}
