package frame

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
	"hickoryrail/core/result"
)

// TestCutFrame guards against a frame that ends early and is delivered as a whole one.
func TestCutFrame(t *testing.T) {
	is := is.New(t)
	delivered := make(chan struct{}, 1)
	server := start(t, &Transport{
		Self:      "b",
		OnCall:    func(context.Context, ident.NodeID, []byte) []byte { delivered <- struct{}{}; return nil },
		OnControl: func(ident.NodeID, []byte) { delivered <- struct{}{} },
	})
	hello := message{kind: kindHello, payload: []byte("a")}.encode()
	for _, k := range []kind{kindCall, kindControl} {
		frame := message{kind: k, id: 1, payload: []byte("request")}.encode()
		for n := range frame {
			c, err := net.Dial("tcp", server.Address())
			is.NoErr(err)
			_, err = c.Write(append(bytes.Clone(hello), frame[:n]...))
			is.NoErr(err)
			is.NoErr(c.(*net.TCPConn).CloseWrite())
			_ = c.SetReadDeadline(time.Now().Add(testTimeout)) // the read reports a closed connection
			n, _ := c.Read(make([]byte, 1))
			is.Equal(n, 0) // the server closed the connection without a reply
			_ = c.Close()
		}
	}
	select {
	case <-delivered:
		t.Fatal("a part of a frame was delivered")
	default:
	}
}

// TestCutAnswer guards against an answer that ends early and is returned as a whole one.
func TestCutAnswer(t *testing.T) {
	is := is.New(t)
	whole := message{kind: kindAnswer, id: 1, payload: []byte("answer")}.encode()
	for n := range whole {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			b := make([]byte, len(message{kind: kindHello, payload: []byte("a")}.encode())+len(message{kind: kindCall, payload: []byte("x")}.encode()))
			for read := 0; read < len(b); {
				m, err := c.Read(b[read:])
				if err != nil {
					return
				}
				read += m
			}
			_, _ = c.Write(whole[:n]) // the client may have gone away
		}()
		client := start(t, &Transport{Self: "a"})
		_, err = client.Call(testContext(t), "b", l.Addr().String(), []byte("x"))
		is.Equal(result.Of(err), result.MayHaveRun)
		_ = l.Close()
	}
}
