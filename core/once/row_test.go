package once

import (
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/ident"
)

// TestRowRefusesInexactJSON guards against the acceptance of rows that another JSON
// decoder could read differently.
func TestRowRefusesInexactJSON(t *testing.T) {
	is := is.New(t)
	_, err := DecodeKeyRow(rowText(`{"ClaimID":"a","Fingerprint":F,"State":"Claimed"}`))
	is.NoErr(err) // a valid row; each text below has a fault
	for _, text := range []string{
		`{"ClaimID":"a","State":"Claimed"}`, `{"ClaimID":"a","Fingerprint":null,"State":"Claimed"}`,
		`{"ClaimID":"a","Fingerprint":"","State":"Claimed"}`, `{"ClaimID":"a","Fingerprint":"12ab","State":"Claimed"}`,
		`{"ClaimID":"a","Fingerprint":"` + strings.Repeat("0", 64) + `","State":"Claimed"}`,
		`{"ClaimID":"a","Fingerprint":F,"Fingerprint":F,"State":"Claimed"}`,
		`{"ClaimID":"a","Fingerprint":F,"State":"Claimed"}x`, `{"ClaimID":"a","Fingerprint":F,"State":"Claimed","ClaimID":"b"}`,
		`{"claimid":"a","Fingerprint":F,"State":"Claimed"}`, `{"ClaimID":"a","Fingerprint":F,"State":"Claimed","More":1}`,
		`{"ClaimID":"a","Fingerprint":F,"State":"Stored"}`, `{"ClaimID":"a","Fingerprint":F,"State":"Claimed","Status":200}`,
		`{"ClaimID":"a","Fingerprint":F,"State":"Stored","status":200}`, `{"ClaimID":"a","Fingerprint":F,"State":"Stored","Status":99}`,
		`{"ClaimID":"a","Fingerprint":F,"State":"Stored","Status":200,"Headers":[["a"]]}`, ``, `null`, `[]`,
	} {
		_, err := DecodeKeyRow(rowText(text))
		is.True(err != nil) // refused
	}
}

// rowText replaces F in the text of a row by a valid fingerprint.
func rowText(text string) []byte {
	f := Fingerprint("POST", []byte("/order"), []byte("pallet"))
	return []byte(strings.ReplaceAll(text, ":F", `:"`+f.String()+`"`))
}

// TestFingerprint guards against different requests with the same fingerprint.
func TestFingerprint(t *testing.T) {
	request := rapid.Custom(func(t *rapid.T) [3]string {
		var r [3]string
		for i := range r {
			r[i] = rapid.StringMatching("[a/1]{0,3}").Draw(t, "part")
		}
		return r
	})
	of := func(r [3]string) ident.Digest { return Fingerprint(r[0], []byte(r[1]), []byte(r[2])) }
	rapid.Check(t, func(t *rapid.T) {
		a, b := request.Draw(t, "a"), request.Draw(t, "b")
		if (a == b) != (of(a) == of(b)) {
			t.Fatalf("%q and %q", a, b)
		}
	})
}

// TestRowKey guards against different callers or services that share a row.
func TestRowKey(t *testing.T) {
	is := is.New(t)
	is.True(RowKey("orders", "a", "b/c") != RowKey("orders", "a/b", "c"))
	is.True(RowKey("orders", "a", "b") != RowKey("invoices", "a", "b"))
}

// FuzzDecodeKeyRow guards against a panic, and against a row that changes when it is
// decoded and encoded.
func FuzzDecodeKeyRow(f *testing.F) {
	f.Add(rowText(`{"ClaimID":"a","Fingerprint":F,"State":"Claimed"}`))
	f.Add(rowText(`{"ClaimID":"a","Fingerprint":F,"State":"Stored","Status":201,"Headers":[["A","b"]],"Body":"eA=="}`))
	f.Add(rowText(`{"ClaimID":"a","Fingerprint":F,"State":"Released","Body":null}`))
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

// normal replaces empty lists by nil, because the encoding does not distinguish them.
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
