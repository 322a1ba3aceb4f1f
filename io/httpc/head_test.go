package httpc

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// readHeadOf reads the final head of an answer and returns what follows it.
func readHeadOf(answer string, h *fasthttp.ResponseHeader) (string, error) {
	b := bufio.NewReader(iotest.OneByteReader(strings.NewReader(answer)))
	if err := ReadFinalHead(b, h); err != nil {
		return "", err
	}
	rest, err := io.ReadAll(b)
	return string(rest), err
}

// TestWellFormedHead guards against a head that HTTP allows and that is refused, or whose
// end is mistaken.
func TestWellFormedHead(t *testing.T) {
	for name, c := range map[string]struct {
		head   string
		status int
	}{
		"one field":       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", 200},
		"no fields":       {"HTTP/1.1 204 No Content\r\n\r\n", 204},
		"no phrase":       {"HTTP/1.1 404 \r\nContent-Length: 2\r\n\r\n", 404},
		"no space either": {"HTTP/1.1 404\r\nContent-Length: 2\r\n\r\n", 404},
		"HTTP/1.0":        {"HTTP/1.0 500 No\r\nContent-Length: 2\r\n\r\n", 500},
		"last status":     {"HTTP/1.1 599 Other\r\nContent-Length: 2\r\n\r\n", 599},
		"empty lines":     {"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", 200},
		"interim":         {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 201 Created\r\n\r\n", 201},
		"values":          {"HTTP/1.1 200 OK\r\nEmpty:\r\nWide:  a\tb \r\nHigh: \xe4\r\nColon: a:b\r\n\r\n", 200},
		"names":           {"HTTP/1.1 200 OK\r\nx!#$%&'*+-.^_`|~09: 1\r\n\r\n", 200},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var h fasthttp.ResponseHeader
			rest, err := readHeadOf(c.head+"ok\r\n\r\n", &h)
			is.NoErr(err)
			is.Equal(h.StatusCode(), c.status)
			is.Equal(rest, "ok\r\n\r\n")
		})
	}
}

// TestUnreadableHead guards against a head that is not read to its end and taken for a whole
// one, and against one that takes more than the reader's buffer.
func TestUnreadableHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
	is := is.New(t)
	var h fasthttp.ResponseHeader
	for n := range head {
		_, err := readHeadOf(head[:n], &h)
		is.Equal(err, io.EOF)
	}
	_, err := readHeadOf("HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 8<<10)+"\r\n\r\n", &h)
	is.Equal(err, ErrHeadTooLarge)
	_, err = readHeadOf("hello\r\n\r\n", &h)
	is.Equal(err, errNotHTTP)
	_, err = readHeadOf(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterim+1)+head, &h)
	is.Equal(err, errInterim)
	_, err = readHeadOf("HTTP/1.1 000 None\r\n\r\n", &h)
	is.True(errors.Is(err, ErrMalformed))
}

// TestFieldNames guards against a character that is refused in a field name although HTTP
// allows it, or the reverse.
func TestFieldNames(t *testing.T) {
	const allowed = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	is := is.New(t)
	for c := range 256 {
		text := string([]byte{byte(c)})
		if text == ":" {
			continue // it ends the name
		}
		var h fasthttp.ResponseHeader
		_, err := readHeadOf("HTTP/1.1 200 OK\r\nX"+text+"y: 1\r\n\r\n", &h)
		is.Equal(err == nil, strings.Contains(allowed, text))
		is.Equal(errors.Is(err, ErrMalformed), err != nil)
	}
}
