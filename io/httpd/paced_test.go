package httpd

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"hickoryrail/core/clock"
	"hickoryrail/io/uplink"
)

const (
	// slowBits is a rate in bits per second at which a response of largeBytes takes seconds.
	slowBits   = 1_600_000
	largeBytes = 400_000
)

// pacedFixture returns a server whose responses to other servers are paced. Requests for
// /large have a large response.
func pacedFixture(t *testing.T) (*fixture, *uplink.Link) {
	t.Helper()
	link := uplink.New(slowBits, clock.NewSystem())
	link.SetActive(true)
	f := startLinked(t, link, func(_ context.Context, rc *fasthttp.RequestCtx) {
		if string(rc.Path()) == "/large" {
			rc.SetBodyString(string(bytes.Repeat([]byte("12345678"), largeBytes/8)))
		}
	})
	return f, link
}

// remote opens a connection from another address than the server's.
func (f *fixture) remote(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	c, err := d.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// ask sends a request.
func ask(c net.Conn, path string) error {
	_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	return err
}

// bodyOf reads a response and returns the size of its body.
func bodyOf(b *bufio.Reader) (int, error) {
	resp, err := http.ReadResponse(b, nil)
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(resp.Body)
	return len(body), err
}

// awaitBacklog waits until bytes wait for the link, or until none do.
func awaitBacklog(t *testing.T, link *uplink.Link, some bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if n, _ := link.Backlog(); (n > 0) == some {
			return
		}
		if time.Now().After(end) {
			t.Fatal("backlog does not change")
		}
	}
}

// TestPacedResponses guards against a large response that is cut or damaged, and against
// small responses and those to the same server that wait for it.
func TestPacedResponses(t *testing.T) {
	is := is.New(t)
	f, link := pacedFixture(t)
	large, largeReader := f.remote(t)
	small, smallReader := f.remote(t)
	local, localReader := f.dial(t)
	is.NoErr(ask(large, "/large"))
	awaitBacklog(t, link, true)
	is.NoErr(ask(small, "/small"))
	_, err := bodyOf(smallReader)
	is.NoErr(err)
	is.NoErr(ask(local, "/large"))
	n, err := bodyOf(localReader)
	is.NoErr(err)
	is.Equal(n, largeBytes)
	waiting, _ := link.Backlog()
	is.True(waiting > 0) // the first response is still being sent
	n, err = bodyOf(largeReader)
	is.NoErr(err)
	is.Equal(n, largeBytes)
}

// TestCallerLeavesPacedResponse guards against a response that waits for the link although
// its caller has left.
func TestCallerLeavesPacedResponse(t *testing.T) {
	is := is.New(t)
	f, link := pacedFixture(t)
	for range 4 {
		c, _ := f.remote(t)
		is.NoErr(ask(c, "/large"))
		awaitBacklog(t, link, true)
		is.NoErr(c.Close())
	}
	awaitBacklog(t, link, false) // to send them all would take longer than it waits
	c, b := f.remote(t)
	is.NoErr(ask(c, "/large"))
	n, err := bodyOf(b)
	is.NoErr(err)
	is.Equal(n, largeBytes)
}

// TestCloseFinishesPacedResponse guards against a planned stop that cuts a response which
// waits for the link.
func TestCloseFinishesPacedResponse(t *testing.T) {
	is := is.New(t)
	f, link := pacedFixture(t)
	c, b := f.remote(t)
	is.NoErr(ask(c, "/large"))
	awaitBacklog(t, link, true)
	closed := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		closed <- f.Close(ctx)
	}()
	n, err := bodyOf(b)
	is.NoErr(err)
	is.Equal(n, largeBytes)
	is.NoErr(<-closed)
}
