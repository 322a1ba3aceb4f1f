package bench

import (
	"container/heap"

	"hickoryrail/core/clock"
)

type (
	// event is a function that runs at an instant.
	event struct {
		at clock.Millis
		// seq orders events of the same instant as they were scheduled.
		seq int
		run func()
	}

	// scheduler runs events in virtual time.
	scheduler struct {
		now    clock.Millis
		seq    int
		events eventHeap
	}

	// eventHeap is a heap.Interface of the future events, earliest first.
	eventHeap []event
)

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return x
}

// schedule adds an event at t, or at the current instant if t has passed.
func (s *scheduler) schedule(t clock.Millis, run func()) {
	s.seq++
	heap.Push(&s.events, event{max(t, s.now), s.seq, run})
}

// runAll runs all events in order of time.
func (s *scheduler) runAll() {
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}
