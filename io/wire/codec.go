// Package wire provides the messages between nodes and their encoding.
package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxElements bounds the lists and maps in one message.
	maxElements = 4096
	// maxDepth bounds the nesting of one message.
	maxDepth = 8
)

var (
	// encoder writes one byte string for equal messages.
	encoder = mustEncoder()
	// decoder refuses unknown fields, duplicate keys, tags and trailing bytes.
	decoder = mustDecoder()
)

// mustEncoder returns the encoding mode.
func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustDecoder returns the strict decoding mode.
func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
		MaxNestedLevels:   maxDepth,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the message in CBOR. It returns an error for a type that has no
// encoding.
func Encode[T any](m T) ([]byte, error) {
	body, err := encoder.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", m, err)
	}
	return body, nil
}

// Decode decodes a message of at most limit bytes. It returns an error for
// oversized, malformed or unknown input; the message is then the zero value.
func Decode[T any](body []byte, limit int) (T, error) {
	var m, zero T
	if len(body) > limit {
		return zero, fmt.Errorf("message of %d bytes exceeds %d", len(body), limit)
	}
	if err := decoder.Unmarshal(body, &m); err != nil {
		return zero, fmt.Errorf("decode %T: %w", m, err)
	}
	return m, nil
}
