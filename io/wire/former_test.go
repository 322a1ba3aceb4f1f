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
	"hickoryrail/core/sets"
	"hickoryrail/core/spread"
	"hickoryrail/io/admin"
	"hickoryrail/io/wire"
)

// formerPath is a file with encodings that the build of commit 3ffe633 wrote, one per
// line: the name of the value, a space, and its bytes in hexadecimal digits.
const formerPath = "testdata/former.txt"

// laterFields are fields that the former build did not have. They are left unset, in which
// case they must not change the encoding.
var laterFields = sets.Of("model.Route.Anonymous", "model.Route.LargeAnswers", "model.Rules.Teams", "member.Record.Software")

// fill sets every field of v other than laterFields, in the order of declaration, to a value
// that differs from that of the other fields, so that a moved or renamed field changes the
// encoding.
func fill(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Struct:
		for i := range v.NumField() {
			name := v.Type().String() + "." + v.Type().Field(i).Name
			if v.Type().Field(i).IsExported() && !laterFields.Has(name) {
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

// formerCase is a named value with its encoding by this build; reencode decodes an
// encoding and encodes the result.
type formerCase struct {
	name     string
	body     []byte
	reencode func(body []byte) ([]byte, error)
}

// messageCase returns the test case of a CBOR message.
func messageCase[T any](t *testing.T, name string, v T) formerCase {
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

// documentCase returns the test case of a JSON row or document.
func documentCase[T any](t *testing.T, name string) formerCase {
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

// enumCase returns the test case of the names of an enumeration's first n values.
func enumCase[T interface {
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

// formerCases returns a test case for every line of former.txt.
func formerCases(t *testing.T) []formerCase {
	return []formerCase{
		messageCase(t, "Control.Member", wire.Control{Member: new(filled[member.Message]())}),
		messageCase(t, "Control.Spread", wire.Control{Spread: new(filled[spread.Message]())}),
		messageCase(t, "Call.Request", wire.Call{Request: new(filled[wire.Request]())}),
		messageCase(t, "Call.Void", wire.Call{Void: new(filled[wire.Void]())}),
		messageCase(t, "Answer.Response", wire.Answer{Response: new(filled[wire.Response]())}),
		messageCase(t, "Answer.Voided", wire.Answer{Voided: new(filled[wire.Voided]())}),
		messageCase(t, "Configuration", filled[model.Configuration]()),
		{"HeldQuery", wire.VersionQuery(), func(body []byte) ([]byte, error) { return body, nil }},
		{"Held", wire.EncodeVersionReply(7), func(body []byte) ([]byte, error) {
			v, err := wire.DecodeVersionReply(body)
			return wire.EncodeVersionReply(v), err
		}},
		documentCase[lease.Row](t, "LeaseRow"),
		documentCase[once.KeyRow](t, "KeyRow"),
		documentCase[order.Head](t, "Head"),
		documentCase[order.Edit](t, "Edit"),
		documentCase[order.EditRow](t, "EditRow"),
		documentCase[order.History](t, "History"),
		documentCase[order.ScheduleRow](t, "ScheduleRow"),
		documentCase[admin.Status](t, "Status"),
		documentCase[admin.NodeStatus](t, "NodeStatus"),
		documentCase[admin.Outcome](t, "Outcome"),
		documentCase[admin.HistoryEntry](t, "HistoryEntry"),
		enumCase[member.Kind]("member.Kind", 6),
		enumCase[member.State]("member.State", 4),
		enumCase[member.TargetState]("member.TargetState", 5),
		enumCase[spread.Kind]("spread.Kind", 5),
		enumCase[model.Class]("model.Class", 3),
		enumCase[result.Verdict]("result.Verdict", 3),
		{"admit.LastRank", []byte(fmt.Sprint(admit.LastRank)), func(body []byte) ([]byte, error) { return body, nil }},
	}
}

// TestFormerEncodings guards against messages, rows and documents that this build
// writes or reads differently from the former build, for example after a field was
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
			again, err := c.reencode(body)
			is.NoErr(err)                    // this build reads them
			is.Equal(body, again)            // and no field is lost
			is.True(len(former[c.name]) > 0) // former.txt contains the value
		})
	}
}
