package httpc

import (
	"bytes"
	"errors"
	"fmt"

	"hickoryrail/core/syntax"
)

const (
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// maxShownBytes bounds what an error shows of a line.
	maxShownBytes = 64
)

var (
	// errNotHTTP reports bytes that are not the start of an HTTP answer. It is no
	// ErrMalformed, because there is no answer whose head could be at fault.
	errNotHTTP = errors.New("bytes are not an HTTP answer")

	anyVersion           = []byte("HTTP/")
	version10, version11 = []byte("HTTP/1.0"), []byte("HTTP/1.1")
	transferEncoding     = []byte("Transfer-Encoding")
	space, colon         = []byte{' '}, []byte{':'}
)

// checkHead returns an error unless every line of a head is well formed. A line feed or a
// carriage return within a line is refused, so that no parser can end the line there. So is
// a line that continues the value of the one before it (RFC 9112, 5.2): it cannot be told
// from a field whose name begins with a blank.
func checkHead(head []byte) error {
	line, rest, _ := bytes.Cut(head, lineEnd)
	version, err := checkStatusLine(line)
	if err != nil {
		return err
	}
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, lineEnd)
		if !validField(line, version) {
			return malformed("field", line)
		}
	}
	return nil
}

// checkStatusLine returns the version in line, or an error unless line has a version and a
// status that HTTP defines.
func checkStatusLine(line []byte) ([]byte, error) {
	version, rest, _ := bytes.Cut(line, space)
	if !bytes.HasPrefix(version, anyVersion) {
		return nil, errNotHTTP
	}
	status, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), space)
	if !validVersion(version) || !validStatus(status) || syntax.HasControl(line) {
		return nil, malformed("status line", line)
	}
	return version, nil
}

// validVersion reports whether text is a version in which fasthttp reads answers.
func validVersion(text []byte) bool {
	return bytes.Equal(text, version11) || bytes.Equal(text, version10)
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
	return syntax.IsStatus(status)
}

// validField reports whether line is a token, a colon and a value, and is allowed in a version.
// HTTP/1.0 has no chunks, and an answer with them has no certain end (RFC 9112, 6.1).
func validField(line, version []byte) bool {
	name, value, ok := bytes.Cut(line, colon)
	if !ok || !syntax.IsToken(name) || syntax.HasControl(value) {
		return false
	}
	return bytes.Equal(version, version11) || !bytes.EqualFold(name, transferEncoding)
}

// malformed returns ErrMalformed with the start of the line that is malformed.
func malformed(what string, line []byte) error {
	return fmt.Errorf("%w: %s %q", ErrMalformed, what, line[:min(len(line), maxShownBytes)])
}
