package paths

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestExplore guards against paths that are skipped or run twice, and against exploring a
// state again.
func TestExplore(t *testing.T) {
	is := is.New(t)
	found := make(map[string]int)
	runs, _ := Explore(func(c *Chooser) bool {
		text := ""
		for len(text) < 3 {
			text += fmt.Sprint(c.Choose(2 + len(text)))
		}
		found[text]++
		return true
	})
	is.Equal(runs, 2*3*4)
	is.Equal(len(found), 2*3*4)

	// The sum of four choices has few states, although there are 81 paths.
	runs, states := Explore(func(c *Chooser) bool {
		sum := 0
		for depth := range 4 {
			sum += c.Choose(3)
			if c.Seen(func() string { return fmt.Sprint(depth, sum) }) {
				return true
			}
		}
		return true
	})
	is.Equal(states, 3+5+7+9)
	is.True(runs < 81)

	runs, _ = Explore(func(c *Chooser) bool { return c.Choose(9) < 4 })
	is.Equal(runs, 5)
}
