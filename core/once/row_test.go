package once

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
)

// TestRowRefusesInexactJSON guards against rows that another writer could read
// differently.
func TestRowRefusesInexactJSON(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		`{"ClaimID":"a","State":"Claimed"}x`, `{"ClaimID":"a","State":"Claimed","ClaimID":"b"}`,
		`{"claimid":"a","State":"Claimed"}`, `{"ClaimID":"a","State":"Claimed","More":1}`,
		`{"ClaimID":"a","State":"Stored"}`, `{"ClaimID":"a","State":"Claimed","Status":200}`,
		`{"ClaimID":"a","State":"Stored","status":200}`, `{"ClaimID":"a","State":"Stored","Status":99}`,
		`{"ClaimID":"a","State":"Stored","Status":200,"Headers":[["a"]]}`, ``, `null`, `[]`,
	} {
		_, err := DecodeKeyRow([]byte(text))
		is.True(err != nil) // refused
	}
}

// TestRowKey guards against two callers who share a row.
func TestRowKey(t *testing.T) {
	is := is.New(t)
	is.True(RowKey("orders", "a", "b/c") != RowKey("orders", "a/b", "c"))
	is.True(RowKey("orders", "a", "b") != RowKey("invoices", "a", "b"))
}

// FuzzDecodeKeyRow guards against a panic, and against a row that changes when it
// is written back.
func FuzzDecodeKeyRow(f *testing.F) {
	f.Add([]byte(`{"ClaimID":"a","State":"Claimed"}`))
	f.Add([]byte(`{"ClaimID":"a","State":"Stored","Status":201,"Headers":[["A","b"]],"Body":"eA=="}`))
	f.Add([]byte(`{"ClaimID":"a","State":"Released","Body":null}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		row, err := DecodeKeyRow(value)
		if err != nil {
			return
		}
		again, err := EncodeKeyRow(row)
		if err != nil {
			t.Fatal(err)
		}
		back, err := DecodeKeyRow(again)
		if err != nil || !reflect.DeepEqual(normal(row), normal(back)) {
			t.Fatalf("%+v became %+v: %v", row, back, err)
		}
	})
}

// normal drops the difference between empty and absent lists.
func normal(r KeyRow) KeyRow {
	if r.Outcome == nil {
		return r
	}
	o := *r.Outcome
	if len(o.Body) == 0 {
		o.Body = nil
	}
	if len(o.Headers) == 0 {
		o.Headers = nil
	}
	r.Outcome = &o
	return r
}
