package route

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

// TestSplitKeepsShares guards against a part that gets more or fewer requests than its
// weight gives it: after any number of requests, the difference is at most the number
// of parts.
func TestSplitKeepsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 1, 5).Draw(t, "weights")
		weights[0]++
		r := model.Route{Name: "r"}
		total := 0
		for i, w := range weights {
			r.Parts = append(r.Parts, model.Part{Service: ident.ServiceName(rune('a' + i)), Weight: w})
			total += w
		}
		var s Split
		got := map[ident.ServiceName]int{}
		for n := 1; n <= 500; n++ {
			got[s.Next(&r)]++
			for _, p := range r.Parts {
				want := float64(n*p.Weight) / float64(total)
				if diff := float64(got[p.Service]) - want; diff > float64(len(weights)) || diff < -float64(len(weights)) {
					t.Fatalf("after %d requests %s has %d, want %.1f", n, p.Service, got[p.Service], want)
				}
			}
		}
	})
}

// TestSplitFollowsConfiguration guards against earlier weights that are used after a
// change, and against state that is kept for removed routes.
func TestSplitFollowsConfiguration(t *testing.T) {
	is := is.New(t)
	var s Split
	r := model.Route{Name: "r", Parts: []model.Part{{Service: "a", Weight: 1}, {Service: "b", Weight: 0}}}
	is.Equal(s.Next(&r), ident.ServiceName("a"))
	r.Parts = []model.Part{{Service: "a", Weight: 0}, {Service: "b", Weight: 1}}
	is.Equal(s.Next(&r), ident.ServiceName("b"))
	s.Keep(func(ident.RouteName) bool { return false })
	is.Equal(len(s.routes), 0)
	is.Equal(s.Next(&model.Route{Name: "r", Service: "c"}), ident.ServiceName("c"))
}
