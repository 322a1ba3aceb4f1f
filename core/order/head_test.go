package order

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

// init sets a fixed rapid seed, so that every run tests the same cases. A -rapid.seed on
// the command line takes precedence.
func init() {
	err := errors.Join(flag.Set("rapid.seed", "20261204"), flag.Set("rapid.nofailfile", "true"), flag.Set("rapid.checks", "400"))
	if err != nil {
		panic(err)
	}
}

// headAfter returns the head after n releases.
func headAfter(n int) Head {
	var h Head
	for i := range n {
		r := model.Release{
			Version: ident.Version(i + 1), EditID: ident.EditID(fmt.Sprintf("e%d", i)),
			Digest: ident.Sum([]byte{byte(i)}),
		}
		h = h.Next(r)
	}
	return h
}

// TestHeadRecent guards against a Head row that grows without bound.
func TestHeadRecent(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, MaxRecent, MaxRecent + 1, 5 * MaxRecent} {
		h := headAfter(n)
		is.Equal(len(h.Recent), min(n, MaxRecent))
		got, err := DecodeHead(EncodeHead(h))
		is.NoErr(err)
		is.Equal(got, h)
		v, ok := h.Find(h.EditID)
		is.True(ok)
		is.Equal(v, ident.Version(n))
	}
	_, ok := headAfter(MaxRecent + 1).Find("e0")
	is.True(!ok)
}

// TestDecodeHeadIsStrict guards against a damaged row that is decoded as a valid head.
func TestDecodeHeadIsStrict(t *testing.T) {
	good := string(EncodeHead(headAfter(3)))
	for name, value := range map[string]string{
		"empty":            "",
		"null":             "null",
		"truncated":        good[:len(good)-2],
		"trailing":         good + "{}",
		"unknown field":    strings.Replace(good, `"Version":3`, `"Version":3,"Extra":1`, 1),
		"other case":       strings.Replace(good, `"Version":3`, `"version":3`, 1),
		"repeated field":   strings.Replace(good, `"Version":3`, `"Version":3,"Version":3`, 1),
		"other version":    strings.Replace(good, `"Version":3`, `"Version":4`, 1),
		"negative version": strings.Replace(good, `"Version":3`, `"Version":-3`, 1),
		"other digest":     strings.Replace(good, `"Digest":"`, `"Digest":"00`, 1),
		"other edit":       strings.Replace(good, `"EditID":"e2"`, `"EditID":"e9"`, 1),
		"gap":              strings.Replace(good, `{"EditID":"e1","Version":2},`, ``, 1),
		"repeated edit":    strings.Replace(good, `"e1"`, `"e0"`, 1),
		"malformed edit":   strings.Replace(good, `"e1"`, `"e/1"`, 1),
		"no recent":        good[:strings.Index(good, `,"Recent"`)] + "}",
	} {
		t.Run(name, func(t *testing.T) {
			if h, err := DecodeHead([]byte(value)); err == nil {
				t.Errorf("%s decodes to %+v", value, h)
			}
		})
	}
	spaced := strings.ReplaceAll(good, ",", ",\n ")
	_, err := DecodeHead([]byte(spaced))
	is.New(t).NoErr(err)
}

// FuzzDecodeHead guards against a value that two readers decode differently: every value
// that is accepted must survive encoding and decoding unchanged.
func FuzzDecodeHead(f *testing.F) {
	f.Add(EncodeHead(headAfter(1)))
	f.Add(EncodeHead(headAfter(3)))
	f.Add([]byte(`{"Version":1}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		h, err := DecodeHead(value)
		if err != nil {
			return
		}
		again, err := DecodeHead(EncodeHead(h))
		if err != nil || !bytes.Equal(EncodeHead(again), EncodeHead(h)) {
			t.Errorf("%s decodes to %+v, which does not encode and decode to itself: %v", value, h, err)
		}
	})
}

// FuzzDecodeRows guards against a panic on a damaged row, and against the acceptance of a
// row with inconsistent fields.
func FuzzDecodeRows(f *testing.F) {
	f.Add(EncodeEditRow(EditRow{State: Released, Version: 3}))
	f.Add(EncodeEditRow(EditRow{State: Refused, Clashes: []string{"Service/a/Slots"}}))
	f.Add(EncodeHistory(HistoryOf(headAfter(2))))
	f.Add(EncodeEdit(Edit{ID: "x", Base: 2}))
	f.Add(EncodeSchedule(ScheduleRow{ReleaseMillis: 5, Object: EditKey("x")}))
	f.Fuzz(func(t *testing.T, value []byte) {
		if r, err := DecodeEditRow(value); err == nil && (r.State == Released) != (r.Version > 0) {
			t.Errorf("%s decodes to %+v", value, r)
		}
		if h, err := DecodeHistory(value); err == nil && h.Object != ObjectName(h.Version, h.Digest) {
			t.Errorf("%s decodes to %+v", value, h)
		}
		if e, err := DecodeEdit(value); err == nil && !ValidEditID(e.ID) {
			t.Errorf("%s decodes to %+v", value, e)
		}
		if p, err := DecodePending(ScheduleKey("x"), value, 1); err == nil && p.Object != EditKey("x") {
			t.Errorf("%s decodes to %+v", value, p)
		}
	})
}
