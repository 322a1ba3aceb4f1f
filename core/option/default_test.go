package option

import (
	"testing"

	"github.com/matryer/is"
)

// TestDefaults guards against a default that replaces a setting, and against one that is
// not applied to a setting that is not set.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ value, want int }{{0, 7}, {-1, 7}, {1, 1}, {9, 9}} {
		is.Equal(OrDefault(c.value, 7), c.want)
		v := c.value
		SetDefault(&v, 7)
		is.Equal(v, c.want)
	}
	is.Equal(OrDefault(0.5, 2.0), 0.5)
}
