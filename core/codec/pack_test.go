package codec

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// TestPack guards against a body that changes on its way, and against a few bytes that
// claim to unpack to more than a node has memory for.
func TestPack(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("route "), 1000)
	packed := Pack(body)
	is.True(len(packed) < len(body)/6)
	got, err := Unpack(packed, len(body))
	is.NoErr(err)
	is.Equal(got, body)
	_, err = Unpack(packed, len(body)-1)
	is.Equal(err, errUnpacked)
	_, err = Unpack(packed[:len(packed)/2], len(body))
	is.True(err != nil)
	_, err = Unpack([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, 0}, len(body))
	is.True(err != nil)
}
