// Package paths enumerates all choice sequences of a small model, for tests that check a
// protocol under every order of events up to a bounded depth.
package paths

// Chooser makes the choices of each run of a model.
type Chooser struct {
	// choices holds the choices of this run, and alternatives the number of values that
	// each could have.
	choices, alternatives []int
	// next is the index of the next choice, and replayed the number of choices that
	// this run was started with.
	next, replayed int
	// seen holds the states that some run has reached.
	seen map[string]struct{}
}

// Choose returns a number from 0 to n-1; over all runs, it returns each of them. n must
// be at least 1 and depend on the earlier choices only.
func (c *Chooser) Choose(n int) int {
	if c.next == len(c.choices) {
		c.choices, c.alternatives = append(c.choices, 0), append(c.alternatives, n)
	}
	c.next++
	return c.choices[c.next-1]
}

// Seen reports whether another path has reached the same state, so that the run may end
// here. The state must contain everything that later choices and checks depend on.
func (c *Chooser) Seen(state func() string) bool {
	if c.next < c.replayed {
		return false // an earlier run recorded this state after the same choices
	}
	key := state()
	if _, ok := c.seen[key]; ok {
		return true
	}
	c.seen[key] = struct{}{}
	return false
}

// Explore calls run once for each path, in depth-first order, and returns the number of
// runs and of distinct states. It ends early if run returns false.
func Explore(run func(c *Chooser) bool) (runs, states int) {
	c := &Chooser{seen: make(map[string]struct{})}
	for {
		c.next, c.replayed = 0, len(c.choices)
		runs++
		if !run(c) || !c.advance() {
			return runs, len(c.seen)
		}
	}
}

// advance selects the next path and reports whether there is one.
func (c *Chooser) advance() bool {
	for last := len(c.choices) - 1; last >= 0; last-- {
		if c.choices[last]+1 < c.alternatives[last] {
			c.choices[last]++
			return true
		}
		c.choices, c.alternatives = c.choices[:last], c.alternatives[:last]
	}
	return false
}
