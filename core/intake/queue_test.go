package intake

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestCancelledItemsNeverStart guards against an item that is started after it was
// cancelled, started twice, lost or started out of order.
func TestCancelledItemsNeverStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var q Queue[int, int]
		var want, got []int
		next := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				q.Add(next, next)
				want = append(want, next)
				next++
			case 2:
				key := rapid.IntRange(0, next).Draw(t, "cancelled")
				held := slices.Contains(want, key)
				is.Equal(q.Cancel(key), held)
				want = slices.DeleteFunc(want, func(k int) bool { return k == key })
			case 3:
				q.Start(func(v int) { got = append(got, v) })
				is.True(slices.Equal(got, want))
				got, want = got[:0], want[:0]
			}
			is.Equal(q.Len(), len(want))
		}
	})
}

// TestRepeatedKey guards against an item that is started twice because its key arrived
// twice.
func TestRepeatedKey(t *testing.T) {
	is := is.New(t)
	var q Queue[string, int]
	q.Add("a", 1)
	q.Add("a", 2)
	var started []int
	q.Start(func(v int) { started = append(started, v) })
	is.Equal(started, []int{1})
}
