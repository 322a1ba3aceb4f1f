package files

import (
	"errors"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// document is one file that consists of lists of tables.
type document struct {
	file string
	// tables are the names of the lists that the file may have.
	tables   []string
	elements []*element
	faults   Faults
	// incomplete is true if the file is not TOML and so was not read to its end.
	incomplete bool
}

// parse reads the tables of a file. It records faults in their syntax and structure.
func parse(s Source, tables ...string) *document {
	d := &document{file: s.Name, tables: tables}
	p := unstable.Parser{}
	p.Reset(s.Body)
	var current *element
	skipping := false // the keys belong to a table for which a fault is recorded
	for p.NextExpression() {
		node := p.Expression()
		switch node.Kind {
		case unstable.ArrayTable, unstable.Table:
			current = d.openTable(&p, node)
			skipping = current == nil
		case unstable.KeyValue:
			if !skipping {
				d.addKey(&p, node, current)
			}
		}
	}
	d.checkSyntax(s.Body, p.Error())
	return d
}

// openTable starts a table. It records a fault and returns nil for a table that the
// file may not have.
func (d *document) openTable(p *unstable.Parser, node *unstable.Node) *element {
	name, line := path(p, node)
	if node.Kind != unstable.ArrayTable || !slices.Contains(d.tables, name) {
		shown := "[" + name + "]"
		if node.Kind == unstable.ArrayTable {
			shown = "[" + shown + "]"
		}
		d.faults = append(d.faults, Fault{File: d.file, Line: line, Key: name, Value: shown, Allowed: d.allowedTables()})
		return nil
	}
	e := &element{
		file: d.file, table: name, line: line,
		values: make(map[string]value), decoded: make(map[string]string), faulty: make(map[string]bool),
	}
	d.elements = append(d.elements, e)
	return e
}

// addKey adds a key with its value to a table. A key outside of any table and a
// repeated key are faults.
func (d *document) addKey(p *unstable.Parser, node *unstable.Node, e *element) {
	name, line := path(p, node)
	v := node.Value()
	shown := string(p.Raw(v.Raw))
	switch v.Kind {
	case unstable.Array:
		shown = "[...]"
	case unstable.InlineTable:
		shown = "{...}"
	}
	shown, _, _ = strings.Cut(shown, "\n")
	if name == keysKey {
		shown = "[...]" // an access key must not appear in a message
	}
	if e == nil {
		d.faults = append(d.faults, Fault{File: d.file, Line: line, Key: name, Value: shown, Allowed: d.allowedTables()})
		return
	}
	if _, repeated := e.values[name]; repeated {
		fault := Fault{File: d.file, Line: line, Key: e.key(name), Value: shown, Allowed: "each key once in a table"}
		d.faults = append(d.faults, fault)
		return
	}
	e.values[name] = value{kind: v.Kind, data: string(v.Data), items: items(v), shown: shown, line: line}
}

// items returns the strings of an array; nil for another value and for an array that holds
// other values too.
func items(v *unstable.Node) []string {
	if v.Kind != unstable.Array {
		return nil
	}
	list := []string{}
	for it := v.Children(); it.Next(); {
		switch n := it.Node(); n.Kind {
		case unstable.String:
			list = append(list, string(n.Data))
		case unstable.Comment:
		default:
			return nil
		}
	}
	return list
}

// allowedTables returns the names of the tables that the file may have, for faults.
func (d *document) allowedTables() string {
	return "tables [[" + strings.Join(d.tables, "]], [[") + "]]"
}

// checkSyntax records a fault and marks the document as incomplete if the file is not
// TOML. err is the error of the parser.
func (d *document) checkSyntax(body []byte, err error) {
	if err == nil && len(d.faults) > 0 {
		return
	}
	var all map[string]any
	// Unmarshal provides the line, and detects errors that unstable.Parser does not.
	syntaxErr := toml.Unmarshal(body, &all)
	if syntaxErr == nil && err == nil {
		return
	}
	d.incomplete = true
	fault := Fault{File: d.file, Allowed: "the file is not TOML"}
	var decode *toml.DecodeError
	if errors.As(syntaxErr, &decode) {
		fault.Line, _ = decode.Position()
		fault.Allowed += ": " + strings.TrimPrefix(decode.Error(), "toml: ")
	}
	d.faults = append(d.faults, fault)
	for _, e := range d.elements {
		e.incomplete = true
	}
}

// path returns the dotted key of an expression and its line.
func path(p *unstable.Parser, node *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := node.Key(); it.Next(); {
		key := it.Node()
		if line == 0 {
			line = p.Shape(key.Raw).Start.Line
		}
		parts = append(parts, string(key.Data))
	}
	return strings.Join(parts, "."), line
}
