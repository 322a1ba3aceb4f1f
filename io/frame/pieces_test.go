package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"net"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/result"
	"hickoryrail/io/uplink"
)

// TestOddPieces guards against an answer in pieces that is taken for whole although it is
// not, that is larger than the limit, or that ends the process; and against pieces of a call
// that has ended which disturb another one.
func TestOddPieces(t *testing.T) {
	large := func(id callID, size int) message {
		return message{kind: kindLarge, id: id, payload: binary.BigEndian.AppendUint32(nil, uint32(size))}
	}
	piece := func(id callID, text string) message {
		return message{kind: kindPiece, id: id, payload: []byte(text)}
	}
	for name, c := range map[string]struct {
		frames []message
		answer string
	}{
		"whole":             {[]message{large(1, 4), piece(1, "ab"), piece(1, "cd")}, "abcd"},
		"another call":      {[]message{large(1, 4), piece(9, "xy"), piece(1, "ab"), large(9, 2), piece(9, "xy"), piece(1, "cd")}, "abcd"},
		"empty piece":       {[]message{large(1, 4), piece(1, ""), piece(1, "abcd")}, "abcd"},
		"after its end":     {[]message{large(1, 2), piece(1, "ab"), piece(1, "cd")}, "ab"},
		"once more":         {[]message{large(1, 4), piece(1, "xy"), large(1, 4), piece(1, "abcd")}, "abcd"},
		"not announced":     {[]message{piece(1, "ab"), {kind: kindAnswer, id: 1, payload: []byte("abcd")}}, "abcd"},
		"failed in between": {[]message{large(1, 4), piece(1, "ab"), {kind: kindFailed, id: 1}, piece(1, "cd")}, ""},
		"too long":          {[]message{large(1, 4), piece(1, "abcde")}, ""},
		"over the limit":    {[]message{large(1, 1<<30), piece(1, "abcd")}, ""},
		"no bytes":          {[]message{large(1, 0), piece(1, "abcd")}, ""},
		"no size":           {[]message{{kind: kindLarge, id: 1, payload: []byte("abc")}, piece(1, "abcd")}, ""},
		"cut":               {[]message{large(1, 4), piece(1, "abc")}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			link := uplink.New(slowBits, clock.NewSystem())
			link.SetActive(true)
			client := start(t, &Transport{Self: "a", Link: link})
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }() // after the last frame
				b := bufio.NewReader(conn)
				var kinds []kind
				for len(kinds) < 3 {
					m, err := read(b, bufferBytes)
					if err != nil {
						return
					}
					kinds = append(kinds, m.kind)
				}
				if kinds[1] != kindHello || kinds[2] != kindCall {
					return
				}
				var all bytes.Buffer
				for _, m := range c.frames {
					all.Write(m.encode())
				}
				_, _ = conn.Write(all.Bytes())
			}()
			// The hello frame is call 0 and the request call 1.
			answer, err := client.Call(testContext(t), "b", l.Addr().String(), []byte("request"))
			is.Equal(string(answer), c.answer)
			if c.answer == "" {
				is.Equal(result.Of(err), result.MayHaveRun)
				return
			}
			is.NoErr(err)
		})
	}
}
