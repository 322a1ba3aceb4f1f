package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"hickoryrail/core/sets"
)

// errTrailing reports a body with data after its JSON value.
var errTrailing = errors.New("text after the JSON value")

// decode decodes one JSON object strictly: unknown fields, repeated fields and
// trailing data are errors, and the result is then the zero value. Names that
// differ only in case count as repeated, because encoding/json matches them to
// the same field. The result shares no memory with body.
func decode[T any](body []byte) (T, error) {
	var v, zero T
	if err := checkObject(body); err != nil {
		return zero, err
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return zero, err
	}
	return v, nil
}

// checkObject returns an error unless body is exactly one JSON object without
// repeated field names at any depth.
func checkObject(body []byte) error {
	d := json.NewDecoder(bytes.NewReader(body))
	// scopes holds the open objects and arrays; names is nil for an array.
	type scope struct {
		names sets.Set[string]
		// expectName is true if the next token of an object is a field name or
		// the object's end.
		expectName bool
	}
	var scopes []scope
	for first := true; first || len(scopes) > 0; first = false {
		token, err := d.Token()
		if err != nil {
			return fmt.Errorf("malformed JSON: %w", err)
		}
		if first && token != json.Delim('{') {
			return errors.New("body is not a JSON object")
		}
		if n := len(scopes); n > 0 && scopes[n-1].names != nil {
			if name, ok := token.(string); ok && scopes[n-1].expectName {
				if !scopes[n-1].names.Add(strings.ToLower(name)) {
					return fmt.Errorf("field %q is repeated", name)
				}
			}
			scopes[n-1].expectName = !scopes[n-1].expectName
		}
		switch token {
		case json.Delim('{'):
			scopes = append(scopes, scope{names: sets.Of[string](), expectName: true})
		case json.Delim('['):
			scopes = append(scopes, scope{})
		case json.Delim('}'), json.Delim(']'):
			scopes = scopes[:len(scopes)-1]
		}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errTrailing
	}
	return nil
}
