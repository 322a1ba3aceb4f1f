package wire

import (
	"errors"

	"hickoryrail/core/member"
	"hickoryrail/core/spread"
)

// MaxControlBytes bounds an encoded control message.
const MaxControlBytes = 1 << 20

// maxStringBytes bounds each string in a membership message; ids are much shorter.
const maxStringBytes = 256

// Control is a control message between two nodes. Exactly one field is set.
type Control struct {
	_      struct{} `cbor:",toarray"`
	Member *member.Message
	Spread *spread.Message
}

var (
	// errControl reports a control message that does not have exactly one field set.
	errControl = errors.New("control message must contain exactly one message")
	// errContent reports a control message with a field that is out of range.
	errContent = errors.New("control message has a field that is out of range")
)

// EncodeControl returns the encoded message. It returns an error for a message that
// DecodeControl would reject.
func EncodeControl(c Control) ([]byte, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	return Encode(c)
}

// DecodeControl decodes a control message. It returns an error for anything that
// is malformed, oversized or out of range.
func DecodeControl(body []byte) (Control, error) {
	c, err := Decode[Control](body, MaxControlBytes)
	if err != nil {
		return Control{}, err
	}
	if err := c.check(); err != nil {
		return Control{}, err
	}
	return c, nil
}

// check returns an error unless exactly one field of c is set and its content is in
// range.
func (c Control) check() error {
	if (c.Member == nil) == (c.Spread == nil) {
		return errControl
	}
	if c.Spread != nil {
		if c.Spread.Kind > spread.Busy {
			return errContent
		}
		return nil
	}
	if !c.Member.Valid() || len(c.Member.Target) > maxStringBytes || len(c.Member.Address) > maxStringBytes {
		return errContent
	}
	for _, u := range c.Member.Updates {
		if !stringsWithinLimit(u) {
			return errContent
		}
	}
	return nil
}

// stringsWithinLimit reports whether all strings of an update are within
// maxStringBytes.
func stringsWithinLimit(u member.Update) bool {
	r := u.Record
	for _, n := range [...]int{
		len(r.Node), len(r.PeerAddress), len(r.FailureDomain), len(r.Region),
		len(r.Service), len(r.Target), len(u.Observer),
	} {
		if n > maxStringBytes {
			return false
		}
	}
	return true
}
