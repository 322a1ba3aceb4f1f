package retry

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// shareBuckets is the number of parts of a window.
	shareBuckets = 10
	// shareMargin leaves room for what nodes count differently: requests on their
	// way, and nodes that have not heard of each other.
	shareMargin = 0.8
)

type (
	// Share bounds the repeated arrivals at the targets of each service, over all
	// nodes and without a word between them: every node takes the ratio of its own
	// requests and an even part of the fixed amount. A refusal by a gate is no
	// arrival and costs nothing. It is not safe for concurrent use.
	Share struct {
		// Ratio is the number of repeated arrivals for each request.
		Ratio float64
		// Fixed is the number of repeated arrivals that all nodes may add
		// together in each window.
		Fixed float64
		// WindowMillis is the length of the window; above 0.
		WindowMillis clock.Millis
		// Nodes is the number of nodes, at least 1; it may change at any time.
		Nodes int

		services map[ident.ServiceName]*window
	}

	// window counts the events of one service in the last WindowMillis and up to
	// one bucket more.
	window struct {
		requests, repeats [shareBuckets + 1]int
		// bucket is the number of the present bucket since the clock's origin.
		bucket int64
	}
)

// Request counts a request of a caller for a service.
func (s *Share) Request(now clock.Millis, service ident.ServiceName) {
	w := s.window(now, service)
	w.requests[w.bucket%(shareBuckets+1)]++
}

// Take counts a repeated arrival and reports whether it is allowed; one that is not
// allowed is not counted.
func (s *Share) Take(now clock.Millis, service ident.ServiceName) bool {
	w := s.window(now, service)
	requests, repeats := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	// The oldest bucket may lie outside of the window.
	requests -= w.requests[(w.bucket+1)%(shareBuckets+1)]
	allowed := shareMargin * (s.Ratio*float64(requests) + s.Fixed/float64(max(s.Nodes, 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.bucket%(shareBuckets+1)]++
	return true
}

// Spend counts a repeated arrival that has been decided elsewhere: a call that a
// repeated request makes.
func (s *Share) Spend(now clock.Millis, service ident.ServiceName) {
	w := s.window(now, service)
	w.repeats[w.bucket%(shareBuckets+1)]++
}

// window returns the counts of a service without the buckets that have passed.
func (s *Share) window(now clock.Millis, service ident.ServiceName) *window {
	if s.services == nil {
		s.services = make(map[ident.ServiceName]*window)
	}
	w := s.services[service]
	bucket := int64(now / (s.WindowMillis / shareBuckets))
	if w == nil {
		w = &window{bucket: bucket}
		s.services[service] = w
	}
	if bucket-w.bucket > shareBuckets {
		*w = window{bucket: bucket}
	}
	for w.bucket < bucket {
		w.bucket++
		i := w.bucket % (shareBuckets + 1)
		w.requests[i], w.repeats[i] = 0, 0
	}
	return w
}
