package admit

import "hickoryrail/core/clock"

const (
	// windowMillis is the length of a period over which the longest remaining time
	// is tracked. The maximum of a period also counts in the next one.
	windowMillis = 5 * clock.Second
	// toleranceShare is the share by which the timeout of a first try may fall short
	// of the longest one: callers set different timeouts, and transit takes time.
	toleranceShare = 0.15
)

// WaitEstimator estimates how long a caller has waited before its current try. Each
// request states its remaining time, so one that states less than the others of its
// kind has probably spent the difference on earlier tries. K identifies the kind. The zero
// value is ready for use. It is not safe for concurrent use.
type WaitEstimator[K comparable] struct {
	byKind map[K]*maxima
}

// maxima holds the longest remaining times of the current and the previous period. The
// current one began at startedAt.
type maxima struct {
	startedAt         clock.Millis
	current, previous clock.Millis
}

// Observe records the remaining time of a request and returns how long its caller has
// waited; 0 if the request appears to be a first try.
func (e *WaitEstimator[K]) Observe(now clock.Millis, kind K, remaining clock.Millis) clock.Millis {
	if e.byKind == nil {
		e.byKind = make(map[K]*maxima)
	}
	m := e.byKind[kind]
	if m == nil {
		m = &maxima{startedAt: now}
		e.byKind[kind] = m
	}
	if now-m.startedAt >= windowMillis {
		m.startedAt, m.previous, m.current = now, m.current, 0
	}
	m.current = max(m.current, remaining)
	longest := max(m.current, m.previous)
	if remaining >= longest*(1-toleranceShare) {
		return 0
	}
	return longest - remaining
}

// Keep removes the kinds for which keep returns false.
func (e *WaitEstimator[K]) Keep(keep func(K) bool) {
	for kind := range e.byKind {
		if !keep(kind) {
			delete(e.byKind, kind)
		}
	}
}
