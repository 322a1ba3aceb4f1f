// Package httpc reads the answers of HTTP servers for the clients of this project.
package httpc

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"

	"github.com/valyala/fasthttp"

	"hickoryrail/core/field"
)

const (
	// maxInterim bounds the interim (1xx) answers before the final one.
	maxInterim = 8
	// statusDigits is the number of digits of a status, and minStatus and maxStatus the
	// first and the last one (RFC 9110, 15).
	statusDigits         = 3
	minStatus, maxStatus = 100, 599
	// maxShownBytes bounds what an error shows of a line.
	maxShownBytes = 64
)

var (
	// ErrMalformed reports an answer whose head does not follow HTTP/1.1 (RFC 9112), so that
	// its meaning and its end are uncertain.
	ErrMalformed = errors.New("head of the answer is malformed")
	// ErrHeadTooLarge reports a head that does not fit into the reader's buffer.
	ErrHeadTooLarge = errors.New("head of the answer is too large")
	// errNotHTTP reports bytes that are not the start of an HTTP answer.
	errNotHTTP = errors.New("bytes are not an HTTP answer")
	// errInterim reports an answer that does not become final.
	errInterim = errors.New("answer has too many or unusable interim answers")

	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// ReadFinalHead reads the heads of the interim answers and of the final one, whose head is
// then in h. It returns ErrMalformed, ErrHeadTooLarge or the error of the connection.
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

// checkHead returns an error unless every line of a head is well formed. A line feed or a
// carriage return within a line is refused, so that no parser can end the line there. So is
// a line that continues the value of the one before it (RFC 9112, 5.2): it cannot be told
// from a field whose name begins with a blank.
func checkHead(head []byte) error {
	line, rest, _ := bytes.Cut(head, lineEnd)
	if err := checkStatusLine(line); err != nil {
		return err
	}
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, lineEnd)
		if !validField(line) {
			return malformed("field", line)
		}
	}
	return nil
}

// checkStatusLine returns an error unless line has a version and a status that HTTP defines.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	if !bytes.HasPrefix(version, []byte("HTTP/")) {
		return errNotHTTP
	}
	status, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte{' '})
	if !validStatus(status) || field.HasControl(line) {
		return malformed("status line", line)
	}
	return nil
}

// validStatus reports whether text is a status that HTTP defines.
func validStatus(text []byte) bool {
	if len(text) != statusDigits {
		return false
	}
	status := 0
	for _, c := range text {
		if c < '0' || c > '9' {
			return false
		}
		status = 10*status + int(c-'0')
	}
	return status >= minStatus && status <= maxStatus
}

// validField reports whether line is a token, a colon and a value.
func validField(line []byte) bool {
	name, value, ok := bytes.Cut(line, []byte{':'})
	return ok && field.IsToken(name) && !field.HasControl(value)
}

// malformed returns ErrMalformed with the start of the line that is malformed.
func malformed(what string, line []byte) error {
	return fmt.Errorf("%w: %s %q", ErrMalformed, what, line[:min(len(line), maxShownBytes)])
}
