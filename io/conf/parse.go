package conf

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"hickoryrail/core/sets"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

type (
	// Fault is one error in a settings file.
	Fault struct {
		// Line is the line number, from 1; 0 for a key that is not in the file.
		Line int
		// Key is the full key, such as Limits.BodyBytes.
		Key string
		// Value is the refused value as text, with a string in quotes; empty for a
		// missing key.
		Value string
		// Allowed describes the accepted values.
		Allowed string
	}

	// Faults is a non-empty list of faults in order of line.
	Faults []Fault

	// entry is one key of the file and its value.
	entry struct {
		key  string
		line int
		// raw is the value as faults show it.
		raw string
		// kind is empty for a value of a type that no setting has.
		kind  Kind
		value value
	}

	// reader collects the entries of a file.
	reader struct {
		parser  unstable.Parser
		body    []byte
		entries []entry
		faults  Faults
	}
)

// Error returns all faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// String returns the fault on one line.
func (f Fault) String() string {
	if f.Line == 0 && f.Value == "" {
		return fmt.Sprintf("%s is missing; allowed: %s", f.Key, f.Allowed)
	}
	if f.Line == 0 {
		return fmt.Sprintf("default %s = %s is refused; allowed: %s", f.Key, f.Value, f.Allowed)
	}
	if f.Key == "" {
		return fmt.Sprintf("line %d: %s; allowed: %s", f.Line, f.Value, f.Allowed)
	}
	return fmt.Sprintf("line %d: %s = %s is refused; allowed: %s", f.Line, f.Key, f.Value, f.Allowed)
}

// Load reads the settings from a file. The error names the file; it wraps Faults
// if the content is invalid.
func Load(path string) (Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if info.Size() > maxFileBytes {
		return Settings{}, fmt.Errorf("settings: %s has %d bytes; allowed: at most %d", path, info.Size(), maxFileBytes)
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(string(body))
	if err != nil {
		return Settings{}, fmt.Errorf("settings in %s:\n%w", path, err)
	}
	return s, nil
}

// Parse reads the settings from TOML text. The error is Faults with every error in
// the text, and the settings are then the zero value.
func Parse(text string) (Settings, error) {
	if fault, ok := syntaxFault(text); !ok {
		return Settings{}, Faults{fault}
	}
	r := reader{body: []byte(text)}
	r.read()
	s := defaults()
	given := make(map[string]int)
	for _, e := range r.entries {
		r.store(&s, e)
		given[e.key] = e.line
	}
	for _, row := range table {
		if _, ok := given[row.Key]; row.Required && !ok {
			r.faults = append(r.faults, Fault{Key: row.Key, Allowed: row.Allowed})
		}
	}
	if len(r.faults) == 0 {
		r.faults = s.complete(given)
	}
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(a, b Fault) int { return a.Line - b.Line })
		return Settings{}, r.faults
	}
	return s, nil
}

// defaults returns the settings with every default of the table.
func defaults() Settings {
	var s Settings
	for _, row := range table {
		if row.Required || row.Kind == List {
			continue
		}
		v := value{text: row.Default}
		if row.Kind == Integer {
			v.number, _ = strconv.ParseInt(row.Default, 10, 64)
		}
		if !row.set(&s, v) {
			panic("conf: default of " + row.Key + " is refused by its own check")
		}
	}
	return s
}

// syntaxFault returns the first syntax error, such as a duplicate key, which
// unstable.Parser does not report by itself. It returns true if there is none.
func syntaxFault(text string) (Fault, bool) {
	var all map[string]any
	err := toml.Unmarshal([]byte(text), &all)
	if err == nil {
		return Fault{}, true
	}
	fault := Fault{Line: 1, Value: err.Error(), Allowed: "TOML"}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		fault.Line, _ = decode.Position()
		fault.Key = strings.Join(decode.Key(), ".")
		if fault.Key != "" {
			fault.Value = "(" + err.Error() + ")"
		}
	}
	return fault, false
}

// read collects the entries of the whole file.
func (r *reader) read() {
	r.parser.Reset(r.body)
	section := ""
	for r.parser.NextExpression() {
		n := r.parser.Expression()
		switch n.Kind {
		case unstable.KeyValue:
			r.addKeyValue(section, n)
		case unstable.Table, unstable.ArrayTable:
			section = joinKey("", n.Key())
			r.checkSection(section, n)
		}
	}
}

// checkSection records a fault for a table that is not a section of the settings.
func (r *reader) checkSection(name string, n *unstable.Node) {
	if n.Kind == unstable.Table && isSection(name) {
		return
	}
	r.faults = append(r.faults, Fault{Line: r.line(n), Key: name, Value: "a table", Allowed: knownKeys(name)})
}

// addKeyValue adds an entry for one key, or entries for the keys of an inline table.
func (r *reader) addKeyValue(section string, n *unstable.Node) {
	key, v := joinKey(section, n.Key()), n.Value()
	if v.Kind == unstable.InlineTable && isSection(key) {
		for it := v.Children(); it.Next(); {
			r.addKeyValue(key, it.Node())
		}
		return
	}
	e := entry{key: key, line: r.line(n), raw: string(r.parser.Raw(v.Raw))}
	switch v.Kind {
	case unstable.String:
		e.kind, e.value.text = Text, string(v.Data)
		e.raw = strconv.Quote(e.value.text)
	case unstable.Integer:
		number, err := strconv.ParseInt(string(v.Data), 0, 64)
		e.raw = string(v.Data)
		if err == nil {
			e.kind, e.value.number = Integer, number
		}
	case unstable.Array:
		e.kind, e.value.list, e.raw = r.list(v)
	case unstable.InlineTable:
		e.raw = "a table"
	default:
		e.raw = string(v.Data)
	}
	r.entries = append(r.entries, e)
}

// list returns the kind and the strings of an array, and the array as faults show
// it. The kind is empty if an element is not a string.
func (r *reader) list(array *unstable.Node) (Kind, []string, string) {
	kind, texts, raw := List, []string{}, []string{}
	for it := array.Children(); it.Next(); {
		n := it.Node()
		if n.Kind == unstable.Comment {
			continue
		}
		if n.Kind != unstable.String {
			kind = ""
			raw = append(raw, string(n.Data))
			continue
		}
		texts = append(texts, string(n.Data))
		raw = append(raw, strconv.Quote(string(n.Data)))
	}
	return kind, texts, "[" + strings.Join(raw, ", ") + "]"
}

// line returns the line of the first part of the node's key.
func (r *reader) line(n *unstable.Node) int {
	it := n.Key()
	if !it.Next() {
		return 1
	}
	return r.parser.Shape(it.Node().Raw).Start.Line
}

// store validates an entry and stores its value, or records a fault.
func (r *reader) store(s *Settings, e entry) {
	row, ok := findSetting(e.key)
	if !ok {
		r.faults = append(r.faults, Fault{Line: e.line, Key: e.key, Value: e.raw, Allowed: knownKeys(e.key)})
		return
	}
	if e.kind != row.Kind {
		allowed := fmt.Sprintf("%s (%s)", row.Allowed, row.Kind)
		r.faults = append(r.faults, Fault{Line: e.line, Key: e.key, Value: e.raw, Allowed: allowed})
		return
	}
	if !row.set(s, e.value) {
		r.faults = append(r.faults, Fault{Line: e.line, Key: e.key, Value: e.raw, Allowed: row.Allowed})
	}
}

// complete checks the rules that span several keys and sets the default of
// AdvertiseAddress. given holds the line of each key in the file.
func (s *Settings) complete(given map[string]int) Faults {
	var faults Faults
	require := func(ok bool, key, value, allowed string) {
		if !ok {
			faults = append(faults, Fault{Line: given[key], Key: key, Value: value, Allowed: allowed})
		}
	}
	hosted := s.Platform == PlatformRows
	require(!hosted || s.ReadyAddress != "", "ReadyAddress", strconv.Quote(s.ReadyAddress), "an address, because Platform is rows")
	require(hosted || isLoopback(s.TargetAddress), "TargetAddress", strconv.Quote(s.TargetAddress), "a loopback IP address and port")
	if !hosted && (s.Service == "") != (s.Target == "") {
		require(s.Service == "", "Service", strconv.Quote(string(s.Service)), "Service and Target are both set or both empty")
		require(s.Target == "", "Target", strconv.Quote(string(s.Target)), "Service and Target are both set or both empty")
	}
	require(s.Member.SuspectMillis >= s.Member.ProbeMillis, "Member.SuspectMillis",
		s.Member.SuspectMillis.String(), "at least Member.ProbeMillis")
	if s.AdvertiseAddress == "" {
		s.AdvertiseAddress = s.PeerAddress
	}
	_, set := given["AdvertiseAddress"]
	key := map[bool]string{true: "AdvertiseAddress", false: "PeerAddress"}[set]
	require(isSpecific(s.AdvertiseAddress), key, strconv.Quote(s.AdvertiseAddress),
		"a specific IP address for peers, or AdvertiseAddress with one")
	s.checkListeners(require)
	return faults
}

// checkListeners requires that no two TCP listeners share an address and port.
func (s *Settings) checkListeners(require func(ok bool, key, value, allowed string)) {
	used := sets.Of[string]()
	for _, l := range []struct{ key, address string }{
		{"CallerAddress", s.CallerAddress},
		{"TargetAddress", s.TargetAddress},
		{"AdminAddress", s.AdminAddress},
		{"OperatorAddress", s.OperatorAddress},
	} {
		unused := strings.HasSuffix(l.address, ":0") || used.Add(l.address)
		require(unused, l.key, strconv.Quote(l.address), "an address that no other listener of the node has")
	}
}

// joinKey returns the dotted key under a section.
func joinKey(section string, parts unstable.Iterator) string {
	key := section
	for parts.Next() {
		if key != "" {
			key += "."
		}
		key += string(parts.Node().Data)
	}
	return key
}

// findSetting returns the table's row for a key.
func findSetting(key string) (Setting, bool) {
	i := slices.IndexFunc(table, func(s Setting) bool { return s.Key == key })
	if i < 0 {
		return Setting{}, false
	}
	return table[i], true
}

// isSection reports whether name is a section of the table.
func isSection(name string) bool {
	return slices.ContainsFunc(table, func(s Setting) bool { return strings.HasPrefix(s.Key, name+".") })
}

// knownKeys lists the keys and sections that are allowed in place of an unknown key.
func knownKeys(key string) string {
	section, _, found := strings.Cut(key, ".")
	if !found || !isSection(section) {
		section = ""
	}
	names := sets.Of[string]()
	var known []string
	for _, row := range table {
		head, tail, dotted := strings.Cut(row.Key, ".")
		if dotted && section == "" {
			tail = "[" + head + "]"
		} else if !dotted {
			head, tail = "", row.Key
		}
		if (section == "" || head == section) && names.Add(tail) {
			known = append(known, tail)
		}
	}
	return "the keys " + strings.Join(known, ", ")
}
