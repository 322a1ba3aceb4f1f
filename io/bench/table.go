// Package bench provides the measurements of hickoryrail. Each one is bounded,
// uses fixed seeds and returns a table.
package bench

import (
	"encoding/csv"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Table is the result of one measurement.
type Table struct {
	// Title describes the measurement, with its sizes and seeds.
	Title string
	// Columns are the headings, with units.
	Columns []string
	// Rows holds the rows, each with one cell per column.
	Rows [][]string
}

// NewTable returns an empty table.
func NewTable(title string, columns ...string) *Table {
	return &Table{Title: title, Columns: columns}
}

// Add appends a row. A float64 is written with at most three decimals and without
// trailing zeros, any other value in its default format.
func (t *Table) Add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		if f, ok := c.(float64); ok {
			row[i] = strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", f), "0"), ".")
		} else {
			row[i] = fmt.Sprint(c)
		}
	}
	t.Rows = append(t.Rows, row)
}

// Print writes the table with aligned columns.
func (t *Table) Print(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%s\n", t.Title); err != nil {
		return err
	}
	aligned := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.Columns}, t.Rows...) {
		if _, err := fmt.Fprintf(aligned, "%s\n", strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return aligned.Flush()
}

// CSV writes the headings and the rows as comma-separated values.
func (t *Table) CSV(w io.Writer) error {
	out := csv.NewWriter(w)
	if err := out.Write(t.Columns); err != nil {
		return err
	}
	return out.WriteAll(t.Rows)
}
