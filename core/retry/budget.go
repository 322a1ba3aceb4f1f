// Package retry provides the decision whether and when a request is attempted
// again.
package retry

import "hickoryrail/core/clock"

const (
	// DefaultRatio is the number of tokens that one call adds.
	DefaultRatio = 0.1
	// DefaultPerSecond is the number of tokens added each second without calls.
	DefaultPerSecond = 1
	// DefaultBurst bounds the tokens.
	DefaultBurst = 50
	// DefaultInitial is the number of tokens at the start. A node that starts
	// knows nothing of its targets and meets full gates at once: without initial
	// tokens, 0.1 in 100 calls of its first seconds were refused.
	DefaultInitial = 5
	// repeatTokens is the price of a retry after MayHaveRun. Such a retry repeats
	// the calls of all lower levels: at 1 token, or 10 in 100 calls, 30 levels
	// multiply them by up to 1.1^30 = 17; at 5 tokens by 1.02^30 = 1.8.
	repeatTokens = 5
	// hedgeTokens is the price of a hedge. At 10 tokens for 100 calls it allows 5
	// hedges, as many as calls exceed the 95th percentile of the delay, and
	// bounds 30 levels that hedge by 1.05^30 = 4.3.
	hedgeTokens = 2
)

// Budget is a token bucket for the extra attempts of one node. A first attempt
// takes no token, a retry after NotRun takes one, a hedge takes hedgeTokens, and a
// retry after MayHaveRun takes repeatTokens.
type Budget struct {
	// Ratio is the number of tokens that one call adds; 0 means DefaultRatio.
	Ratio float64
	// PerSecond is the number of tokens added each second; 0 means
	// DefaultPerSecond, below 0 none.
	PerSecond float64
	// Burst bounds the tokens; 0 means DefaultBurst.
	Burst float64
	// Initial is the number of tokens at the first event; 0 means
	// DefaultInitial, below 0 none.
	Initial float64

	// tokens is from 0 to Burst.
	tokens float64
	// filledAt is the instant up to which PerSecond was added, if started.
	filledAt clock.Millis
	started  bool
}

// Call adds the tokens of one new call.
func (b *Budget) Call(now clock.Millis) {
	b.fill(now)
	b.add(orDefault(b.Ratio, DefaultRatio))
}

// Take removes n tokens and reports whether there were as many.
func (b *Budget) Take(now clock.Millis, n float64) bool {
	b.fill(now)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Tokens returns the tokens at now.
func (b *Budget) Tokens(now clock.Millis) float64 {
	b.fill(now)
	return b.tokens
}

// fill adds the tokens of the time since the last event. A step of the clock
// backwards adds none.
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

// add adds n tokens up to the bound.
func (b *Budget) add(n float64) {
	b.tokens = min(b.tokens+n, orDefault(b.Burst, DefaultBurst))
}

// orDefault returns d in place of 0.
func orDefault[T int | float64 | clock.Millis](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}
