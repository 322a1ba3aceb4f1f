package conf

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/io/logs"
)

// minimal has the keys without a default.
const minimal = `Node = "a1"
FailureDomain = "attica-a"
Region = "attica"
PlatformURL = "http://127.0.0.1:9000"
`

// TestParseDefaults guards against a key that loses its default.
func TestParseDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse(minimal)
	is.NoErr(err)
	is.Equal(s.AdvertiseAddress, s.PeerAddress)
	is.Equal(int(s.Limits.BodyBytes), 1<<20)
	is.Equal(s.Log.Decisions, logs.All)
	is.Equal(len(s.Seeds), 0)
}

// TestParseForms guards against keys that are not recognised in one of the notations
// of TOML: a table, dotted keys or an inline table.
func TestParseForms(t *testing.T) {
	is := is.New(t)
	for _, form := range []string{
		"[Limits]\nBodyBytes = 4_096\nQueueLength = 0x10\n",
		"Limits.BodyBytes = 4096\nLimits.QueueLength = 16\n",
		"Limits = { BodyBytes = 4096, QueueLength = 16 }\n",
	} {
		s, err := Parse(minimal + "Seeds = [ # first\n \"a2@127.0.0.1:7401\",\n]\n" + form)
		is.NoErr(err)
		is.Equal(int(s.Limits.BodyBytes), 4096)
		is.Equal(s.Limits.QueueLength, 16)
		is.Equal(s.Seeds, []Seed{{Node: "a2", Address: "127.0.0.1:7401"}})
	}
}

// TestParseFaults guards against an invalid value that is accepted, and against a
// fault that lacks its line, key, value or allowed values.
func TestParseFaults(t *testing.T) {
	cases := []struct{ text, key, value, allowed string }{
		{`Colour = "red"`, "Colour", `"red"`, "the keys Node"},
		{`node = "a1"`, "node", `"a1"`, "the keys Node"},
		{`Limits.Colour = 1`, "Limits.Colour", "1", "BodyBytes"},
		{`Limits.BodyBytes = "1"`, "Limits.BodyBytes", `"1"`, "integer"},
		{`Limits.BodyBytes = 1.5`, "Limits.BodyBytes", "1.5", "integer"},
		{`Limits.BodyBytes = 12`, "Limits.BodyBytes", "12", "1024 to 67108864"},
		{`Limits = 5`, "Limits", "5", "the keys"},
		{`Service = 5`, "Service", "5", "text"},
		{`Service = "a b"`, "Service", `"a b"`, "letters"},
		{`Service = "orders"`, "Service", `"orders"`, "both"},
		{`Target = "t1"`, "Target", `"t1"`, "both"},
		{`TargetAddress = "10.0.0.1:80"`, "TargetAddress", `"10.0.0.1:80"`, "loopback"},
		{`CallerAddress = "localhost:80"`, "CallerAddress", `"localhost:80"`, "IP address"},
		{`CallerAddress = "127.0.0.1:8082"`, "AdminAddress", `"127.0.0.1:8082"`, "no other listener"},
		{`PeerAddress = "0.0.0.0:7400"`, "PeerAddress", `"0.0.0.0:7400"`, "specific"},
		{`AdvertiseAddress = "0.0.0.0:7400"`, "AdvertiseAddress", `"0.0.0.0:7400"`, "specific"},
		{`Seeds = ["a2"]`, "Seeds", `["a2"]`, "NodeID@IP:port"},
		{`Seeds = ["a2@127.0.0.1:0"]`, "Seeds", `["a2@127.0.0.1:0"]`, "NodeID@IP:port"},
		{`Seeds = ["a2@127.0.0.1:1", 5]`, "Seeds", `["a2@127.0.0.1:1", 5]`, "NodeID@IP:port"},
		{`Member.SuspectMillis = 500`, "Member.SuspectMillis", "500ms", "at least"},
		{`Log.Level = "fatal"`, "Log.Level", `"fatal"`, "debug, info, warn, error"},
		{`Log.Level = "INFO"`, "Log.Level", `"INFO"`, "debug, info, warn, error"},
		{`Log.Decisions = "some"`, "Log.Decisions", `"some"`, "all, problems, off"},
		{`[Colour]`, "Colour", "a table", "[Limits]"},
		{`[[Limits]]`, "Limits", "a table", "[Limits]"},
		{`Node = "a2"`, "Node", "already", "TOML"},
		{`Node`, "", "", "TOML"},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			is := is.New(t)
			s, err := Parse(minimal + c.text)
			var faults Faults
			is.True(errors.As(err, &faults))
			is.Equal(len(faults), 1)
			is.Equal(faults[0].Key, c.key)
			is.True(strings.Contains(faults[0].Value, c.value))
			is.True(strings.Contains(faults[0].Allowed, c.allowed))
			if strings.Contains(c.text, c.key) {
				is.Equal(faults[0].Line, 5) // the line after minimal
			}
			is.True(reflect.DeepEqual(s, Settings{})) // no setting of a refused file is used
		})
	}
}

// TestParseAllFaults guards against an error that contains only the first fault.
func TestParseAllFaults(t *testing.T) {
	is := is.New(t)
	_, err := Parse("Colour = 1\nRegion = \"\"\n[Stop]\nGraceMillis = -1\n")
	var faults Faults
	is.True(errors.As(err, &faults))
	var keys []string
	for _, f := range faults {
		keys = append(keys, f.Key)
	}
	is.Equal(keys, []string{"Node", "FailureDomain", "PlatformURL", "Colour", "Region", "Stop.GraceMillis"})
	is.Equal(faults[5].Line, 4)
}

// TestLoad guards against a fault that does not name its file.
func TestLoad(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.toml")
	_, err := Load(path)
	is.True(errors.Is(err, os.ErrNotExist))
	is.NoErr(os.WriteFile(path, []byte(minimal+"X = 1"), 0o600))
	_, err = Load(path)
	is.True(err != nil && strings.Contains(err.Error(), path))
}

// TestTable guards against a row without Help or Allowed and against two rows for
// one key.
func TestTable(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, row := range Table() {
		is.True(!seen[row.Key])
		seen[row.Key] = true
		is.True(row.Help != "" && row.Allowed != "")
		is.True(strings.Contains(Markdown(), row.Help))
	}
}

// FuzzParse guards against a panic and against an error without a fault.
func FuzzParse(f *testing.F) {
	f.Add(minimal)
	f.Add(minimal + "[Limits]\nBodyBytes = 4_096 # note\n")
	f.Add(minimal + "Seeds = [\"a2@127.0.0.1:1\", [1, {a = 2}], 1979-05-27]\n[[Log]]\nx.\"y z\" = '''a'''\n")
	f.Add("Limits = {BodyBytes = 1e9, X = {Y = inf}}\n[a.b]\nc = true")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := Parse(text)
		var faults Faults
		if err != nil && (!errors.As(err, &faults) || len(faults) == 0) {
			t.Fatalf("error without faults: %v", err)
		}
		for _, fault := range faults {
			if fault.Allowed == "" || fault.Line < 0 {
				t.Fatalf("incomplete fault: %+v", fault)
			}
		}
	})
}
