package lease

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"hickoryrail/core/ident"
)

// Row is the value that the store keeps under the key Lease/<Region>.
type Row struct {
	// Holder is empty after a graceful release.
	Holder ident.NodeID
	// Epoch grows by 1 with each new holder.
	Epoch ident.Epoch
	// Count grows by 1 with each renewal. Its initial value is random, so that two
	// processes with the same NodeID can tell their writes apart.
	Count uint64
}

// Key returns the key of a region's lease.
func Key(r ident.Region) string {
	return "Lease/" + string(r)
}

// EncodeRow returns the JSON encoding of a row.
func EncodeRow(r Row) []byte {
	body, err := json.Marshal(r)
	if err != nil {
		panic(err) // every field of Row has an encoding
	}
	return body
}

// DecodeRow decodes a row. It rejects unknown fields, trailing bytes and epoch 0.
func DecodeRow(value []byte) (Row, error) {
	var r Row
	d := json.NewDecoder(bytes.NewReader(value))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return Row{}, fmt.Errorf("decode lease: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return Row{}, errors.New("decode lease: value has trailing bytes")
	}
	if r.Epoch == 0 {
		return Row{}, errors.New("decode lease: epoch is 0")
	}
	return r, nil
}
