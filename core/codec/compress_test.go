package codec

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// TestCompress guards against a body that changes by compression, and against a few bytes
// that declare a decompressed size beyond a node's memory.
func TestCompress(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("route "), 1000)
	compressed := Compress(body)
	is.True(len(compressed) < len(body)/6)
	got, err := Decompress(compressed, len(body))
	is.NoErr(err)
	is.Equal(got, body)
	_, err = Decompress(compressed, len(body)-1)
	is.Equal(err, errTooLarge)
	_, err = Decompress(compressed[:len(compressed)/2], len(body))
	is.True(err != nil)
	_, err = Decompress([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, 0}, len(body))
	is.True(err != nil)
}
