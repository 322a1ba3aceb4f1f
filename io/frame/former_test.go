package frame

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"testing"

	"github.com/matryer/is"
)

// TestFormerFrames guards against frames that this build writes or reads differently
// from the former build (commit 3ffe633), for example after the constants of kinds were
// reordered.
func TestFormerFrames(t *testing.T) {
	is := is.New(t)
	for k, former := range map[kind]string{
		kindHello:   "0000000801010203046e6f64",
		kindCall:    "0000000802010203046e6f64",
		kindAnswer:  "0000000803010203046e6f64",
		kindRefused: "0000000804010203046e6f64",
		kindFailed:  "0000000805010203046e6f64",
		kindCancel:  "0000000806010203046e6f64",
		kindControl: "0000000807010203046e6f64",
		kindEcho:    "0000000808010203046e6f64",
		kindEchoed:  "0000000809010203046e6f64",
	} {
		m := message{kind: k, id: 0x01020304, payload: []byte("nod")}
		body := m.encode()
		is.Equal(hex.EncodeToString(body), former)
		got, err := read(bufio.NewReader(bytes.NewReader(body)), len(m.payload))
		is.NoErr(err)
		is.Equal(got, m)
	}
}
