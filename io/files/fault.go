// Package files reads the inventory and the rules from TOML files and writes
// them.
package files

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

type (
	// Fault is one error in a file.
	Fault struct {
		// File is the file's name.
		File string
		// Line is the line number, from 1. A missing key has the line of its table; 0
		// stands for the whole file.
		Line int
		// Key is the table and the key, such as Services.Slots; empty if the
		// file is not TOML.
		Key string
		// Value is the refused value as it is written in the file; empty if there
		// is none.
		Value string
		// Allowed describes the accepted values.
		Allowed string
	}

	// Faults is a non-empty list of faults in order of file and line.
	Faults []Fault
)

// String returns the fault as one line that starts with the file and the line number.
func (f Fault) String() string {
	position := f.File
	if f.Line > 0 {
		position = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	switch {
	case f.Key == "":
		return fmt.Sprintf("%s: %s", position, f.Allowed)
	case f.Value == "":
		return fmt.Sprintf("%s: %s is missing or empty; allowed: %s", position, f.Key, f.Allowed)
	}
	return fmt.Sprintf("%s: %s = %s is not allowed; allowed: %s", position, f.Key, f.Value, f.Allowed)
}

// Error returns all faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// sort sorts the faults by file, in the order of the names in order, and by line.
func (f Faults) sort(order ...string) {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(
			cmp.Compare(slices.Index(order, a.File), slices.Index(order, b.File)),
			cmp.Compare(a.Line, b.Line),
		)
	})
}
