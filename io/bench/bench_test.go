package bench

import (
	"os"
	"strconv"
	"testing"
)

// TestRouteChoice guards against a simulation that does not count each call exactly
// once, and prints its table with -v.
func TestRouteChoice(t *testing.T) {
	table := RouteChoice(500)
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

// cell returns a number of a table.
func cell(t *testing.T, table *Table, row, column int) float64 {
	t.Helper()
	v, err := strconv.ParseFloat(table.Rows[row][column], 64)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// TestRetryAmplification guards against a policy under which a chain that is not
// idempotent executes a call twice.
func TestRetryAmplification(t *testing.T) {
	table := RetryAmplification(ChainCalls, 200_000)
	show(t, table)
	for _, i := range []int{4, 14} {
		if n := cell(t, table, i, 3); table.Rows[i][1] != "false" || n > 1 {
			t.Fatalf("%v", table.Rows[i])
		}
	}
}

// TestSilentConnection guards against a stall detector that needs more than half the
// time of the idle timeout.
func TestSilentConnection(t *testing.T) {
	table := SilentConnection(50)
	show(t, table)
	idle := 0.0
	for i, row := range table.Rows {
		if row[1] == "idle timeout" {
			idle = cell(t, table, i, 3)
		} else if detected := cell(t, table, i, 3); detected*2 > idle {
			t.Fatalf("idle timeout %f ms, %s %f ms", idle, row[1], detected)
		}
	}
}

// TestCosts guards against allocations on the request path.
func TestCosts(t *testing.T) {
	table := PickCost(10_000)
	show(t, table)
	for i := range 3 {
		if n := cell(t, table, i, 2); n > 0 {
			t.Fatalf("%v", table.Rows[i])
		}
	}
	show(t, DedupCost(10_000))
}

// TestHedges guards against hedges that exceed the budget or do not reduce p99.
func TestHedges(t *testing.T) {
	table := Hedges(HedgeCalls)
	show(t, table)
	for i := 0; i < len(table.Rows); i += 2 {
		if none, hedged, extra := cell(t, table, i, 3), cell(t, table, i+1, 3), cell(t, table, i+1, 5); hedged >= none || extra > 5.1 {
			t.Fatalf("%v", table.Rows[i+1])
		}
	}
}
