package uplink

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// testBits is a rate at which a piece takes a second, in bits per second.
const testBits = PieceBytes * bitsPerByte

// TestTurns guards against an answer that is sent before an earlier one, an answer that waits
// behind one that is no longer sent, and bytes that are counted after they were given up.
func TestTurns(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Second)
	l := New(testBits, c)
	is.NoErr(l.Register(prometheus.NewRegistry()))
	is.True(l.Begin(1<<20) == nil) // not active
	l.SetActive(true)
	is.True(l.Begin(smallBytes) == nil)
	first, second := l.Begin(10*PieceBytes), l.Begin(10*PieceBytes)
	is.NoErr(second.Await(t.Context(), PieceBytes)) // nothing asks before it
	order := make(chan int, 2)
	ctx, leave := context.WithCancel(t.Context())
	left := make(chan error, 1)
	go func() { left <- first.Await(ctx, PieceBytes) }()
	go func() {
		_ = second.Await(t.Context(), PieceBytes)
		order <- 2
	}()
	waiting := func(n ident.Bytes) {
		for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
			l.mu.Lock()
			asking := len(l.granted)
			l.mu.Unlock()
			if asking == int(n) {
				return
			}
			if time.Now().After(end) {
				t.Fatal("turns do not ask")
			}
		}
	}
	waiting(2)
	c.Advance(2 * clock.Second)
	l.due()
	is.NoErr(<-left) // the earlier answer goes first, although it asked last or first
	is.Equal(len(order), 0)
	go func() { left <- first.Await(ctx, PieceBytes) }()
	waiting(2)
	leave()
	is.Equal(<-left, context.Canceled)
	first.End(false)
	n, _ := l.Backlog()
	is.Equal(n, ident.Bytes(9*PieceBytes))
	c.Advance(2 * clock.Second)
	l.due()
	is.Equal(<-order, 2)
	second.End(false)
	n, _ = l.Backlog()
	is.Equal(n, ident.Bytes(0))
}

// TestCorrectionIsReported guards against a slower link that no log line shows, and against a
// line for each measurement.
func TestCorrectionIsReported(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Second)
	l := New(100*testBits, c)
	var reports []bool
	l.OnCorrected = func(slower bool) { reports = append(reports, slower) }
	l.SetActive(true)
	_, setting := l.Backlog()
	s := l.Begin(1 << 30)
	write := func(blocked time.Duration, times int) {
		for i := range times {
			c.Advance(50)
			s.Wrote(uint64(i%4), PieceBytes, blocked)
		}
	}
	write(50*time.Millisecond, 100)
	is.Equal(reports, []bool{true})
	_, corrected := l.Backlog()
	is.True(corrected < setting/2)
	write(0, 300)
	is.Equal(reports, []bool{true, false})
	_, recovered := l.Backlog()
	is.Equal(recovered, setting)
}

// TestNoLink guards against a node without a rate that fails or paces answers.
func TestNoLink(t *testing.T) {
	is := is.New(t)
	l := New(0, clock.NewManual(0))
	is.NoErr(l.Register(prometheus.NewRegistry()))
	l.SetActive(true)
	l.Sent(1)
	is.True(!l.Active())
	s := l.Begin(1 << 20)
	is.NoErr(s.Await(t.Context(), PieceBytes))
	s.Wrote(1, PieceBytes, 0)
	s.End(true)
	n, rate := l.Backlog()
	is.Equal(n, ident.Bytes(0))
	is.Equal(rate, 0.0)
}
