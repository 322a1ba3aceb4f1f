package wire

import (
	"errors"

	"hickoryrail/core/canary"
	"hickoryrail/core/fresh"
	"hickoryrail/core/grant"
	"hickoryrail/core/ident"
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

	// labelledControl is the encoding of a membership message whose records have software
	// versions. Builds that do not know these drop it.
	labelledControl struct {
		_      struct{} `cbor:",toarray"`
		Member labelledMember
	}

	// labelledMember is a membership message with the software versions of the records of
	// its updates, in their order.
	labelledMember struct {
		_        struct{} `cbor:",toarray"`
		Message  member.Message
		Software []ident.SoftwareVersion
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

const (
	// baseControlHeader is the first byte of an encoded baseControl: an array of two
	// elements.
	baseControlHeader = 0x82
	// labelledControlHeader is that of a labelledControl: an array of one element.
	labelledControlHeader = 0x81
)

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
	return c.MarshalCBOR() // directly, since Encode would check and copy the result
}

// DecodeControl decodes a control message. It returns an error for anything that
// is malformed, oversized or out of range.
func DecodeControl(body []byte) (Control, error) {
	var c Control
	if err := c.UnmarshalCBOR(body); err != nil { // directly, since Decode would read body twice
		return Control{}, err
	}
	if err := c.check(); err != nil {
		return Control{}, err
	}
	return c, nil
}

// MarshalCBOR encodes the message as a baseControl, a labelledControl or an
// optionalControl.
func (c Control) MarshalCBOR() ([]byte, error) {
	if c.Member != nil && isLabelled(c.Member) {
		return Encode(labelledControl{Member: label(*c.Member)})
	}
	if c.Member != nil || c.Spread != nil {
		return Encode(baseControl{Member: c.Member, Spread: c.Spread})
	}
	return Encode(optionalControl{Fresh: c.Fresh, Grant: c.Grant, Canary: c.Canary})
}

// UnmarshalCBOR decodes a baseControl, a labelledControl or an optionalControl.
func (c *Control) UnmarshalCBOR(body []byte) error {
	if len(body) > 0 && body[0] == labelledControlHeader {
		l, err := Decode[labelledControl](body, MaxControlBytes)
		if err != nil {
			return err
		}
		*c = Control{Member: &l.Member.Message}
		return l.Member.apply()
	}
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
	if c.Canary != nil && !c.Canary.Valid() {
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

// isLabelled reports whether a record of a message has a software version.
func isLabelled(m *member.Message) bool {
	for i := range m.Updates {
		if m.Updates[i].Record.Software != "" {
			return true
		}
	}
	return false
}

// label returns a message with the software versions of its records.
func label(m member.Message) labelledMember {
	l := labelledMember{Message: m, Software: make([]ident.SoftwareVersion, len(m.Updates))}
	for i := range m.Updates {
		l.Software[i] = m.Updates[i].Record.Software
	}
	return l
}

// apply sets the software versions of the records.
func (l *labelledMember) apply() error {
	if len(l.Software) != len(l.Message.Updates) {
		return errContent
	}
	for i, v := range l.Software {
		l.Message.Updates[i].Record.Software = v
	}
	return nil
}

// stringsWithinLimit reports whether all strings of an update are within
// maxStringBytes.
func stringsWithinLimit(u member.Update) bool {
	r := u.Record
	for _, n := range [...]int{
		len(r.Node), len(r.PeerAddress), len(r.FailureDomain), len(r.Region),
		len(r.Service), len(r.Target), len(r.Software), len(u.Observer),
	} {
		if n > maxStringBytes {
			return false
		}
	}
	return true
}
