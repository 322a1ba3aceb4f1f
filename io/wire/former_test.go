package wire_test

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/admit"
	"hickoryrail/core/lease"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
	"hickoryrail/core/once"
	"hickoryrail/core/order"
	"hickoryrail/core/result"
	"hickoryrail/core/spread"
	"hickoryrail/io/admin"
	"hickoryrail/io/wire"
)

// formerPath holds encodings that the build of commit 3ffe633 wrote, one a line:
// the name of the value, a space, and its bytes in hexadecimal digits.
const formerPath = "testdata/former.txt"

// fill sets every field of v, in the order of declaration, to a value that
// differs from that of the other fields, so that a moved or renamed field shows.
func fill(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), n)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(fmt.Sprintf("text%d", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Uint8:
		v.SetUint(uint64(*n % 251))
	case reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uint:
		v.SetUint(uint64(*n))
	case reflect.Int, reflect.Int64, reflect.Int32:
		v.SetInt(int64(*n))
	case reflect.Float64:
		v.SetFloat(float64(*n))
	default:
		panic("no value for " + v.Type().String())
	}
}

// filled returns a T with every field set.
func filled[T any]() T {
	var v T
	n := 0
	fill(reflect.ValueOf(&v).Elem(), &n)
	return v
}

// formerCase is a value with its encoding; back decodes and encodes again.
type formerCase struct {
	name string
	body []byte
	back func(body []byte) ([]byte, error)
}

// message returns the case of a CBOR message.
func message[T any](t *testing.T, name string, v T) formerCase {
	encode := func(v T) []byte {
		body, err := wire.Encode(v)
		if err != nil {
			t.Fatal(name, err)
		}
		return body
	}
	return formerCase{name, encode(v), func(body []byte) ([]byte, error) {
		decoded, err := wire.Decode[T](body, len(body))
		return encode(decoded), err
	}}
}

// document returns the case of a JSON row or document.
func document[T any](t *testing.T, name string) formerCase {
	encode := func(v T) []byte {
		body, err := json.Marshal(v)
		if err != nil {
			t.Fatal(name, err)
		}
		return body
	}
	return formerCase{name, encode(filled[T]()), func(body []byte) ([]byte, error) {
		var decoded T
		err := json.Unmarshal(body, &decoded)
		return encode(decoded), err
	}}
}

// names returns the case of the texts of an enumeration's first n values.
func names[T interface {
	~uint8
	fmt.Stringer
}](name string, n int) formerCase {
	var texts []string
	for i := range n {
		texts = append(texts, T(i).String())
	}
	body := []byte(strings.Join(texts, " "))
	return formerCase{name, body, func(body []byte) ([]byte, error) { return body, nil }}
}

// formerCases returns everything that former.txt holds.
func formerCases(t *testing.T) []formerCase {
	return []formerCase{
		message(t, "Control.Member", wire.Control{Member: new(filled[member.Message]())}),
		message(t, "Control.Spread", wire.Control{Spread: new(filled[spread.Message]())}),
		message(t, "Call.Request", wire.Call{Request: new(filled[wire.Request]())}),
		message(t, "Call.Void", wire.Call{Void: new(filled[wire.Void]())}),
		message(t, "Answer.Response", wire.Answer{Response: new(filled[wire.Response]())}),
		message(t, "Answer.Voided", wire.Answer{Voided: new(filled[wire.Voided]())}),
		message(t, "Configuration", filled[model.Configuration]()),
		{"HeldQuery", wire.HeldQuery(), func(body []byte) ([]byte, error) { return body, nil }},
		{"Held", wire.EncodeHeld(7), func(body []byte) ([]byte, error) {
			v, err := wire.DecodeHeld(body)
			return wire.EncodeHeld(v), err
		}},
		document[lease.Row](t, "LeaseRow"),
		document[once.KeyRow](t, "KeyRow"),
		document[order.Head](t, "Head"),
		document[order.Edit](t, "Edit"),
		document[order.EditRow](t, "EditRow"),
		document[order.History](t, "History"),
		document[order.ScheduleRow](t, "ScheduleRow"),
		document[admin.Status](t, "Status"),
		document[admin.NodeStatus](t, "NodeStatus"),
		document[admin.Outcome](t, "Outcome"),
		document[admin.HistoryEntry](t, "HistoryEntry"),
		names[member.Kind]("member.Kind", 6),
		names[member.State]("member.State", 4),
		names[member.TargetState]("member.TargetState", 5),
		names[spread.Kind]("spread.Kind", 5),
		names[model.Class]("model.Class", 3),
		names[result.Verdict]("result.Verdict", 3),
		{"admit.LastRank", []byte(fmt.Sprint(admit.LastRank)), func(body []byte) ([]byte, error) { return body, nil }},
	}
}

// TestFormerEncodings guards against nodes, rows and documents of the former build
// that this build writes or reads differently, for example after a field was
// renamed or moved.
func TestFormerEncodings(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile(formerPath)
	is.NoErr(err)
	former := make(map[string]string)
	for line := range strings.Lines(string(text)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		former[name] = digits
	}
	cases := formerCases(t)
	is.Equal(len(former), len(cases))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(hex.EncodeToString(c.body), former[c.name]) // this build writes the same bytes
			body, err := hex.DecodeString(former[c.name])
			is.NoErr(err)
			again, err := c.back(body)
			is.NoErr(err)                    // this build reads them
			is.Equal(body, again)            // and no field gets lost
			is.True(len(former[c.name]) > 0) // the list has the value
		})
	}
}
