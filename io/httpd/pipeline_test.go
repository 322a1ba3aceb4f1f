package httpd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// plannedRequest is one request of a connection, and what its answer must be.
type plannedRequest struct {
	number int
	method string
	body   []byte
	// chunked and expects say how the body is sent.
	chunked, expects bool
	// emptyLine precedes the request with an empty line.
	emptyLine bool
	// answerBytes is the size of the answer's body, and pause the time of the handler.
	answerBytes int
	pause       time.Duration
	// pieceBytes is the size of the writes.
	pieceBytes int
	// parts are the bytes of the request: its head, and its body.
	parts [2]string
	// asked receives a value when the interim answer has arrived.
	asked chan struct{}
}

// drawRequest returns a random request.
func drawRequest(t *rapid.T, number int) *plannedRequest {
	r := &plannedRequest{number: number, method: rapid.SampledFrom([]string{"GET", "POST", "PUT", "DELETE"}).Draw(t, "method"), asked: make(chan struct{}, 1)}
	if r.method != "GET" {
		r.body = bytes.Repeat([]byte{byte('a' + number)}, rapid.SampledFrom([]int{0, 1, 100, 5_000, 200_000}).Draw(t, "body"))
		r.chunked = rapid.Bool().Draw(t, "chunked")
		r.expects = len(r.body) > 0 && rapid.IntRange(0, 2).Draw(t, "expects") == 0
	}
	r.emptyLine = rapid.IntRange(0, 4).Draw(t, "empty line") == 0
	r.answerBytes = rapid.SampledFrom([]int{0, 1, 3_000, 100_000, 1_000_000}).Draw(t, "answer")
	r.pause = time.Duration(rapid.IntRange(0, 3).Draw(t, "pause")) * time.Millisecond
	r.pieceBytes = rapid.SampledFrom([]int{7, 1_000, 1 << 20}).Draw(t, "piece")
	if len(r.body) > 5_000 {
		r.pieceBytes = max(r.pieceBytes, 1_000)
	}
	r.parts = [2]string{r.head(), r.content()} // before the connection, which has an idle timeout
	return r
}

// head returns the bytes of the request before its body.
func (r *plannedRequest) head() string {
	var b strings.Builder
	if r.emptyLine {
		b.WriteString("\r\n")
	}
	fmt.Fprintf(&b, "%s /%d HTTP/1.1\r\nHost: h\r\nAnswer-Bytes: %d\r\nPause: %d\r\n", r.method, r.number, r.answerBytes, r.pause.Milliseconds())
	if r.expects {
		b.WriteString("expect: 100-Continue\r\n")
	}
	switch {
	case r.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.method != "GET":
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	return b.String()
}

// content returns the bytes of the body.
func (r *plannedRequest) content() string {
	if !r.chunked {
		return string(r.body)
	}
	var b strings.Builder
	size := max(1+r.number*997%4_000, len(r.body)/200) // single bytes only in small bodies
	for rest := r.body; len(rest) > 0; {
		n := min(len(rest), size)
		fmt.Fprintf(&b, "%x;part=%d\r\n%s\r\n", n, r.number, rest[:n])
		rest = rest[n:]
	}
	return b.String() + "0\r\n\r\n"
}

// sendPlanned writes the requests to c. A body follows the interim answer if the request expects
// one.
func sendPlanned(ctx context.Context, c net.Conn, requests []*plannedRequest) error {
	for _, r := range requests {
		for _, part := range r.parts {
			for len(part) > 0 {
				n := min(len(part), r.pieceBytes)
				if _, err := io.WriteString(c, part[:n]); err != nil {
					return err
				}
				part = part[n:]
			}
			if !r.expects {
				continue
			}
			select {
			case <-r.asked:
				r.expects = false // only the first part waits
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

// answerPlanned is the handler: it says which request it got.
func answerPlanned(_ context.Context, rc *fasthttp.RequestCtx) {
	pause, _ := strconv.Atoi(string(rc.Request.Header.Peek("Pause")))
	time.Sleep(time.Duration(pause) * time.Millisecond)
	size, _ := strconv.Atoi(string(rc.Request.Header.Peek("Answer-Bytes")))
	rc.Response.Header.Set("Path", string(rc.Path()))
	rc.Response.Header.Set("Got", fmt.Sprintf("%s %d %d", rc.Method(), len(rc.PostBody()), bytes.Count(rc.PostBody(), rc.PostBody()[:min(1, len(rc.PostBody()))])))
	rc.SetBody(bytes.Repeat(rc.Path()[1:2], size))
}

// check reads the answer to the request, with the interim one before it.
func (r *plannedRequest) check(b *bufio.Reader, expects bool) error {
	resp, err := http.ReadResponse(b, nil)
	if err == nil && expects {
		if resp.StatusCode != http.StatusContinue {
			return fmt.Errorf("request %d: status %d in place of the interim answer", r.number, resp.StatusCode)
		}
		r.asked <- struct{}{}
		resp, err = http.ReadResponse(b, nil)
	}
	if err != nil {
		return fmt.Errorf("request %d: %w", r.number, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("request %d: %w", r.number, err)
	}
	count := len(r.body)
	if count == 0 {
		count = 1 // Count of an empty separator in an empty body
	}
	path, got := fmt.Sprintf("/%d", r.number), fmt.Sprintf("%s %d %d", r.method, len(r.body), count)
	want := bytes.Repeat([]byte(path[1:2]), r.answerBytes)
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Path") != path || resp.Header.Get("Got") != got || !bytes.Equal(body, want) {
		return fmt.Errorf("request %d: status %d, path %q, got %q, want %q, %d bytes, want %d",
			r.number, resp.StatusCode, resp.Header.Get("Path"), resp.Header.Get("Got"), got, len(body), len(want))
	}
	return nil
}

// TestConnectionAgainstPlan guards against answers that are out of order, changed, cut or
// mixed with interim ones, whatever the requests of one connection look like, how they are
// split into writes, and how slowly the answers are read. Run it with -rapid.checks for long.
func TestConnectionAgainstPlan(t *testing.T) {
	f := start(t, answerPlanned)
	rapid.Check(t, func(rt *rapid.T) {
		requests := make([]*plannedRequest, rapid.IntRange(1, 9).Draw(rt, "requests"))
		expects := make([]bool, len(requests))
		for i := range requests {
			requests[i] = drawRequest(rt, i)
			expects[i] = requests[i].expects
		}
		slow := time.Duration(rapid.SampledFrom([]int{0, 0, 3}).Draw(rt, "reads slowly")) * time.Millisecond
		c, err := net.Dial("tcp", f.address)
		if err != nil {
			rt.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		sent := make(chan error, 1)
		go func() { sent <- sendPlanned(ctx, c, requests) }()
		b := bufio.NewReader(c)
		for i, r := range requests {
			time.Sleep(slow)
			if err := r.check(b, expects[i]); err != nil {
				rt.Fatal(err)
			}
		}
		if err := <-sent; err != nil {
			rt.Fatal(err)
		}
	})
}
