package bench

import (
	"flag"
	"strconv"
	"testing"
	"time"
)

var (
	// pathLength is the time for each rate and way; published figures use 10 s.
	pathLength = flag.Duration("path", 500*time.Millisecond, "time of the path measurement for each rate and way")
	// pathRates is whether all rates are measured.
	pathRates = flag.Bool("rates", false, "measure the path at rising rates")
)

// TestPathDelay guards against a measurement that loses calls, and prints its
// table with -v.
func TestPathDelay(t *testing.T) {
	rates := []int{370}
	if *pathRates {
		rates = []int{370, 1000, 2000, 4000}
	}
	table, err := PathDelay(*pathLength, rates...)
	if err != nil {
		t.Fatal(err)
	}
	show(t, table)
	for _, row := range table.Rows {
		if row[len(row)-1] != "0" {
			t.Fatalf("failed calls: %v", row)
		}
	}
}

// TestAdmission guards against a measurement that loses calls, and prints its
// table with -v.
func TestAdmission(t *testing.T) {
	table := Admission()
	show(t, table)
	for _, row := range table.Rows {
		sum := 0
		for _, i := range []int{4, 6, 7} {
			n, err := strconv.Atoi(row[i])
			if err != nil {
				t.Fatal(err)
			}
			sum += n
		}
		if strconv.Itoa(sum) != row[3] {
			t.Fatalf("calls are lost: %v", row)
		}
	}
}
