package files

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"hickoryrail/core/clock"
	"hickoryrail/core/model"
)

type (
	// value is one value of a table.
	value struct {
		kind unstable.Kind
		// data is the decoded text of a string, and the raw text of other scalars.
		data string
		// items holds the items of an array of strings; nil for other values.
		items []string
		// shown is the value as faults show it: as it is written in the file, on
		// one line.
		shown string
		line  int
	}

	// element is one table of a list, such as one [[Services]].
	element struct {
		file  string
		table string
		line  int
		// values holds the first value of each key.
		values map[string]value
		// requested holds the keys that get was called for, in that order.
		requested []string
		// decoded holds the decoded values as model.Fault shows them; 0 or empty
		// stands for a value that is missing or faulty.
		decoded map[string]string
		// listed does the same for the items of a list.
		listed map[string][]string
		// faulty holds the keys for which a fault is recorded.
		faulty map[string]bool
		// incomplete is true if the file could not be read to its end, so that missing
		// keys are not faults.
		incomplete bool
		faults     Faults
	}
)

// key returns the name of a key with its table, for faults.
func (e *element) key(name string) string {
	return e.table + "." + name
}

// fault records a fault of one key.
func (e *element) fault(name, allowed string) {
	e.faulty[name] = true
	line, shown := e.line, ""
	if v, ok := e.values[name]; ok {
		line, shown = v.line, v.shown
	}
	e.faults = append(e.faults, Fault{File: e.file, Line: line, Key: e.key(name), Value: shown, Allowed: allowed})
}

// get returns the value of a key. It records a fault for a value that is not of one of
// the kinds, or that is required and missing.
func (e *element) get(name, allowed string, required bool, kinds ...unstable.Kind) (value, bool) {
	e.requested = append(e.requested, name)
	v, ok := e.values[name]
	if !ok {
		if required && !e.incomplete {
			e.fault(name, allowed)
		}
		return value{}, false
	}
	for _, k := range kinds {
		if v.kind == k {
			return v, true
		}
	}
	e.fault(name, allowed)
	return value{}, false
}

// text returns a string.
func (e *element) text(name string) string {
	v, _ := e.get(name, "a string", true, unstable.String)
	e.decoded[name] = v.data
	return v.data
}

// integer returns an integer.
func (e *element) integer(name string) int {
	const allowed = "an integer"
	var out struct{ V int }
	if v, ok := e.get(name, allowed, true, unstable.Integer); ok {
		if err := toml.Unmarshal([]byte("V = "+v.data), &out); err != nil {
			e.fault(name, allowed+" of 64 bits")
			out.V = 0
		}
	}
	e.decoded[name] = strconv.Itoa(out.V)
	return out.V
}

// millis returns a number of milliseconds.
func (e *element) millis(name string, required bool) clock.Millis {
	const allowed = "a number of milliseconds"
	var out struct{ V float64 }
	if v, ok := e.get(name, allowed, required, unstable.Integer, unstable.Float); ok {
		err := toml.Unmarshal([]byte("V = "+v.data), &out)
		if err != nil || math.IsNaN(out.V) || math.IsInf(out.V, 0) {
			e.fault(name, allowed)
			out.V = 0
		}
	}
	e.decoded[name] = clock.Millis(out.V).String()
	return clock.Millis(out.V)
}

// boolean returns an optional bool.
func (e *element) boolean(name string) bool {
	v, _ := e.get(name, "true or false", false, unstable.Bool)
	e.decoded[name] = v.data
	return v.data == "true"
}

// number returns an optional number.
func (e *element) number(name string) float64 {
	const allowed = "a number"
	var out struct{ V float64 }
	if v, ok := e.get(name, allowed, false, unstable.Integer, unstable.Float); ok {
		err := toml.Unmarshal([]byte("V = "+v.data), &out)
		if err != nil || math.IsNaN(out.V) || math.IsInf(out.V, 0) {
			e.fault(name, allowed)
			out.V = 0
		}
	}
	e.decoded[name] = fmt.Sprint(out.V)
	return out.V
}

// texts returns an optional list of strings, none of which is empty.
func (e *element) texts(name, allowed string) []string {
	v, ok := e.get(name, allowed, false, unstable.Array)
	if ok && (v.items == nil || slices.Contains(v.items, "")) {
		e.fault(name, allowed)
		v.items = nil
	}
	e.decoded[name] = ""
	return v.items
}

// class returns a class by its name.
func (e *element) class(name string) model.Class {
	allowed := strings.Join(model.ClassNames(), ", ")
	v, ok := e.get(name, allowed, true, unstable.String)
	class, known := model.ParseClass(v.data)
	if ok && !known {
		e.fault(name, allowed)
	}
	e.decoded[name] = class.String()
	return class
}

// finish records a fault for each key that was not decoded. It returns all faults.
func (e *element) finish() Faults {
	allowed := "the keys " + strings.Join(e.requested, ", ")
	for name := range e.values {
		if _, known := e.decoded[name]; !known {
			e.fault(name, allowed)
		}
	}
	return e.faults
}
