package admit

import (
	"cmp"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// paceShare is the share of the link's rate at which large answers are sent, together
	// with everything else that the node sends. The link's own queue, in which a small
	// answer waits behind everything before it, then stays short. The headers of TCP and IP,
	// which are not counted, are up to 4 in 100 of what a link carries.
	paceShare = 0.95
	// aheadMillis is how far the pieces that may be sent run ahead of the link, so that it
	// is not idle while a timer is late.
	aheadMillis = 10 * clock.Millis(1)
	// largeShare is the share of the rate that large answers have at least, and maxDebtMillis
	// bounds how long they make up for other bytes. Without them, large answers would not be
	// sent at all while the others exceed the rate, for example because its setting is wrong.
	largeShare    = 0.25
	maxDebtMillis = 1 * clock.Second
)

type (
	// Pacer decides when the pieces of large answers may be sent, so that the link of the
	// node has a short queue of its own. Answers are sent in the order in which they became
	// ready; one whose receiver does not read holds up no other. It is not safe for
	// concurrent use.
	Pacer struct {
		// BytesPerMilli is the link's rate by its setting; above 0.
		BytesPerMilli float64

		// measured corrects the rate.
		measured linkRate
		// busyUntil is the instant at which the link has sent all that was written.
		busyUntil clock.Millis
		// grantedAt is the instant of the last grant.
		grantedAt clock.Millis
		// asking holds the turns that ask for a piece, in the order of Begin.
		asking []*Turn
		// begun counts the turns, and backlog is the sum of what they have not sent.
		begun   uint64
		backlog ident.Bytes
	}

	// Turn is the sending of one large answer.
	Turn struct {
		number uint64
		// left is the number of bytes that have not been granted yet.
		left ident.Bytes
		// wanted is the size of the piece that the turn asks for; 0 if it does not ask.
		wanted ident.Bytes
	}
)

// Begin returns the turn of an answer of size bytes that is ready to be sent.
func (p *Pacer) Begin(size ident.Bytes) *Turn {
	p.begun++
	p.backlog += size
	return &Turn{number: p.begun, left: size}
}

// Ask asks for the next n bytes of an answer. Grant returns the turn when they may be
// written.
func (p *Pacer) Ask(t *Turn, n ident.Bytes) {
	t.wanted = min(n, t.left)
	at, _ := slices.BinarySearchFunc(p.asking, t, func(a, b *Turn) int { return cmp.Compare(a.number, b.number) })
	p.asking = slices.Insert(p.asking, at, t)
}

// Grant returns the turns whose next piece may be written now, in order.
func (p *Pacer) Grant(now clock.Millis) []*Turn {
	n := 0
	for n < len(p.asking) && p.due(p.asking[n]) <= now {
		t := p.asking[n]
		p.grantedAt = now
		p.Sent(now, t.wanted)
		t.left -= t.wanted
		p.backlog -= t.wanted
		t.wanted = 0
		n++
	}
	granted := slices.Clone(p.asking[:n])
	p.asking = slices.Delete(p.asking, 0, n)
	return granted
}

// Sent records n bytes that are written, whether they needed a grant or not.
func (p *Pacer) Sent(now clock.Millis, n ident.Bytes) {
	p.busyUntil = min(max(p.busyUntil, now)+clock.Millis(float64(n)/p.Rate()), now+maxDebtMillis)
}

// due returns the instant at which the next piece of a turn may be written if no other one
// goes before it.
func (p *Pacer) due(t *Turn) clock.Millis {
	return min(p.busyUntil-aheadMillis, p.grantedAt+clock.Millis(float64(t.wanted)/(largeShare*p.Rate())))
}

// End ends a turn, also before all of its answer was sent.
func (p *Pacer) End(t *Turn) {
	p.backlog -= t.left
	t.left = 0
	p.asking = slices.DeleteFunc(p.asking, func(a *Turn) bool { return a == t })
}

// Next returns the instant at which Grant is due, or clock.Forever.
func (p *Pacer) Next() clock.Millis {
	if len(p.asking) == 0 {
		return clock.Forever
	}
	return p.due(p.asking[0])
}

// Backlog returns the bytes of answers that have not been granted yet.
func (p *Pacer) Backlog() ident.Bytes {
	return p.backlog
}

// Rate returns the bytes per millisecond that the node sends.
func (p *Pacer) Rate() float64 {
	return paceShare * p.measured.correct(p.BytesPerMilli)
}

// Corrected reports whether the rate is below its setting, because the link is slower.
func (p *Pacer) Corrected() bool {
	return p.measured.factor > 0
}

// Wrote records that a write of n bytes to a connection returned without an error after
// took.
func (p *Pacer) Wrote(now clock.Millis, connection uint64, n ident.Bytes, took clock.Millis) {
	p.measured.wrote(now, p.BytesPerMilli, connection, n, took)
}
