package admit

import (
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// grantedBytes asks for pieces of a large answer from one instant to another, in steps of a
// millisecond, and returns the bytes that were granted. other bytes are sent in each step.
func grantedBytes(p *Pacer, from, to clock.Millis, other ident.Bytes) ident.Bytes {
	t := p.Begin(1 << 40)
	defer p.End(t)
	p.Ask(t, simPiece)
	var granted ident.Bytes
	for now := from; now < to; now++ {
		p.Sent(now, other)
		for len(p.Grant(now)) > 0 {
			granted += simPiece
			p.Ask(t, simPiece)
		}
	}
	return granted
}

// TestPacerKeepsRate guards against large answers that are sent faster than the link allows
// together with everything else, or much slower.
func TestPacerKeepsRate(t *testing.T) {
	is := is.New(t)
	for _, other := range []ident.Bytes{0, 400, 800} {
		p := &Pacer{BytesPerMilli: 1600}
		granted := float64(grantedBytes(p, 0, 10_000, other))
		want := 10_000 * (paceShare*1600 - float64(other))
		is.True(granted > 0.98*want && granted < 1.02*want+2*simPiece)
	}
}

// TestPacerIsNotStarved guards against large answers that are never sent because everything
// else exceeds the rate, and against a long pause after such a time.
func TestPacerIsNotStarved(t *testing.T) {
	is := is.New(t)
	p := &Pacer{BytesPerMilli: 1600}
	granted := float64(grantedBytes(p, 0, 10_000, 3200))
	is.True(granted > 0.9*largeShare*paceShare*1600*10_000)
	granted = float64(grantedBytes(p, 10_000, 14_000, 0))
	is.True(granted > 0.7*paceShare*1600*4000)
}
