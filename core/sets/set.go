// Package sets provides a generic set.
package sets

import (
	"cmp"
	"slices"
)

// Set holds distinct values. The zero value is not usable; call Of.
type Set[T comparable] map[T]struct{}

// Of returns a set of the given values.
func Of[T comparable](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s.Add(v)
	}
	return s
}

// Add inserts v and reports whether it was absent.
func (s Set[T]) Add(v T) bool {
	if s.Has(v) {
		return false
	}
	s[v] = struct{}{}
	return true
}

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Remove deletes v if it is in the set.
func (s Set[T]) Remove(v T) {
	delete(s, v)
}

// Sorted returns the values in ascending order.
func Sorted[T cmp.Ordered](s Set[T]) []T {
	out := make([]T, 0, len(s))
	for v := range s {
		out = append(out, v)
	}
	slices.Sort(out)
	return out
}
