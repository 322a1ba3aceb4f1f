package grant

import "hickoryrail/core/clock"

// windowSlots is the number of parts of a window in which requests are counted together.
const windowSlots = 50

// window counts the requests of a sliding window. Requests leave it up to one slot late, never
// early. The zero value is empty.
type window struct {
	// counts is a ring of windowSlots+1 slots, of which slot is the present one.
	counts [windowSlots + 1]float64
	slot   int64
	sum    float64
}

// add counts n requests, which is negative for requests that are taken back.
func (w *window) add(now, length clock.Millis, n float64) {
	w.expire(now, length)
	w.counts[w.index(w.slot)] += n
	w.sum += n
}

// total returns the number of requests in the window.
func (w *window) total(now, length clock.Millis) float64 {
	w.expire(now, length)
	return max(w.sum, 0)
}

// expire drops the slots that are no longer in the window.
func (w *window) expire(now, length clock.Millis) {
	present := int64(now / (length / windowSlots))
	for ; w.slot < present && w.sum != 0; w.slot++ {
		next := w.index(w.slot + 1)
		w.sum -= w.counts[next]
		w.counts[next] = 0
	}
	if w.slot < present {
		*w = window{slot: present} // nothing is left to expire
	}
}

// index returns the place of a slot in the ring.
func (w *window) index(slot int64) int {
	return int(slot % int64(len(w.counts)))
}
