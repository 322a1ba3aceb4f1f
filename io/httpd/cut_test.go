package httpd

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// TestCutRequest guards against a request that ends early, in its head, its body or its
// trailer, and is run as a whole one.
func TestCutRequest(t *testing.T) {
	for name, request := range map[string]string{
		"no body":     "GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n",
		"length":      "PUT /a HTTP/1.1\r\nContent-Length: 12\r\nHost: h\r\n\r\ntwelve bytes",
		"length last": "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\ntwelve bytes",
		"chunks":      "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\nc\r\ntwelve bytes\r\n0\r\n\r\n",
		"trailer":     "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n3\r\none\r\n0\r\nSum: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			f := start(t, func(context.Context, *fasthttp.RequestCtx) { runs.Add(1) })
			send := func(text string) string {
				c, err := net.Dial("tcp", f.address)
				is.NoErr(err)
				defer c.Close()
				_, err = c.Write([]byte(text))
				is.NoErr(err)
				is.NoErr(c.(*net.TCPConn).CloseWrite())
				is.NoErr(c.SetReadDeadline(time.Now().Add(testTimeout)))
				answer, err := io.ReadAll(c)
				is.NoErr(err)
				return string(answer)
			}
			for n := range request {
				if answer := send(request[:n]); runs.Load() > 0 || strings.Contains(answer, " 200 ") {
					t.Fatalf("%q is run as a whole request", request[:n])
				}
			}
			send(request)
			is.Equal(runs.Load(), int64(1))
		})
	}
}
