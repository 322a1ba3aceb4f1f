package bench

import (
	"container/heap"

	"hickoryrail/core/clock"
)

func (s steps) Len() int { return len(s) }

func (s steps) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}

func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push appends a step.
func (s *steps) Push(x any) { *s = append(*s, x.(step)) }

// Pop removes the last step.
func (s *steps) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	(*s)[last] = step{}
	*s = (*s)[:last]
	return x
}

// at schedules a step at an instant.
func (a *agenda) at(t clock.Millis, run func()) {
	a.seq++
	heap.Push(&a.steps, step{max(t, a.now), a.seq, run})
}

// runAll runs all steps in order of time.
func (a *agenda) runAll() {
	for a.steps.Len() > 0 {
		s := heap.Pop(&a.steps).(step)
		a.now = s.at
		s.run()
	}
}
