package bench

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"hickoryrail/core/clock"
)

// virtual is the virtual time of TestRouteChoice; published figures use
// RouteMillis.
var virtual = flag.Float64("virtual", 3000, "virtual time of target choice in milliseconds")

// TestRouteChoice guards against a measurement that loses calls, and prints its
// table with -v.
func TestRouteChoice(t *testing.T) {
	table := RouteChoice(clock.Millis(*virtual))
	for _, row := range table.Rows {
		sum := 0.0
		for _, i := range []int{4, 7, 8} {
			share, err := strconv.ParseFloat(row[i], 64)
			if err != nil {
				t.Fatal(err)
			}
			sum += share
		}
		if sum < 99.99 || sum > 100.01 {
			t.Fatalf("%v accounts for %f in 100 calls", row, sum)
		}
	}
	show(t, table)
}

// show prints a table with -v.
func show(t *testing.T, table *Table) {
	if testing.Verbose() {
		if err := table.Print(os.Stdout); err != nil {
			t.Fatal(err)
		}
	}
}
