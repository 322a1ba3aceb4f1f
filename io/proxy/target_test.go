package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/limit"
	"hickoryrail/io/wire"
)

// TestCutAnswerMayHaveRun guards against a repeated request, or a verdict of NotRun
// or Ran, when the connection ends in the middle of the response.
func TestCutAnswerMayHaveRun(t *testing.T) {
	is := is.New(t)
	target := newFakeTarget(t)
	in := newIngress(t, newFleet(t, 4, target))
	for _, path := range []string{"/order/abort", "/order/identity"} {
		// An open connection from an earlier request is used for the next one.
		_, _, err := send(http.DefaultClient, in, "/order/echo", "warm")
		is.NoErr(err)
		resp, _, err := send(http.DefaultClient, in, path, "cut "+path)
		is.NoErr(err)
		is.Equal(resp.StatusCode, 502)
		is.Equal(resp.Header.Get(headerVerdict), "MayHaveRun")
		is.Equal(target.runCount("cut "+path), 1)
	}
	_, _, err := send(http.DefaultClient, in, "/order/echo", "warm")
	is.NoErr(err)
	_ = target.Close()
	resp, _, err := send(http.DefaultClient, in, "/order/echo", "down")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503) // idle connections were closed, new ones are refused
	is.Equal(resp.Header.Get(headerVerdict), "NotRun")
}

// TestStaleConnectionSendsOnce guards against repeating a request when the target
// closes a reused connection after the request was sent.
func TestStaleConnectionSendsOnce(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	var requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				b := bufio.NewReader(c)
				for n := 0; ; n++ {
					if _, err := http.ReadRequest(b); err != nil {
						return
					}
					requests.Add(1)
					if n > 0 {
						return // reads a second request and closes without a response
					}
					_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
		}
	}()
	f := newFleet(t, 1, &fakeTarget{address: l.Addr().String()})
	in := newIngress(t, f)
	for _, method := range []string{http.MethodGet, http.MethodPut} {
		before := requests.Load()
		for _, want := range []int{200, 502} {
			req, err := http.NewRequest(method, "http://"+in.Address()+"/order/x", nil)
			is.NoErr(err)
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			_ = resp.Body.Close()
			is.Equal(resp.StatusCode, want)
		}
		is.Equal(requests.Load()-before, int64(2)) // no repetition even for methods that HTTP defines as idempotent
	}
}

// TestLimits guards against oversized or malformed requests that have an effect or
// get an unclear response.
func TestLimits(t *testing.T) {
	is := is.New(t)
	target := newFakeTarget(t)
	in := newIngress(t, newFleet(t, 4, target))
	resp, _, err := send(http.DefaultClient, in, "/order/echo", strings.Repeat("x", 200<<10))
	is.NoErr(err)
	is.Equal(resp.StatusCode, 413)
	resp, _, err = send(http.DefaultClient, in, "/order/echo", "", "X-Large", strings.Repeat("x", 8<<10))
	is.NoErr(err)
	is.Equal(resp.StatusCode, 431)
	is.Equal(resp.Header.Get(headerVerdict), "NotRun")
	in.mu.Lock()
	in.Limiter = &limit.Limiter[netip.Addr]{PerSecond: 1e-9}
	in.Limiter.Allow(in.Clock.Now(), netip.MustParseAddr("127.0.0.1"))
	in.mu.Unlock()
	resp, _, err = send(http.DefaultClient, in, "/order/echo", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 429)
	is.Equal(resp.Header.Get(headerVerdict), "NotRun")
	in.mu.Lock()
	in.Limiter.PerSecond = 1e9
	in.mu.Unlock()
	resp, _, err = send(http.DefaultClient, in, "/order/echo", "", headerTimeout, "-1")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 400)
	for _, raw := range []string{
		"nonsense\r\n\r\n",
		"POST /order/echo HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
		"POST /order/echo HTTP/1.1\r\nHost: x\r\nBad Header\r\n\r\n",
		"POST /order/echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	} {
		c, err := net.Dial("tcp", in.Address())
		is.NoErr(err)
		_, err = c.Write([]byte(raw))
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, 400)
		is.Equal(resp.Header.Get(headerVerdict), "NotRun")
		_ = c.Close()
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	is.Equal(len(target.runs), 0)
}

// TestTargetThatClosesNewConnections guards against endless reconnecting to a target
// that closes each new connection at once.
func TestTargetThatClosesNewConnections(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	var accepted atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_, _ = c.Write([]byte("x")) // seen before the request is sent, unlike a close in the same instant
			_ = c.Close()
		}
	}()
	target := newTarget("t", l.Addr().String(), 4, Limits{HeaderBytes: 4096, BodyBytes: 4096}, &Dialect{}, &leftCounters{})
	for range 20 {
		_, err = target.call(t.Context(), 0, 300, &wire.Request{Method: "GET", URI: []byte("/"), Idempotent: true})
		is.True(err != nil)
	}
	is.True(accepted.Load() <= 20)
}

// TestRefusalOfLargeBodyArrives guards against a caller that loses the refusal of a large
// body, because its connection is reset while it still sends.
func TestRefusalOfLargeBodyArrives(t *testing.T) {
	is := is.New(t)
	in := newIngress(t, newFleet(t, 2, newFakeTarget(t)))
	c, err := net.Dial("tcp", in.Address())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
	const size = 32 << 20
	_, err = fmt.Fprintf(c, "POST /order/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	is.NoErr(err)
	piece := make([]byte, 1<<20)
	for range size / len(piece) {
		_, err = c.Write(piece)
		is.NoErr(err)
		time.Sleep(5 * time.Millisecond)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
}

// TestKeyWithoutStore guards against a node without a store for idempotency keys that
// refuses every action whose caller sends one.
func TestKeyWithoutStore(t *testing.T) {
	is := is.New(t)
	target := newFakeTarget(t)
	in := newIngress(t, newFleet(t, 2, target))
	for _, key := range []string{"order-17", strings.Repeat("k", 300)} {
		resp, body, err := send(http.DefaultClient, in, "/order/echo", key, headerIdempotencyKey, key)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, key)
		is.Equal(target.runCount(key), 1)
	}
}
