// Package wire provides the messages between nodes and their encoding.
package wire

import (
	"fmt"

	"hickoryrail/core/codec"
)

const (
	// maxElements bounds the length of each list and map in a message.
	maxElements = 4096
	// maxDepth bounds the nesting of one message.
	maxDepth = 8
)

var (
	// encoder is deterministic: equal messages have equal encodings.
	encoder = codec.NewEncoder()
	// decoder rejects unknown fields, duplicate keys, tags and trailing bytes.
	decoder = codec.NewDecoder(codec.Limits{Elements: maxElements, Depth: maxDepth})
)

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
