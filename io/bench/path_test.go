package bench

import (
	"strconv"
	"testing"
)

// TestPathDelay guards against failed calls in the measurement, and prints its table
// with -v.
func TestPathDelay(t *testing.T) {
	table, err := PathDelay(pathSlice, 370)
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

// TestAdmission guards against a simulation that does not count each call exactly once,
// and prints its table with -v.
func TestAdmission(t *testing.T) {
	table := Admission(AdmitMillis)
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
