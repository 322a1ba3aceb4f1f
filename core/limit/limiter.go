// Package limit limits the request rate of each caller.
package limit

import (
	"container/list"

	"hickoryrail/core/clock"
	"hickoryrail/core/option"
)

const (
	// DefaultMaxCallers is used if MaxCallers is 0.
	DefaultMaxCallers = 4096
	// burstSeconds is the size of a burst, in seconds of requests at PerSecond.
	burstSeconds = 1
)

type (
	// Limiter holds a token bucket for each caller, identified by a K. It is not safe
	// for concurrent use.
	Limiter[K comparable] struct {
		// PerSecond is the allowed rate of one caller; above 0.
		PerSecond float64
		// MaxCallers bounds the callers that are tracked. The one that was idle for
		// the longest time is evicted first, and starts with a full bucket if it
		// returns.
		MaxCallers int

		// buckets holds the element in recent of each caller.
		buckets map[K]*list.Element
		// recent holds the buckets, the most recently used first; each is in buckets.
		recent list.List
	}

	// bucket holds the tokens of one caller.
	bucket[K comparable] struct {
		caller K
		// tokens is between 0 and the size of a burst.
		tokens     float64
		refilledAt clock.Millis
	}
)

// Allow takes a token from the caller's bucket and reports whether one was available. A
// backward step of the clock adds no tokens.
func (l *Limiter[K]) Allow(now clock.Millis, caller K) bool {
	b := l.bucket(now, caller)
	if now > b.refilledAt {
		b.tokens = min(b.tokens+l.PerSecond*float64((now-b.refilledAt)/clock.Second), l.burst())
		b.refilledAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Callers returns the number of tracked callers.
func (l *Limiter[K]) Callers() int {
	return len(l.buckets)
}

// bucket returns the caller's bucket. It creates a full one for a new caller, and evicts
// the least recently used one if there are too many.
func (l *Limiter[K]) bucket(now clock.Millis, caller K) *bucket[K] {
	if l.buckets == nil {
		l.buckets = make(map[K]*list.Element)
	}
	if e := l.buckets[caller]; e != nil {
		l.recent.MoveToFront(e)
		return e.Value.(*bucket[K])
	}
	if len(l.buckets) >= l.maxCallers() {
		evicted := l.recent.Remove(l.recent.Back()).(*bucket[K])
		delete(l.buckets, evicted.caller)
	}
	b := &bucket[K]{caller: caller, tokens: l.burst(), refilledAt: now}
	l.buckets[caller] = l.recent.PushFront(b)
	return b
}

// burst returns the capacity of a bucket, at least 1 so that a request can pass.
func (l *Limiter[K]) burst() float64 {
	return max(l.PerSecond*burstSeconds, 1)
}

// maxCallers returns MaxCallers or its default.
func (l *Limiter[K]) maxCallers() int {
	return option.OrDefault(l.MaxCallers, DefaultMaxCallers)
}
