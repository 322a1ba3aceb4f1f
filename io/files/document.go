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
	// tables are the lists that the file may have.
	tables   []string
	elements []*element
	faults   Faults
	// cut says that the file is not TOML, so that it was not read to its end.
	cut bool
}

// parse reads the tables of a file. It records everything that is wrong with
// their form.
func parse(s Source, tables ...string) *document {
	d := &document{file: s.Name, tables: tables}
	p := unstable.Parser{}
	p.Reset(s.Body)
	var current *element
	skipping := false // the values belong to a table that has a fault already
	for p.NextExpression() {
		node := p.Expression()
		switch node.Kind {
		case unstable.ArrayTable, unstable.Table:
			current = d.open(&p, node)
			skipping = current == nil
		case unstable.KeyValue:
			if !skipping {
				d.add(&p, node, current)
			}
		}
	}
	d.finish(s.Body, p.Error())
	return d
}

// open starts a table. It returns nil for a table that the file may not have.
func (d *document) open(p *unstable.Parser, node *unstable.Node) *element {
	name, line := path(p, node)
	if node.Kind != unstable.ArrayTable || !slices.Contains(d.tables, name) {
		shown := "[" + name + "]"
		if node.Kind == unstable.ArrayTable {
			shown = "[" + shown + "]"
		}
		d.faults = append(d.faults, Fault{File: d.file, Line: line, Key: name, Value: shown, Allowed: d.allowed()})
		return nil
	}
	e := &element{
		file: d.file, table: name, line: line,
		values: make(map[string]value), read: make(map[string]string), faulty: make(map[string]bool),
	}
	d.elements = append(d.elements, e)
	return e
}

// add takes a key with its value. A key outside of any table is a fault.
func (d *document) add(p *unstable.Parser, node *unstable.Node, e *element) {
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
	if e == nil {
		d.faults = append(d.faults, Fault{File: d.file, Line: line, Key: name, Value: shown, Allowed: d.allowed()})
		return
	}
	if _, twice := e.values[name]; twice {
		fault := Fault{File: d.file, Line: line, Key: e.key(name), Value: shown, Allowed: "each key once in a table"}
		d.faults = append(d.faults, fault)
		return
	}
	e.values[name] = value{kind: v.Kind, data: string(v.Data), shown: shown, line: line}
}

// allowed names the tables that the file may have.
func (d *document) allowed() string {
	return "tables [[" + strings.Join(d.tables, "]], [[") + "]]"
}

// finish records why the file is not TOML, if it is not.
func (d *document) finish(body []byte, err error) {
	if err == nil && len(d.faults) > 0 {
		return
	}
	var all map[string]any
	again := toml.Unmarshal(body, &all) // names the line, and finds what the parser leaves to it
	if again == nil && err == nil {
		return
	}
	d.cut = true
	fault := Fault{File: d.file, Allowed: "the file is not TOML"}
	var decode *toml.DecodeError
	if errors.As(again, &decode) {
		fault.Line, _ = decode.Position()
		fault.Allowed += ": " + strings.TrimPrefix(decode.Error(), "toml: ")
	}
	d.faults = append(d.faults, fault)
	for _, e := range d.elements {
		e.cut = true
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
