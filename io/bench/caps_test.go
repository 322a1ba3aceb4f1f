package bench

import "testing"

// TestUsageCaps guards against a cap that is exceeded under a surge, a fault or a change of
// the cap, and against requests below the cap that are refused.
func TestUsageCaps(t *testing.T) {
	table := UsageCaps(CapSize{16, 72}, CapSize{61, 72})
	show(t, table)
	for i, row := range table.Rows {
		if worst := cell(t, table, i, 3); worst > 100 {
			t.Errorf("bound exceeded: %v", row)
		}
		if needless := cell(t, table, i, 4); row[2][:4] == "calm" && needless > 1 && row[2] == "calm, all nodes" {
			t.Errorf("refused needlessly: %v", row)
		}
	}
}
