// Package retry provides the decision whether and when a request is attempted
// again.
package retry

import "hickoryrail/core/clock"

const (
	// DefaultRatio is the number of tokens that one call adds.
	DefaultRatio = 0.1
	// DefaultPerSecond is the number of tokens added each second, with or without
	// calls.
	DefaultPerSecond = 1
	// DefaultBurst is the maximum number of tokens.
	DefaultBurst = 50
	// DefaultInitial is the number of tokens at the start. A node that has just
	// started has no load figures of its targets and sends calls to full gates:
	// without initial tokens, 0.1 in 100 calls of its first seconds were refused.
	DefaultInitial = 5
	// repeatCost is the cost in tokens of a retry after MayHaveRun. Such a retry
	// repeats the calls of all lower levels of the call chain: at 1 token, or 10 in
	// 100 calls, 30 levels multiply them by up to 1.1^30 = 17; at 5 tokens by
	// 1.02^30 = 1.8.
	repeatCost = 5
	// hedgeCost is the cost in tokens of a hedge. With 10 tokens for 100 calls it
	// allows 5 hedges, which is the number of calls above the 95th percentile of the
	// delay, and bounds the multiplication over 30 levels by 1.05^30 = 4.3.
	hedgeCost = 2
)

// Budget is a token bucket for the extra attempts of one node. A first attempt
// costs no token, a retry after NotRun costs one, a hedge costs hedgeCost, and a
// retry after MayHaveRun costs repeatCost.
type Budget struct {
	// Ratio is the number of tokens that one call adds; 0 means DefaultRatio.
	Ratio float64
	// PerSecond is the number of tokens added each second; 0 means
	// DefaultPerSecond, a negative value none.
	PerSecond float64
	// Burst is the maximum number of tokens; 0 means DefaultBurst.
	Burst float64
	// Initial is the number of tokens at the first event; 0 means
	// DefaultInitial, a negative value none.
	Initial float64

	// tokens is the present number of tokens, from 0 to Burst.
	tokens float64
	// filledAt is the instant up to which PerSecond was added; valid if started.
	filledAt clock.Millis
	// started reports whether Initial was added.
	started bool
}

// RecordCall adds the tokens of one new call.
func (b *Budget) RecordCall(now clock.Millis) {
	b.fill(now)
	b.add(orDefault(b.Ratio, DefaultRatio))
}

// Take removes n tokens. It returns false and removes none if there are fewer.
func (b *Budget) Take(now clock.Millis, n float64) bool {
	b.fill(now)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Tokens returns the number of tokens at now.
func (b *Budget) Tokens(now clock.Millis) float64 {
	b.fill(now)
	return b.tokens
}

// fill adds the tokens for the time since the last event. It adds none if the clock
// has stepped backwards.
func (b *Budget) fill(now clock.Millis) {
	if !b.started {
		b.add(max(orDefault(b.Initial, DefaultInitial), 0))
	}
	if b.started && now > b.filledAt {
		b.add(max(orDefault(b.PerSecond, DefaultPerSecond), 0) * float64((now-b.filledAt)/clock.Second))
	}
	if !b.started || now > b.filledAt {
		b.filledAt, b.started = now, true
	}
}

// add adds n tokens up to Burst.
func (b *Budget) add(n float64) {
	b.tokens = min(b.tokens+n, orDefault(b.Burst, DefaultBurst))
}

// orDefault returns v, or d if v is 0. Unlike option.OrDefault it keeps negative values,
// which mean none.
func orDefault[T int | float64 | clock.Millis](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}
