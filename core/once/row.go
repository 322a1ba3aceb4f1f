package once

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"hickoryrail/core/ident"
	"hickoryrail/core/sets"
	"hickoryrail/core/syntax"
)

const (
	// Claimed means that a submission holds the key; its request may be running or
	// may have run.
	Claimed State = "Claimed"
	// Released means that the submission ended without running the request.
	Released State = "Released"
	// Stored means that the row holds the outcome.
	Stored State = "Stored"
)

const (
	// maxRowBytes bounds an encoded row.
	maxRowBytes = 1 << 20
	// headerStrings is the number of strings that encode one header: name and value.
	headerStrings = 2
)

type (
	// State is the state of an idempotency key.
	State string

	// Outcome is the target's response to a keyed request.
	Outcome struct {
		Status int
		// Headers holds pairs of name and value.
		Headers [][]string `json:",omitempty"`
		// Body is the whole body, unless Object names the stored object that contains it.
		Body   []byte `json:",omitempty"`
		Object string `json:",omitempty"`
	}

	// KeyRow is the value of a row Key/<Service>/<hash>.
	KeyRow struct {
		// ClaimID names the submission that wrote the row; not empty.
		ClaimID ident.RequestID
		// Fingerprint is the fingerprint of the request for which the key was first
		// claimed; not zero. It never changes, because only a submission of the same
		// request overwrites the row.
		Fingerprint ident.Digest
		State       State
		// Outcome is set if and only if State is Stored. It is embedded, so its fields
		// are at the top level of the encoded row.
		*Outcome
	}
)

var (
	// errMalformedRow reports a row value that this version cannot decode.
	errMalformedRow = errors.New("key row is malformed")
	// rowFields are the names of the fields of an encoded row.
	rowFields = []string{"ClaimID", "Fingerprint", "State", "Status", "Headers", "Body", "Object"}
)

// RowKey returns the key of the row for a caller's idempotency key. The hash includes
// the length of the caller id, so no two pairs of caller and key hash the same text.
func RowKey(service ident.ServiceName, caller ident.CallerID, key string) string {
	sum := ident.Sum(fmt.Appendf(nil, "%d/%s/%s", len(caller), caller, key))
	return "Key/" + string(service) + "/" + sum.String()
}

// Fingerprint returns the SHA-256 of a request as it is forwarded. The hash includes
// the lengths of method and URI, so no two requests hash the same text. Headers are
// excluded, because a resubmission differs in some of them, such as the remaining
// time or a trace id.
func Fingerprint(method string, uri, body []byte) ident.Digest {
	text := fmt.Appendf(nil, "%d/%d/%s%s", len(method), len(uri), method, uri)
	return ident.Sum(append(text, body...))
}

// EncodeKeyRow returns the row as JSON.
func EncodeKeyRow(r KeyRow) ([]byte, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	value, err := json.Marshal(r)
	if err == nil && len(value) > maxRowBytes {
		err = fmt.Errorf("%w: %d bytes exceed the limit of %d", errMalformedRow, len(value), maxRowBytes)
	}
	return value, err
}

// DecodeKeyRow decodes a row. It returns an error for unknown, misspelt or
// repeated fields, trailing text, oversized values and inconsistent content.
func DecodeKeyRow(value []byte) (KeyRow, error) {
	if len(value) > maxRowBytes {
		return KeyRow{}, fmt.Errorf("%w: %d bytes exceed the limit of %d", errMalformedRow, len(value), maxRowBytes)
	}
	if err := checkFields(value); err != nil {
		return KeyRow{}, fmt.Errorf("%w: %w", errMalformedRow, err)
	}
	var r KeyRow
	d := json.NewDecoder(bytes.NewReader(value))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return KeyRow{}, fmt.Errorf("%w: %w", errMalformedRow, err)
	}
	if err := r.check(); err != nil {
		return KeyRow{}, err
	}
	return r, nil
}

// check returns an error unless the fields are valid and consistent.
func (r KeyRow) check() error {
	switch {
	case r.ClaimID == "":
		return fmt.Errorf("%w: ClaimID is empty", errMalformedRow)
	case r.Fingerprint.IsZero():
		return fmt.Errorf("%w: Fingerprint is zero", errMalformedRow)
	case r.State != Claimed && r.State != Released && r.State != Stored:
		return fmt.Errorf("%w: unknown state %q", errMalformedRow, r.State)
	case (r.State == Stored) != (r.Outcome != nil):
		return fmt.Errorf("%w: state %s is inconsistent with the presence of an outcome", errMalformedRow, r.State)
	case r.Outcome == nil:
		return nil
	}
	return r.Outcome.check()
}

// check returns an error unless the outcome can be replayed.
func (o *Outcome) check() error {
	if !syntax.IsStatus(o.Status) {
		return fmt.Errorf("%w: status %d is not an HTTP status", errMalformedRow, o.Status)
	}
	if len(o.Body) > 0 && o.Object != "" {
		return fmt.Errorf("%w: both Body and Object are set", errMalformedRow)
	}
	for _, h := range o.Headers {
		if len(h) != headerStrings {
			return fmt.Errorf("%w: header has %d strings instead of name and value", errMalformedRow, len(h))
		}
	}
	return nil
}

// checkFields returns an error unless value is one JSON object whose field names match
// exactly and are not repeated. encoding/json alone ignores case and uses the last of
// repeated fields.
func checkFields(value []byte) error {
	d := json.NewDecoder(bytes.NewReader(value))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return errors.New("value is not a JSON object")
	}
	seen := sets.Of[string]()
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return err
		}
		name, _ := t.(string)
		if !slices.Contains(rowFields, name) || !seen.Add(name) {
			return fmt.Errorf("field %q is unknown or repeated", name)
		}
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return err
		}
	}
	if _, err := d.Token(); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("value has trailing bytes")
	}
	return nil
}
