package once

// queue is a first-in first-out queue on one slice.
type queue[T any] struct {
	items []T
	// head is the index of the first item.
	head int
}

func (q *queue[T]) push(v T) {
	q.items = append(q.items, v)
}

func (q *queue[T]) empty() bool {
	return q.head == len(q.items)
}

// first returns the oldest item of a queue that is not empty.
func (q *queue[T]) first() T {
	return q.items[q.head]
}

// pop removes and returns the oldest item of a queue that is not empty. Once half of
// the slice is unused, the remaining items are copied to a new one to release memory.
func (q *queue[T]) pop() T {
	var zero T
	v := q.items[q.head]
	q.items[q.head] = zero
	q.head++
	if 2*q.head >= len(q.items) {
		q.items = append(make([]T, 0, len(q.items)-q.head), q.items[q.head:]...)
		q.head = 0
	}
	return v
}
