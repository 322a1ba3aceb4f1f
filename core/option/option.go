// Package option provides a value that may be absent.
package option

// Option holds a value or no value. The zero value holds none.
type Option[T any] struct {
	value T
	// ok reports whether value is present; if not, value is the zero value of T.
	ok bool
}

// Some returns an option that holds v.
func Some[T any](v T) Option[T] {
	return Option[T]{value: v, ok: true}
}

// None returns an option without a value.
func None[T any]() Option[T] {
	return Option[T]{}
}

// Get returns the value and whether it is present.
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

// IsSome reports whether a value is present.
func (o Option[T]) IsSome() bool {
	return o.ok
}
