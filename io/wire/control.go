package wire

import (
	"errors"

	"hickoryrail/core/canary"
	"hickoryrail/core/fresh"
	"hickoryrail/core/grant"
	"hickoryrail/core/member"
	"hickoryrail/core/spread"
)

// MaxControlBytes bounds an encoded control message.
const MaxControlBytes = 1 << 20

// maxStringBytes bounds each string in a membership message; ids are much shorter.
const maxStringBytes = 256

type (
	// Control is a control message between two nodes. Exactly one field is set.
	Control struct {
		Member *member.Message
		Spread *spread.Message
		// The other messages belong to parts that a deployment switches on. Builds that do
		// not know them drop them.
		Fresh  *fresh.Message
		Grant  *grant.Message
		Canary *canary.Message
	}

	// baseControl is the encoding of the messages that every build knows.
	baseControl struct {
		_      struct{} `cbor:",toarray"`
		Member *member.Message
		Spread *spread.Message
	}

	// optionalControl is the encoding of the other messages. It has more elements than
	// baseControl, which tells the two apart.
	optionalControl struct {
		_      struct{} `cbor:",toarray"`
		Fresh  *fresh.Message
		Grant  *grant.Message
		Canary *canary.Message
	}
)

// baseControlHeader is the first byte of an encoded baseControl: an array of two elements.
const baseControlHeader = 0x82

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

// MarshalCBOR encodes the message as a baseControl or an optionalControl.
func (c Control) MarshalCBOR() ([]byte, error) {
	if c.Member != nil || c.Spread != nil {
		return Encode(baseControl{Member: c.Member, Spread: c.Spread})
	}
	return Encode(optionalControl{Fresh: c.Fresh, Grant: c.Grant, Canary: c.Canary})
}

// UnmarshalCBOR decodes a baseControl or an optionalControl.
func (c *Control) UnmarshalCBOR(body []byte) error {
	if len(body) > 0 && body[0] == baseControlHeader {
		b, err := Decode[baseControl](body, MaxControlBytes)
		*c = Control{Member: b.Member, Spread: b.Spread}
		return err
	}
	o, err := Decode[optionalControl](body, MaxControlBytes)
	*c = Control{Fresh: o.Fresh, Grant: o.Grant, Canary: o.Canary}
	return err
}

// messages returns the number of fields that are set.
func (c Control) messages() int {
	n := 0
	for _, set := range [...]bool{c.Member != nil, c.Spread != nil, c.Fresh != nil, c.Grant != nil, c.Canary != nil} {
		if set {
			n++
		}
	}
	return n
}

// check returns an error unless exactly one field of c is set and its content is in
// range.
func (c Control) check() error {
	if c.messages() != 1 {
		return errControl
	}
	if c.Spread != nil && c.Spread.Kind > spread.Busy || c.Fresh != nil && !c.Fresh.Valid() {
		return errContent
	}
	if c.Grant != nil && !c.Grant.Valid() {
		return errContent
	}
	if c.Member == nil {
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
