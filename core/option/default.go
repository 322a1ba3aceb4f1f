package option

// Number is a setting whose zero value stands for its default.
type Number interface {
	~int | ~int64 | ~float64
}

// OrDefault returns v, or d if v is not positive and so is not set.
func OrDefault[T Number](v, d T) T {
	if v > 0 {
		return v
	}
	return d
}

// SetDefault sets v to d if it is not positive and so is not set.
func SetDefault[T Number](v *T, d T) {
	*v = OrDefault(*v, d)
}
