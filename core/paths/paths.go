// Package paths explores all choices that a small model can make, for tests that
// check a protocol in every order of events to a bounded depth.
package paths

// Chooser makes the choices of one run of a model.
type Chooser struct {
	// taken are the choices of this run, and counts how many each had.
	taken, counts []int
	// next is the position of the next choice, and replayed the number of choices that
	// are the same as in an earlier run.
	next, replayed int
	seen           map[string]struct{}
}

// Choose returns a number from 0 to n-1; each one is taken in some run. n is at least
// 1 and depends on the earlier choices only.
func (c *Chooser) Choose(n int) int {
	if c.next == len(c.taken) {
		c.taken, c.counts = append(c.taken, 0), append(c.counts, n)
	}
	c.next++
	return c.taken[c.next-1]
}

// Seen reports whether another path led to the same state, so that the run may end
// here. A state says everything that later choices and checks depend on.
func (c *Chooser) Seen(state func() string) bool {
	if c.next < c.replayed {
		return false // the way to where this run leaves an earlier one
	}
	s := state()
	if _, ok := c.seen[s]; ok {
		return true
	}
	c.seen[s] = struct{}{}
	return false
}

// Explore calls run once for each path and returns the number of runs and of states.
// It ends early if run returns false.
func Explore(run func(c *Chooser) bool) (runs, states int) {
	c := &Chooser{seen: make(map[string]struct{})}
	for {
		c.next, c.replayed = 0, len(c.taken)
		runs++
		if !run(c) || !c.advance() {
			return runs, len(c.seen)
		}
	}
}

// advance turns to the next path; false if there is none.
func (c *Chooser) advance() bool {
	for last := len(c.taken) - 1; last >= 0; last-- {
		if c.taken[last]+1 < c.counts[last] {
			c.taken[last]++
			return true
		}
		c.taken, c.counts = c.taken[:last], c.counts[:last]
	}
	return false
}
