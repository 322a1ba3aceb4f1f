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
)

const (
	// Claimed means that a submission may be running or may have run.
	Claimed State = "Claimed"
	// Released means that the submission ended as not run.
	Released State = "Released"
	// Stored means that the row holds the outcome.
	Stored State = "Stored"
)

const (
	// maxRowBytes bounds an encoded row.
	maxRowBytes = 1 << 20
	// headerFields is the number of strings in one header: name and value.
	headerFields = 2
	// minStatus and maxStatus bound an HTTP status.
	minStatus, maxStatus = 100, 599
)

type (
	// State is the state of an idempotency key.
	State string

	// Outcome is the target's response to a keyed request.
	Outcome struct {
		Status int
		// Headers are pairs of name and value.
		Headers [][]string `json:",omitempty"`
		// Body is the whole body, unless Object names the object that holds it.
		Body   []byte `json:",omitempty"`
		Object string `json:",omitempty"`
	}

	// KeyRow is the value of a row Key/<Service>/<hash>.
	KeyRow struct {
		// ClaimID names the submission that wrote the row; not empty.
		ClaimID ident.RequestID
		// Fingerprint is that of the request for which the key was first claimed;
		// not zero. It never changes, because a row is written over only by a
		// submission of the same request.
		Fingerprint ident.Digest
		State       State
		// Outcome is set if State is Stored, and only then; its fields stand beside
		// the others in the row.
		*Outcome
	}
)

var (
	// errRow reports a row value that this version does not understand.
	errRow = errors.New("key row is malformed")
	// rowFields are the names of a row's fields.
	rowFields = []string{"ClaimID", "Fingerprint", "State", "Status", "Headers", "Body", "Object"}
)

// RowKey returns the key of the row for a caller's idempotency key. The length of
// the caller's name goes into the hash, so no two pairs share their text.
func RowKey(service ident.ServiceName, caller ident.CallerID, key string) string {
	sum := ident.Sum(fmt.Appendf(nil, "%d/%s/%s", len(caller), caller, key))
	return "Key/" + string(service) + "/" + sum.String()
}

// Fingerprint returns the SHA-256 of a request as it is forwarded. The lengths of
// method and URI go into the hash, so no two requests share their text. Headers
// are left out, because a resubmission differs in some of them, such as the
// remaining time or a trace id.
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
		err = fmt.Errorf("%w: %d bytes", errRow, len(value))
	}
	return value, err
}

// DecodeKeyRow decodes a row. It returns an error for unknown, misspelt or
// repeated fields, trailing text, oversized values and inconsistent content.
func DecodeKeyRow(value []byte) (KeyRow, error) {
	if len(value) > maxRowBytes {
		return KeyRow{}, fmt.Errorf("%w: %d bytes", errRow, len(value))
	}
	if err := exact(value); err != nil {
		return KeyRow{}, fmt.Errorf("%w: %w", errRow, err)
	}
	var r KeyRow
	d := json.NewDecoder(bytes.NewReader(value))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return KeyRow{}, fmt.Errorf("%w: %w", errRow, err)
	}
	if err := r.check(); err != nil {
		return KeyRow{}, err
	}
	return r, nil
}

// check returns an error unless the fields fit together.
func (r KeyRow) check() error {
	switch {
	case r.ClaimID == "":
		return fmt.Errorf("%w: no ClaimID", errRow)
	case r.Fingerprint.IsZero():
		return fmt.Errorf("%w: no Fingerprint", errRow)
	case r.State != Claimed && r.State != Released && r.State != Stored:
		return fmt.Errorf("%w: state %q", errRow, r.State)
	case (r.State == Stored) != (r.Outcome != nil):
		return fmt.Errorf("%w: state %s does not fit the outcome", errRow, r.State)
	case r.Outcome == nil:
		return nil
	}
	return r.Outcome.check()
}

// check returns an error unless the outcome can be replayed.
func (o *Outcome) check() error {
	if o.Status < minStatus || o.Status > maxStatus {
		return fmt.Errorf("%w: status %d", errRow, o.Status)
	}
	if len(o.Body) > 0 && o.Object != "" {
		return fmt.Errorf("%w: both Body and Object", errRow)
	}
	for _, h := range o.Headers {
		if len(h) != headerFields {
			return fmt.Errorf("%w: header of %d strings", errRow, len(h))
		}
	}
	return nil
}

// exact returns an error unless value is one JSON object whose field names are
// spelt exactly and not repeated; encoding/json alone ignores case and takes the
// last of repeated fields.
func exact(value []byte) error {
	d := json.NewDecoder(bytes.NewReader(value))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return errors.New("not an object")
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
		return errors.New("text after the object")
	}
	return nil
}
