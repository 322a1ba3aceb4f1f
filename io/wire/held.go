package wire

import (
	"bytes"

	"hickoryrail/core/ident"
)

// heldQuery is the body of a question for the version in force. It is no valid
// call, whose encoding starts with an array.
const heldQuery = "Held"

// held answers a question for the version in force.
type held struct {
	_       struct{} `cbor:",toarray"`
	Version ident.Version
}

// maxHeldBytes bounds an encoded answer.
const maxHeldBytes = 16

// HeldQuery returns the question for the version that a node has in force.
func HeldQuery() []byte {
	return []byte(heldQuery)
}

// IsHeldQuery reports whether body is that question.
func IsHeldQuery(body []byte) bool {
	return bytes.Equal(body, []byte(heldQuery))
}

// EncodeHeld returns the answer to the question.
func EncodeHeld(v ident.Version) []byte {
	body, err := Encode(held{Version: v})
	if err != nil {
		panic(err) // every field of held has an encoding
	}
	return body
}

// DecodeHeld decodes the answer.
func DecodeHeld(body []byte) (ident.Version, error) {
	h, err := Decode[held](body, maxHeldBytes)
	return h.Version, err
}
