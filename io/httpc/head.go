// Package httpc reads the answers of HTTP servers for the clients of this project.
package httpc

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"

	"github.com/valyala/fasthttp"
)

// maxInterim bounds the interim (1xx) answers before the final one.
const maxInterim = 8

var (
	// ErrMalformed reports an answer whose head does not follow HTTP/1.1 (RFC 9112), so that
	// its meaning and its end are uncertain.
	ErrMalformed = errors.New("head of the answer is malformed")
	// ErrHeadTooLarge reports a head that does not fit into the reader's buffer.
	ErrHeadTooLarge = errors.New("head of the answer is too large")
	// errInterim reports an answer that does not become final.
	errInterim = errors.New("answer has too many or unusable interim answers")

	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// ReadFinalHead reads the heads of interim answers and that of the final one, which is then
// in h. It returns the error of the connection, ErrMalformed, ErrHeadTooLarge, or another
// error for bytes that are not HTTP and for interim answers without an end.
func ReadFinalHead(b *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for interim := 0; ; interim++ {
		if err := readHead(b, h); err != nil {
			return err
		}
		status := h.StatusCode()
		if status >= http.StatusOK {
			return nil
		}
		if status == http.StatusSwitchingProtocols || interim == maxInterim {
			return errInterim
		}
	}
}

// HasBody reports whether a body follows the final head, which is in resp.
func HasBody(resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	return !resp.SkipBody && status != http.StatusNoContent && status != http.StatusNotModified
}

// readHead reads one head. It is checked before fasthttp parses it, because fasthttp accepts
// heads that are malformed and changes them: it reports the status 000 as 200, removes the
// blank at the end of a field name and drops the lines behind an empty one.
func readHead(b *bufio.Reader, h *fasthttp.ResponseHeader) error {
	head, err := peekHead(b)
	if err != nil {
		return err
	}
	if err := checkHead(head); err != nil {
		return err
	}
	return h.Read(b)
}

// peekHead skips empty lines and returns the lines of the head up to the next empty one,
// which stay in the buffer of b.
func peekHead(b *bufio.Reader) ([]byte, error) {
	if err := skipEmptyLines(b); err != nil {
		return nil, err
	}
	searched := 0
	for {
		if _, err := b.Peek(searched + 1); err != nil {
			return nil, peekError(err)
		}
		buffered, err := b.Peek(b.Buffered())
		if err != nil {
			return nil, err
		}
		from := max(searched-len(headEnd)+1, 0)
		if i := bytes.Index(buffered[from:], headEnd); i >= 0 {
			return buffered[:from+i+len(lineEnd)], nil
		}
		searched = len(buffered)
	}
}

// skipEmptyLines discards the empty lines before an answer.
func skipEmptyLines(b *bufio.Reader) error {
	for {
		start, err := b.Peek(len(lineEnd))
		if err != nil {
			return err
		}
		if !bytes.Equal(start, lineEnd) {
			return nil
		}
		if _, err := b.Discard(len(lineEnd)); err != nil {
			return err
		}
	}
}

// peekError returns the error for a head that could not be read to its end.
func peekError(err error) error {
	if errors.Is(err, bufio.ErrBufferFull) {
		return ErrHeadTooLarge
	}
	return err
}
