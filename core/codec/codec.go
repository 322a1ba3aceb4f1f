// Package codec provides the strict CBOR modes and the compression of hickoryrail's own
// formats.
package codec

import "github.com/fxamacker/cbor/v2"

// Limits bound what a decoder accepts; a zero field means the library's default.
type Limits struct {
	// Elements bounds each list and each map.
	Elements int
	// Depth bounds the nesting of lists and maps.
	Depth int
}

// NewEncoder returns a mode with deterministic encoding: equal values have equal bytes.
func NewEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// NewDecoder returns a mode that rejects unknown fields, duplicate keys, tags,
// indefinite lengths and trailing bytes.
func NewDecoder(l Limits) cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxArrayElements:  l.Elements,
		MaxMapPairs:       l.Elements,
		MaxNestedLevels:   l.Depth,
	}.DecMode()
	if err != nil {
		panic(err) // the callers pass constant limits
	}
	return mode
}
