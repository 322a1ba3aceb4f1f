package route

import (
	"math"

	"hickoryrail/core/clock"
)

const (
	// bucketCount is the number of buckets of a histogram.
	bucketCount = 64
	// firstBound is the upper bound of the first bucket, in milliseconds.
	firstBound = 0.1
	// boundRatio is the ratio of consecutive bounds; the last bound is above 120 s.
	boundRatio = 1.25
	// halvingCount is the number of samples at which all counts are halved, so that
	// old delays lose weight.
	halvingCount = 512
	// minSamples is the least number of samples for a quantile.
	minSamples = 20
)

// histogram counts delays in buckets whose bounds grow exponentially.
type histogram struct {
	counts [bucketCount]uint32
	// total is the sum of counts.
	total uint32
}

// add counts one delay.
func (h *histogram) add(d clock.Millis) {
	i := 0
	if d > firstBound {
		i = min(int(math.Ceil(math.Log(float64(d)/firstBound)/math.Log(boundRatio))), bucketCount-1)
	}
	h.counts[i]++
	h.total++
	if h.total < halvingCount {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// quantile95 returns the upper bound of the bucket that holds the 95th
// percentile, or 0 if there are fewer than minSamples samples.
func (h *histogram) quantile95() clock.Millis {
	if h.total < minSamples {
		return 0
	}
	above := uint32(0)
	for i := bucketCount - 1; i > 0; i-- {
		above += h.counts[i]
		if above*20 > h.total {
			return clock.Millis(firstBound * math.Pow(boundRatio, float64(i)))
		}
	}
	return firstBound
}
