// Package option provides a value that may be absent.
package option

// Option holds a value or nothing. The zero value holds nothing.
type Option[T any] struct {
	value T
	// ok is false exactly when value is the zero value of an absent option.
	ok bool
}

// Some returns an option that holds v.
func Some[T any](v T) Option[T] {
	return Option[T]{value: v, ok: true}
}

// None returns an option that holds nothing.
func None[T any]() Option[T] {
	return Option[T]{}
}

// Get returns the value and whether there is one.
func (o Option[T]) Get() (T, bool) {
	return o.value, o.ok
}

// Or returns the value, or other if there is none.
func (o Option[T]) Or(other T) T {
	if o.ok {
		return o.value
	}
	return other
}

// IsSome reports whether there is a value.
func (o Option[T]) IsSome() bool {
	return o.ok
}
