package wire

import (
	"bytes"
	"iter"
)

// Headers is a list of header fields in one block of bytes, so that copying,
// encoding and decoding it takes one allocation. Each field is its name, a
// colon, its value and a line feed. Values hold any bytes that HTTP allows,
// which need not be UTF-8.
type Headers []byte

const (
	// nameEnd and fieldEnd end a field's name and the field.
	nameEnd, fieldEnd = ':', '\n'
	// fieldMarks is the number of marks in a field.
	fieldMarks = 2
)

// Append appends a field. A field that could be read as another one makes the
// list invalid.
func (h *Headers) Append(name, value []byte) {
	if !validToken(name) || bytes.IndexByte(value, fieldEnd) >= 0 {
		*h = append(*h, fieldEnd)
		return
	}
	*h = append(append(*h, name...), nameEnd)
	*h = append(append(*h, value...), fieldEnd)
}

// All returns the names and values in order. They share the list's memory. An
// invalid list ends early.
func (h Headers) All() iter.Seq2[[]byte, []byte] {
	return func(yield func(name, value []byte) bool) {
		for rest := []byte(h); len(rest) > 0; {
			field, after, ok := bytes.Cut(rest, []byte{fieldEnd})
			name, value, named := bytes.Cut(field, []byte{nameEnd})
			if !ok || !named || !yield(name, value) {
				return
			}
			rest = after
		}
	}
}

// valid reports whether no field can break out of its line, and whether there
// are not too many.
func (h Headers) valid() bool {
	fields, size := 0, 0
	for name, value := range h.All() {
		if !validToken(name) {
			return false
		}
		for _, c := range value {
			if c < ' ' && c != '\t' || c == 0x7f {
				return false
			}
		}
		fields++
		size += len(name) + len(value) + fieldMarks
	}
	return fields <= MaxCallHeaders && size == len(h)
}
