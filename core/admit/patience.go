package admit

import "hickoryrail/core/clock"

const (
	// patienceMillis is the time for which the longest time that callers gave is
	// remembered.
	patienceMillis = 5 * clock.Second
	// patienceShare is the share of the longest time below which callers differ
	// at their first try: some are less patient, and the way takes time.
	patienceShare = 0.15
)

// Patience estimates how long a caller has waited before its present try. Callers
// say how much time is left, so one that says less than the others of its kind has
// used the difference. K names the kind. The zero value is ready for use; it is not
// safe for concurrent use.
type Patience[K comparable] struct {
	kinds map[K]*patience
}

// patience holds the longest times of two successive periods.
type patience struct {
	since             clock.Millis
	present, previous clock.Millis
}

// Waited takes the time that a caller has left and returns how long it has waited.
func (p *Patience[K]) Waited(now clock.Millis, kind K, left clock.Millis) clock.Millis {
	if p.kinds == nil {
		p.kinds = make(map[K]*patience)
	}
	k := p.kinds[kind]
	if k == nil {
		k = &patience{since: now}
		p.kinds[kind] = k
	}
	if now-k.since >= patienceMillis {
		k.since, k.previous, k.present = now, k.present, 0
	}
	k.present = max(k.present, left)
	longest := max(k.present, k.previous)
	if left >= longest*(1-patienceShare) {
		return 0
	}
	return longest - left
}

// Keep forgets the kinds for which keep is false.
func (p *Patience[K]) Keep(keep func(K) bool) {
	for kind := range p.kinds {
		if !keep(kind) {
			delete(p.kinds, kind)
		}
	}
}
