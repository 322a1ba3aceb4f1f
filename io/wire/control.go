package wire

import (
	"errors"

	"hickoryrail/core/member"
	"hickoryrail/core/spread"
)

// MaxControlBytes bounds an encoded control message.
const MaxControlBytes = 1 << 20

// maxText bounds each text in a member record; ids are much shorter.
const maxText = 256

// Control is a control message between two nodes. Exactly one field is set.
type Control struct {
	_      struct{} `cbor:",toarray"`
	Member *member.Message
	Spread *spread.Message
}

var (
	// errControl reports a control message without exactly one content.
	errControl = errors.New("control message must have exactly one content")
	// errContent reports a control message whose content is out of range.
	errContent = errors.New("content of control message is out of range")
)

// EncodeControl returns the encoded message. It returns an error for one that
// the receiver would refuse.
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

// check returns an error unless c is well formed.
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
	if !c.Member.Valid() || len(c.Member.Target) > maxText || len(c.Member.Address) > maxText {
		return errContent
	}
	for _, u := range c.Member.Updates {
		if !shortTexts(u) {
			return errContent
		}
	}
	return nil
}

// shortTexts reports whether all texts of an update are within the limit.
func shortTexts(u member.Update) bool {
	r := u.Record
	for _, n := range [...]int{
		len(r.Node), len(r.PeerAddress), len(r.FailureDomain), len(r.Region),
		len(r.Service), len(r.Target), len(u.Observer),
	} {
		if n > maxText {
			return false
		}
	}
	return true
}
