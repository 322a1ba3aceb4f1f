package httpd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/io/mem"
)

// TestBodyWaitsForMemory guards against a body that is read although there is no memory for
// it, a request that waits for memory beyond its time, and one that is not read once there is
// memory again. Bodies come with a length and in chunks.
func TestBodyWaitsForMemory(t *testing.T) {
	const size = 1 << 20
	for name, body := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", strings.Repeat(fmt.Sprintf("1000\r\n%s\r\n", strings.Repeat("x", 4096)), size/4096)),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			memory := mem.NewBudget(64<<20, size)
			f := start(t, func(_ context.Context, rc *fasthttp.RequestCtx) { rc.SetBodyString(fmt.Sprint(len(rc.PostBody()))) })
			f.Memory = memory
			f.RoomMillis = func(*fasthttp.RequestCtx) clock.Millis { return 200 }
			f.Malformed = func(rc *fasthttp.RequestCtx, err error) {
				rc.SetStatusCode(http.StatusBadRequest)
				if errors.Is(err, mem.ErrNoRoom) {
					rc.SetStatusCode(http.StatusServiceUnavailable)
				}
			}
			var held []*mem.Lease
			for {
				l := memory.Lease()
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
				err := l.Request.Take(ctx, ident.Bytes(size))
				cancel()
				if err != nil {
					l.Release()
					break
				}
				held = append(held, l)
			}
			send := func() int {
				c, r := f.dial(t)
				go func() { _, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\n%s", body) }() // fails once the request is refused
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Error(err)
					return 0
				}
				return resp.StatusCode
			}
			began := time.Now()
			if name == "length" { // the rest of the chunks grows as the senior body
				is.Equal(send(), http.StatusServiceUnavailable)
				is.True(time.Since(began) < time.Second)
			}
			var group sync.WaitGroup
			group.Go(func() { is.Equal(send(), http.StatusOK) })
			time.Sleep(50 * time.Millisecond)
			for _, l := range held {
				l.Release()
			}
			group.Wait()
			for range 20 { // each request gives its memory back
				is.Equal(send(), http.StatusOK)
			}
		})
	}
}
