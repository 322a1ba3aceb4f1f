package files

import (
	"math"
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
		// data is the text of a string, and the raw bytes of other scalars.
		data string
		// shown is the value as it stands in the file, on one line.
		shown string
		line  int
	}

	// element is one table of a list, such as one [[Services]].
	element struct {
		file  string
		table string
		line  int
		// values has the first value of each key.
		values map[string]value
		// known are the keys that were asked for, in that order.
		known []string
		// read are the values that were read, as model's faults show them; 0 or
		// empty stands for a value that is missing or faulty.
		read map[string]string
		// faulty are the keys that have a fault already.
		faulty map[string]bool
		// cut says that the file could not be read to its end, so that missing
		// keys are no faults.
		cut    bool
		faults Faults
	}
)

// key returns the name of a key for faults.
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

// get returns a value of one of the allowed kinds.
func (e *element) get(name, allowed string, required bool, kinds ...unstable.Kind) (value, bool) {
	e.known = append(e.known, name)
	v, ok := e.values[name]
	if !ok {
		if required && !e.cut {
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
	e.read[name] = v.data
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
	e.read[name] = strconv.Itoa(out.V)
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
	e.read[name] = clock.Millis(out.V).String()
	return clock.Millis(out.V)
}

// flag returns a bool that may be left out.
func (e *element) flag(name string) bool {
	v, _ := e.get(name, "true or false", false, unstable.Bool)
	e.read[name] = v.data
	return v.data == "true"
}

// class returns a class by its name.
func (e *element) class(name string) model.Class {
	allowed := strings.Join(model.ClassNames(), ", ")
	v, ok := e.get(name, allowed, true, unstable.String)
	class, known := model.ParseClass(v.data)
	if ok && !known {
		e.fault(name, allowed)
	}
	e.read[name] = class.String()
	return class
}

// end records the keys that were not asked for. It returns all faults.
func (e *element) end() Faults {
	allowed := "the keys " + strings.Join(e.known, ", ")
	for name := range e.values {
		if _, known := e.read[name]; !known {
			e.fault(name, allowed)
		}
	}
	return e.faults
}
