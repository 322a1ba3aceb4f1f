package wire

import (
	"bytes"

	"hickoryrail/core/ident"
)

// versionQuery is the body of a query for the release version in force. It cannot be
// confused with a Call, whose encoding starts with an array.
const versionQuery = "Held"

// versionReply is the reply to a query for the release version in force.
type versionReply struct {
	_       struct{} `cbor:",toarray"`
	Version ident.Version
}

// maxVersionReplyBytes bounds an encoded reply.
const maxVersionReplyBytes = 16

// VersionQuery returns the body of a query for the release version that a node has in
// force.
func VersionQuery() []byte {
	return []byte(versionQuery)
}

// IsVersionQuery reports whether body is a query for the release version in force.
func IsVersionQuery(body []byte) bool {
	return bytes.Equal(body, []byte(versionQuery))
}

// EncodeVersionReply returns the encoded reply to a version query.
func EncodeVersionReply(v ident.Version) []byte {
	body, err := Encode(versionReply{Version: v})
	if err != nil {
		panic(err) // every field of versionReply has an encoding
	}
	return body
}

// DecodeVersionReply returns the release version in a reply to a version query.
func DecodeVersionReply(body []byte) (ident.Version, error) {
	r, err := Decode[versionReply](body, maxVersionReplyBytes)
	return r.Version, err
}
