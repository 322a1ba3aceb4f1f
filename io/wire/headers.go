package wire

import (
	"bytes"
	"iter"
	"strings"

	"hickoryrail/core/syntax"
)

// Headers is a list of header fields in one block of bytes, so that copying,
// encoding and decoding it takes one allocation. Each field is its name, a
// colon, its value and a line feed. Values may contain any bytes that HTTP allows
// and need not be UTF-8.
type Headers []byte

const (
	// nameEnd terminates a field's name and fieldEnd the field.
	nameEnd, fieldEnd = ':', '\n'
	// fieldDelimiters is the number of delimiter bytes in a field.
	fieldDelimiters = 2
)

// Append appends a field. A name that is not a token, or a value that contains a line
// feed, makes the list invalid, because it could be parsed as other fields.
func (h *Headers) Append(name, value []byte) {
	if !syntax.IsToken(name) || bytes.IndexByte(value, fieldEnd) >= 0 {
		*h = append(*h, fieldEnd)
		return
	}
	*h = append(append(*h, name...), nameEnd)
	*h = append(append(*h, value...), fieldEnd)
}

// All returns the names and values in order. They share the list's memory. The
// iteration stops at the first malformed field.
func (h Headers) All() iter.Seq2[[]byte, []byte] {
	return func(yield func(name, value []byte) bool) {
		for rest := []byte(h); len(rest) > 0; {
			line, after, ok := bytes.Cut(rest, []byte{fieldEnd})
			name, value, named := bytes.Cut(line, []byte{nameEnd})
			if !ok || !named || !yield(name, value) {
				return
			}
			rest = after
		}
	}
}

// Get returns the value of the first field with a name, in any case, or nil.
func (h Headers) Get(name string) []byte {
	for n, value := range h.All() {
		if len(n) == len(name) && strings.EqualFold(string(n), name) {
			return value
		}
	}
	return nil
}

// valid reports whether the list is well formed, no value contains a control
// character other than a tab, and there are at most MaxCallHeaders fields.
func (h Headers) valid() bool {
	fields, size := 0, 0
	for name, value := range h.All() {
		if !syntax.IsToken(name) || syntax.HasControl(value) {
			return false
		}
		fields++
		size += len(name) + len(value) + fieldDelimiters
	}
	return fields <= MaxCallHeaders && size == len(h)
}
