package retry

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// windowBuckets is the number of buckets of a window.
	windowBuckets = 10
	// windowMargin is the fraction of a node's part of the bound that its retries use. The
	// rest allows for calls of repeated requests, of which some nodes make more than
	// others, for requests in transit, and for nodes that are not yet known to each other.
	windowMargin = 0.7
	// callMargin is the fraction up to which calls of repeated requests are made. A request
	// whose call is refused fails, so they may use more than retries.
	callMargin = 0.95
	// nodesKeepMillis is how long a budget goes by a number of nodes after it has become
	// lower. Nodes that are out of reach still use their parts of the fixed amount; this is
	// longer than a partition usually lasts.
	nodesKeepMillis = 60 * clock.Second
)

type (
	// WindowBudget bounds the repeated arrivals at the targets of each service in a
	// sliding window, over all nodes but without messages between them: each node may use
	// the ratio of its own requests and an even part of the fixed amount. A refusal by a
	// gate is not an arrival and costs nothing. It is not safe for concurrent use.
	WindowBudget struct {
		// Ratio is the number of repeated arrivals that each request allows.
		Ratio float64
		// Fixed is the number of further repeated arrivals in each window that all
		// nodes together may make.
		Fixed float64
		// WindowMillis is the length of the window; above 0.
		WindowMillis clock.Millis
		// Nodes is the number of nodes, at least 1. SetNodes changes it.
		Nodes int

		// knownAt is the time of the first call of SetNodes, valid if known. The fixed
		// amount is not used until a window later: a node that starts does not know yet
		// among how many nodes it is divided.
		knownAt clock.Millis
		known   bool
		// highestUntil is the time until which Nodes does not decrease.
		highestUntil clock.Millis

		services map[ident.ServiceName]*window
	}

	// window counts the events of one service in the last WindowMillis and up to
	// one bucket more.
	window struct {
		requests, repeats [windowBuckets + 1]int
		// bucket is the number of the present bucket since the clock's origin.
		bucket int64
	}
)

// SetNodes records that the node knows n live nodes, itself included, at now.
func (b *WindowBudget) SetNodes(now clock.Millis, n int) {
	if !b.known {
		b.known, b.knownAt = true, now
	}
	if n >= b.Nodes || now >= b.highestUntil {
		b.Nodes, b.highestUntil = n, now+nodesKeepMillis
	}
}

// fixed returns the node's part of the fixed amount at now.
func (b *WindowBudget) fixed(now clock.Millis) float64 {
	if b.known && now < b.knownAt+b.WindowMillis {
		return 0
	}
	return b.Fixed / float64(max(b.Nodes, 1))
}

// RecordRequest counts a request of a caller for a service.
func (b *WindowBudget) RecordRequest(now clock.Millis, service ident.ServiceName) {
	w := b.window(now, service)
	w.requests[w.bucket%(windowBuckets+1)]++
}

// Take reports whether a retry is allowed, and counts it if so.
func (b *WindowBudget) Take(now clock.Millis, service ident.ServiceName) bool {
	return b.take(now, service, windowMargin)
}

// TakeCall reports whether a request that was itself retried may make a call, which is a
// repeated arrival at the service, and counts it if so.
func (b *WindowBudget) TakeCall(now clock.Millis, service ident.ServiceName) bool {
	return b.take(now, service, callMargin)
}

// take counts a repeated arrival if it is within the margin of the bound.
func (b *WindowBudget) take(now clock.Millis, service ident.ServiceName, margin float64) bool {
	w := b.window(now, service)
	requests, repeats := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	// The oldest bucket may lie outside of the window.
	requests -= w.requests[(w.bucket+1)%(windowBuckets+1)]
	allowed := margin * (b.Ratio*float64(requests) + b.fixed(now))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.bucket%(windowBuckets+1)]++
	return true
}

// window returns the counts of a service after clearing expired buckets.
func (b *WindowBudget) window(now clock.Millis, service ident.ServiceName) *window {
	if b.services == nil {
		b.services = make(map[ident.ServiceName]*window)
	}
	w := b.services[service]
	bucket := int64(now / (b.WindowMillis / windowBuckets))
	if w == nil {
		w = &window{bucket: bucket}
		b.services[service] = w
	}
	if bucket-w.bucket > windowBuckets {
		*w = window{bucket: bucket}
	}
	for w.bucket < bucket {
		w.bucket++
		i := w.bucket % (windowBuckets + 1)
		w.requests[i], w.repeats[i] = 0, 0
	}
	return w
}
