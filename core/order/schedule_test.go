package order

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// TestDue guards against a scheduled edit that is due early or never, and against an
// order of acceptance that depends on the order of the rows.
func TestDue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfDistinct(rapid.StringMatching(`[a-c]{1,2}`), rapid.ID[string]).Draw(t, "ids")
		var edits []Pending
		for _, id := range ids {
			at := clock.Millis(rapid.IntRange(-2, 6).Draw(t, "at"))
			edits = append(edits, Pending{EditID: ident.EditID(id), ScheduleRow: ScheduleRow{ReleaseMillis: at}})
		}
		const now = 3
		due := Due(now, edits)
		again := Due(now, rapid.Permutation(edits).Draw(t, "rows"))
		notDue := 0
		for _, e := range edits {
			if e.ReleaseMillis > now {
				notDue++
			}
		}
		if len(due)+notDue != len(edits) {
			t.Fatalf("%d of %d edits are due", len(due), len(edits))
		}
		for i, e := range due {
			if e.ReleaseMillis > now || again[i].EditID != e.EditID {
				t.Fatalf("due edits are %v and %v", due, again)
			}
			if i == 0 {
				continue
			}
			p := due[i-1]
			if p.ReleaseMillis > e.ReleaseMillis || p.ReleaseMillis == e.ReleaseMillis && p.EditID >= e.EditID {
				t.Fatalf("%v comes before %v", p, e)
			}
		}
	})
}

// TestDecodePending guards against the acceptance of a row without a time, which would be
// due at once, and of a row that names the object of another edit.
func TestDecodePending(t *testing.T) {
	is := is.New(t)
	row := ScheduleRow{ReleaseMillis: 7, Object: EditKey("x"), Base: 2}
	p, err := DecodePending(ScheduleKey("x"), EncodeSchedule(row), 4)
	is.NoErr(err)
	is.Equal(p, Pending{EditID: "x", Revision: 4, ScheduleRow: row})
	p, err = DecodePending(ScheduleKey("x"), []byte(`{"Base":2,"Object":"Edit/x","ReleaseMillis":7}`), 4)
	is.NoErr(err)
	is.Equal(p.ScheduleRow, row)
	for _, value := range []string{
		`{"Object":"Edit/x","Base":2}`, `{"ReleaseMillis":null,"Object":"Edit/x"}`, `{"ReleaseMillis":"7","Object":"Edit/x"}`,
		`{"ReleaseMillis":7,"Object":"Edit/y"}`, `{"ReleaseMillis":1e999,"Object":"Edit/x"}`, `[]`, ``,
	} {
		_, err := DecodePending(ScheduleKey("x"), []byte(value), 4)
		is.True(err != nil)
	}
	_, err = DecodePending("Schedule/", EncodeSchedule(row), 4)
	is.True(err != nil)
}
