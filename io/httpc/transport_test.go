package httpc

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// testTimeout is the time that a request has.
const testTimeout = 500 * time.Millisecond

// startAnswers starts a server that sends the answers in turn, one for each request, and
// then leaves the requests without an answer. It returns a client of the server.
func startAnswers(t *testing.T, answers ...string) *fasthttp.HostClient {
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
			t.Cleanup(func() { _ = c.Close() })
			b := bufio.NewReader(c)
			for len(answers) > 0 {
				if _, err := http.ReadRequest(b); err != nil {
					break // the client closed the connection
				}
				_, _ = c.Write([]byte(answers[0])) // the client's result shows a failure
				answers = answers[1:]
			}
		}
	}()
	return &fasthttp.HostClient{
		Addr: l.Addr().String(), Transport: Transport{}, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: 8,
	}
}

// do sends one request and returns the status and the body of the answer.
func do(c *fasthttp.HostClient, method string) (int, string, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.Addr + "/")
	err := c.DoTimeout(req, resp, testTimeout)
	return resp.StatusCode(), string(resp.Body()), err
}

// TestTransport guards against an answer that is mistaken for a longer or shorter one, so
// that the next one on the connection is not read from its start, and against a connection
// that is not used again.
func TestTransport(t *testing.T) {
	is := is.New(t)
	c := startAnswers(t,
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\nSum: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\nfive",
	)
	for _, want := range []struct {
		method string
		status int
		body   string
	}{
		{"GET", 200, "one"}, {"POST", 200, "two"}, {"HEAD", 200, ""}, {"GET", 204, ""}, {"GET", 500, "five"},
	} {
		status, body, err := do(c, want.method)
		is.NoErr(err)
		is.Equal(status, want.status)
		is.Equal(body, want.body)
		is.Equal(c.ConnsCount(), 1)
	}
}

// TestTransportFailures guards against an answer that is malformed, too large, stalled or missing
// and is taken for a success, and against its connection being used again.
func TestTransportFailures(t *testing.T) {
	for name, c := range map[string]struct {
		answers []string
		is      error
	}{
		"malformed":        {[]string{"HTTP/1.1 000 None\r\nContent-Length: 3\r\n\r\none"}, ErrMalformed},
		"malformed second": {[]string{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX Y: 1\r\n\r\n"}, ErrMalformed},
		"too large":        {[]string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnine byte"}, fasthttp.ErrBodyTooLarge},
		"stalled":          {[]string{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\non"}, nil},
		"missing":          {nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := startAnswers(t, c.answers...)
			begin := time.Now()
			_, _, err := do(client, "GET")
			is.True(err != nil)
			is.True(c.is == nil || errors.Is(err, c.is))
			is.True(time.Since(begin) < 2*testTimeout)
			is.Equal(client.ConnsCount(), 0)
		})
	}
}
