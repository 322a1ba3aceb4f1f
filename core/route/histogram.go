package route

import (
	"math"

	"hickoryrail/core/clock"
)

const (
	// buckets is the number of classes of delay.
	buckets = 64
	// bucketLeast is the upper bound of the first bucket in milliseconds.
	bucketLeast = 0.1
	// bucketGrowth is the ratio of neighbouring bounds; the last is above 120 s.
	bucketGrowth = 1.25
	// halveAt is the number of samples at which all counts are halved, so that
	// old delays fade.
	halveAt = 512
	// leastSamples is the number of samples below which there is no quantile.
	leastSamples = 20
)

// histogram counts delays in buckets of constant ratio.
type histogram struct {
	counts [buckets]uint32
	// total is the sum of counts.
	total uint32
}

// add counts one delay.
func (h *histogram) add(d clock.Millis) {
	i := 0
	if d > bucketLeast {
		i = min(int(math.Ceil(math.Log(float64(d)/bucketLeast)/math.Log(bucketGrowth))), buckets-1)
	}
	h.counts[i]++
	h.total++
	if h.total < halveAt {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// quantile95 returns the upper bound of the bucket that holds the 95th
// percentile, or 0 with too few samples.
func (h *histogram) quantile95() clock.Millis {
	if h.total < leastSamples {
		return 0
	}
	above := uint32(0)
	for i := buckets - 1; i > 0; i-- {
		above += h.counts[i]
		if above*20 > h.total {
			return clock.Millis(bucketLeast * math.Pow(bucketGrowth, float64(i)))
		}
	}
	return bucketLeast
}
