package canary

import (
	"math"

	"hickoryrail/core/clock"
)

const (
	// bucketCount is the number of buckets of a Histogram. The first one holds delays below
	// firstBucketMillis, and each further one is wider by the factor of the square root of
	// 2, up to 23 s.
	bucketCount       = 24
	firstBucketMillis = 8 * clock.Millis(1)
)

// Histogram counts answers by their delay. Trailing buckets without an answer may be left
// out.
type Histogram []uint32

// add counts an answer.
func (h *Histogram) add(delay clock.Millis) {
	i := 0
	if delay > firstBucketMillis {
		i = min(int(2*math.Log2(float64(delay/firstBucketMillis)))+1, bucketCount-1)
	}
	for len(*h) <= i {
		*h = append(*h, 0)
	}
	(*h)[i]++
}

// merge adds the counts of other.
func (h *Histogram) merge(other Histogram) {
	for len(*h) < len(other) {
		*h = append(*h, 0)
	}
	for i, n := range other {
		(*h)[i] += n
	}
}

// total returns the number of answers.
func (h Histogram) total() float64 {
	return h.from(0)
}

// from returns the number of answers in bucket i and above.
func (h Histogram) from(i int) float64 {
	var n float64
	for _, c := range h[min(i, len(h)):] {
		n += float64(c)
	}
	return n
}

// median returns the bucket of the median.
func (h Histogram) median() int {
	half, sum := h.total()/2, 0.0
	for i, c := range h {
		sum += float64(c)
		if sum >= half {
			return i
		}
	}
	return 0
}

// valid reports whether the numbers are in range.
func (h Histogram) valid() bool {
	if len(h) > bucketCount {
		return false
	}
	for _, n := range h {
		if n > maxCount {
			return false
		}
	}
	return true
}
