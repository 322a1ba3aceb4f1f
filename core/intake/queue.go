// Package intake holds work that has been received and not started yet.
package intake

import "slices"

type (
	// Queue holds received items in order of arrival until they are started. An item
	// that its sender cancels before that is never started. It is not safe for
	// concurrent use.
	Queue[K comparable, V any] struct {
		// entries holds each key at most once.
		entries []entry[K, V]
	}

	// entry is an item and its key.
	entry[K comparable, V any] struct {
		key   K
		value V
	}
)

// Add appends an item. A key that is already in the queue is ignored.
func (q *Queue[K, V]) Add(key K, value V) {
	if q.index(key) < 0 {
		q.entries = append(q.entries, entry[K, V]{key, value})
	}
}

// Cancel removes an item and reports whether it was in the queue.
func (q *Queue[K, V]) Cancel(key K) bool {
	i := q.index(key)
	if i < 0 {
		return false
	}
	q.entries = slices.Delete(q.entries, i, i+1)
	return true
}

// Start removes every item and passes them to start in order of arrival.
func (q *Queue[K, V]) Start(start func(V)) {
	for _, e := range q.entries {
		start(e.value)
	}
	clear(q.entries) // the values can be large
	q.entries = q.entries[:0]
}

// Len returns the number of items.
func (q *Queue[K, V]) Len() int {
	return len(q.entries)
}

// index returns the position of a key, or -1.
func (q *Queue[K, V]) index(key K) int {
	return slices.IndexFunc(q.entries, func(e entry[K, V]) bool { return e.key == key })
}
