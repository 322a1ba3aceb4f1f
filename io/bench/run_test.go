package bench

import (
	"bytes"
	"context"
	"encoding/csv"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestRunAll guards against a measurement that fails, and against tables that are not
// printed or not written as CSV.
func TestRunAll(t *testing.T) {
	is := is.New(t)
	r := &Runner{CSV: filepath.Join(t.TempDir(), "tables"), Quick: true}
	var out bytes.Buffer
	is.NoErr(r.Run(context.Background(), &out, []string{nameAll}))
	for _, m := range Measurements {
		is.True(strings.Contains(out.String(), "("+m.Name+", "))
		f, err := os.Open(filepath.Join(r.CSV, m.Name+".csv"))
		is.NoErr(err)
		rows, err := csv.NewReader(f).ReadAll() // rejects rows of different lengths
		is.NoErr(f.Close())
		is.NoErr(err)
		is.True(len(rows) > 1) // headings and at least one row
	}
}

// TestNames guards against a list that lacks a measurement, and against an unknown name
// that is reported only after the measurements before it have run.
func TestNames(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	r := &Runner{Quick: true}
	is.NoErr(r.Run(context.Background(), &out, nil))
	is.Equal(strings.Count(out.String(), "\n"), len(Measurements)+1)
	for _, name := range validNames() {
		is.True(strings.Contains(out.String(), name+" "))
	}
	out.Reset()
	err := r.Run(context.Background(), &out, []string{"fence", "fences"})
	is.True(err != nil && strings.Contains(err.Error(), `"fences"`))
	is.Equal(out.Len(), 0)
	chosen, err := selectMeasurements([]string{"fence", "pick", "fence"})
	is.NoErr(err)
	is.Equal(len(chosen), 2)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(r.Run(ctx, io.Discard, []string{nameAll}), context.Canceled)
}

// TestEveryMeasurementIsListed guards against an exported measurement that the
// command does not offer.
func TestEveryMeasurementIsListed(t *testing.T) {
	is := is.New(t)
	listed, err := os.ReadFile("run.go")
	is.NoErr(err)
	files, err := filepath.Glob("*.go")
	is.NoErr(err)
	for _, name := range files {
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		is.NoErr(err)
		for _, d := range f.Decls {
			if fn, ok := d.(*ast.FuncDecl); ok && measures(fn) && !bytes.Contains(listed, []byte(" "+fn.Name.Name+"(")) {
				t.Errorf("%s is not in Measurements", fn.Name.Name)
			}
		}
	}
}

// measures reports whether a function is an exported measurement: it returns a *Table
// and is not NewTable.
func measures(fn *ast.FuncDecl) bool {
	if fn.Recv != nil || !fn.Name.IsExported() || fn.Name.Name == "NewTable" || fn.Type.Results == nil {
		return false
	}
	p, ok := fn.Type.Results.List[0].Type.(*ast.StarExpr)
	if !ok {
		return false
	}
	result, ok := p.X.(*ast.Ident)
	return ok && result.Name == "Table"
}
