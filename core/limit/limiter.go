// Package limit decides whether a caller may send another request.
package limit

import (
	"container/list"

	"hickoryrail/core/clock"
)

const (
	// DefaultMaxCallers stands for a MaxCallers of 0.
	DefaultMaxCallers = 4096
	// burstSeconds is the time whose requests a caller may send at once.
	burstSeconds = 1
)

type (
	// Limiter is a token bucket per caller, which K names. It is not safe for
	// concurrent use.
	Limiter[K comparable] struct {
		// PerSecond is the rate of one caller; above 0.
		PerSecond float64
		// MaxCallers bounds the callers that are remembered. The one that was
		// idle for the longest time is forgotten first, and starts again with a
		// full bucket.
		MaxCallers int

		buckets map[K]*list.Element
		// recent holds the buckets, the latest used first; each is in buckets.
		recent list.List
	}

	// bucket holds the tokens of one caller.
	bucket[K comparable] struct {
		caller K
		// tokens is from 0 to one burst.
		tokens   float64
		filledAt clock.Millis
	}
)

// Allow takes a token of the caller and reports whether there was one. A step of
// the clock backwards adds no tokens.
func (l *Limiter[K]) Allow(now clock.Millis, caller K) bool {
	b := l.bucket(now, caller)
	if now > b.filledAt {
		b.tokens = min(b.tokens+l.PerSecond*float64((now-b.filledAt)/clock.Second), l.burst())
		b.filledAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Callers returns the number of callers that are remembered.
func (l *Limiter[K]) Callers() int {
	return len(l.buckets)
}

// bucket returns the caller's bucket, a full one for a new caller.
func (l *Limiter[K]) bucket(now clock.Millis, caller K) *bucket[K] {
	if l.buckets == nil {
		l.buckets = make(map[K]*list.Element)
	}
	if e := l.buckets[caller]; e != nil {
		l.recent.MoveToFront(e)
		return e.Value.(*bucket[K])
	}
	if len(l.buckets) >= l.maxCallers() {
		oldest := l.recent.Remove(l.recent.Back()).(*bucket[K])
		delete(l.buckets, oldest.caller)
	}
	b := &bucket[K]{caller: caller, tokens: l.burst(), filledAt: now}
	l.buckets[caller] = l.recent.PushFront(b)
	return b
}

// burst returns the size of a bucket; at least one request passes.
func (l *Limiter[K]) burst() float64 {
	return max(l.PerSecond*burstSeconds, 1)
}

// maxCallers returns MaxCallers or its default.
func (l *Limiter[K]) maxCallers() int {
	if l.MaxCallers <= 0 {
		return DefaultMaxCallers
	}
	return l.MaxCallers
}
