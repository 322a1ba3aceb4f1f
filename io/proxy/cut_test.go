package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"hickoryrail/core/clock"
	"hickoryrail/core/result"
	"hickoryrail/io/wire"
)

// testMillis bounds each call of the tests.
const testMillis = 20 * clock.Second

// cutAnswers holds whole answers, each of which is cut at every byte. The fields that
// make an answer the target's own come first, so that a part of the head has them.
var cutAnswers = map[string]struct {
	method, answer string
	verdict        result.Verdict
	body           string
}{
	"length":        {"GET", "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: c-1\r\nContent-Length: 12\r\n\r\ntwelve bytes", result.Ran, "twelve bytes"},
	"length first":  {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nCall: c-1\r\nStamp: s\r\n\r\ntwelve bytes", result.Ran, "twelve bytes"},
	"empty body":    {"GET", "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: c-1\r\nContent-Length: 0\r\n\r\n", result.Ran, ""},
	"no content":    {"GET", "HTTP/1.1 204 No Content\r\nStamp: s\r\nCall: c-1\r\n\r\n", result.Ran, ""},
	"chunks":        {"GET", "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: c-1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\nc\r\ntwelve bytes\r\n0\r\n\r\n", result.Ran, "onetwelve bytes"},
	"trailer":       {"GET", "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: c-1\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n3\r\none\r\n0\r\nSum: 1\r\n\r\n", result.Ran, "one"},
	"interim":       {"GET", "HTTP/1.1 103 Early Hints\r\nStamp: s\r\nCall: c-1\r\n\r\nHTTP/1.1 200 OK\r\nStamp: s\r\nCall: c-1\r\nContent-Length: 3\r\n\r\none", result.Ran, "one"},
	"two interim":   {"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nContent-Length: 3\r\n\r\nHTTP/1.1 200 OK\r\nStamp: s\r\nCall: c-1\r\nContent-Length: 3\r\n\r\none", result.Ran, "one"},
	"head":          {"HEAD", "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: c-1\r\nContent-Length: 12\r\n\r\n", result.Ran, ""},
	"failure":       {"GET", "HTTP/1.1 500 No\r\nStamp: s\r\nCall: c-1\r\nContent-Length: 2\r\n\r\nno", result.Ran, "no"},
	"refusal":       {"GET", "HTTP/1.1 503 Busy\r\nUnrun: 1\r\nCall: c-1\r\nContent-Length: 4\r\n\r\nbusy", result.NotRun, ""},
	"other target":  {"GET", "HTTP/1.1 421 Other\r\nUnrun: 1\r\nCall: c-1\r\nContent-Length: 0\r\n\r\n", result.NotRun, ""},
	"after another": {"GET", "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: c-0\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nStamp: s\r\nCall: c-1\r\nContent-Length: 3\r\n\r\none", result.Ran, "one"},
}

// newCutTarget starts a target that answers the only request of each connection with text
// up to the byte that the request's path names, and closes the connection, by a reset if
// reset is set. It returns the client of the target.
func newCutTarget(t *testing.T, text string, reset bool) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				n, _ := strconv.Atoi(r.URL.Path[1:]) // checked by the test's results
				_, _ = c.Write([]byte(text[:n]))     // the client may have gone away
			}
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	d := customDialect()
	return newTarget("t-1", l.Addr().String(), 9, Limits{HeaderBytes: 4096, BodyBytes: 4096}, &d, &leftCounters{})
}

// callCut requests the first n bytes of the target's text.
func callCut(t *testing.T, tg *target, method string, n int) (*wire.Response, error) {
	r := customRequest(1, false)
	r.Method, r.URI = method, []byte("/"+strconv.Itoa(n))
	return tg.call(t.Context(), 0, testMillis, r)
}

// TestCutAnswer guards against an answer that ends early, in its head, its body or its
// trailer, and is passed on as a whole one or taken for a refusal.
func TestCutAnswer(t *testing.T) {
	for name, c := range cutAnswers {
		for _, reset := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				tg := newCutTarget(t, c.answer, reset)
				for n := range c.answer {
					_, err := callCut(t, tg, c.method, n)
					if result.Of(err) != result.MayHaveRun || result.Reason(err) != reasonTargetLost {
						t.Fatalf("%q gives %v", c.answer[:n], err)
					}
				}
				if reset {
					return // the reset may also discard the end of a whole answer
				}
				resp, err := callCut(t, tg, c.method, len(c.answer))
				is.Equal(result.Of(err), c.verdict)
				if err == nil {
					is.Equal(string(resp.Body), c.body)
				}
			})
		}
	}
}

// TestCutHeadWithoutLength guards against a head that ends early and is taken for the
// whole head of an answer that ends with its connection, whose body is then empty.
func TestCutHeadWithoutLength(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: c-1\r\nX-More: 1\r\n\r\n", "to the end"
	is := is.New(t)
	tg := newCutTarget(t, head+body, false)
	for n := range head {
		_, err := callCut(t, tg, "GET", n)
		if result.Of(err) != result.MayHaveRun || result.Reason(err) != reasonTargetLost {
			t.Fatalf("%q gives %v", head[:n], err)
		}
	}
	resp, err := callCut(t, tg, "GET", len(head+body))
	is.NoErr(err)
	is.Equal(string(resp.Body), body)
	_, err = callCut(t, newCutTarget(t, head+body, true), "GET", len(head+body))
	is.Equal(result.Of(err), result.MayHaveRun) // a body that a reset ends is not whole
}

// TestCutAnswerInPieces guards against a cut answer that looks whole because of how its
// bytes arrive: one at a time, or the last ones together with the end.
func TestCutAnswerInPieces(t *testing.T) {
	for name, c := range cutAnswers {
		for n := range c.answer {
			for _, pieces := range []func(io.Reader) io.Reader{iotest.OneByteReader, iotest.HalfReader, iotest.DataErrReader} {
				x := exchange{resp: fasthttp.AcquireResponse(), id: []byte("c-1")}
				x.resp.SkipBody = c.method == http.MethodHead
				b := bufio.NewReader(pieces(strings.NewReader(c.answer[:n])))
				err := x.read(b, 1<<20, true)
				if name == "after another" && n >= strings.Index(c.answer, "old")+len("old") {
					err = x.read(b, 1<<20, true) // the first one is whole
				}
				if err == nil {
					t.Fatalf("%s: %q is read as a whole answer", name, c.answer[:n])
				}
				fasthttp.ReleaseResponse(x.resp)
			}
		}
	}
}
