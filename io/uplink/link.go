// Package uplink sends the large answers of a node at the rate of its server's link.
package uplink

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/io/stats"
)

const (
	// PieceBytes is the size of the pieces in which a large answer is sent. A link of 13
	// Mbit/s sends a piece in 10 ms.
	PieceBytes = 16 << 10
	// smallBytes is the size up to which an answer does not wait.
	smallBytes = 32 << 10
	// bitsPerByte and millisPerSecond convert the rate of a link.
	bitsPerByte     = 8
	millisPerSecond = 1000
)

type (
	// Link is the link of the node's server. A nil Link, or one that is not active, delays
	// nothing.
	Link struct {
		// OnCorrected, if set, is called when the rate is first corrected because the link
		// is slower than its setting, and when the setting applies again. Set it before the
		// first Begin.
		OnCorrected func(slower bool)

		clock clock.Clock

		// active is read without the lock, since every frame and response asks for it.
		active atomic.Bool

		// mu guards what follows. It is acquired after the locks of the callers.
		mu    sync.Mutex
		pacer admit.Pacer
		// granted maps each turn that asks for a piece to the channel that is closed when
		// the piece may be written.
		granted map[*admit.Turn]chan struct{}
		// timer calls grant at the instant at which the pacer is due; nil before its first
		// use.
		timer *time.Timer

		pieces    prometheus.Counter
		withdrawn prometheus.Counter
	}

	// Sending is the sending of one large answer. A nil Sending delays nothing.
	Sending struct {
		link *Link
		turn *admit.Turn
	}
)

// New returns a link with a rate, or nil for the rate 0, which means that it is unknown. It
// is not active.
func New(bitsPerSecond int64, c clock.Clock) *Link {
	if bitsPerSecond <= 0 {
		return nil
	}
	return &Link{
		clock:     c,
		pacer:     admit.Pacer{BytesPerMilli: float64(bitsPerSecond) / bitsPerByte / millisPerSecond},
		granted:   make(map[*admit.Turn]chan struct{}),
		pieces:    stats.Counter("link_pieces_total", "Pieces of large answers that were sent at the rate of the link."),
		withdrawn: stats.Counter("link_withdrawn_total", "Large answers that were not sent whole because their callers had left or their connections had ended."),
	}
}

// Register registers the metrics; a nil registry leaves them unregistered.
func (l *Link) Register(r prometheus.Registerer) error {
	if l == nil {
		return nil
	}
	return stats.Register(r, l.pieces, l.withdrawn,
		stats.GaugeFunc("link_waiting_bytes", "Bytes of large answers that wait to be sent.", func() float64 {
			waiting, _ := l.Backlog()
			return float64(waiting)
		}),
		stats.GaugeFunc("link_bytes_per_second", "Rate at which the node sends; below the setting if the link is slower; 0 while nothing is bounded.", func() float64 {
			_, rate := l.Backlog()
			return rate * millisPerSecond
		}))
}

// SetActive begins or ends the pacing of answers. Those that wait are sent in any case.
func (l *Link) SetActive(active bool) {
	if l == nil {
		return
	}
	l.active.Store(active)
}

// Active reports whether large answers are paced.
func (l *Link) Active() bool {
	return l != nil && l.active.Load()
}

// Backlog returns the bytes of large answers that wait to be sent and the bytes per
// millisecond that are sent; 0 while nothing is bounded.
func (l *Link) Backlog() (ident.Bytes, float64) {
	if l == nil {
		return 0, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.active.Load() {
		return l.pacer.Backlog(), 0
	}
	return l.pacer.Backlog(), l.pacer.Rate()
}

// Sent records n bytes that were sent without waiting.
func (l *Link) Sent(n int) {
	if !l.Active() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pacer.Sent(l.clock.Now(), ident.Bytes(n))
}

// Begin returns the sending of an answer of n bytes, or nil for one that is not paced.
func (l *Link) Begin(n int) *Sending {
	if n <= smallBytes || !l.Active() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Sending{link: l, turn: l.pacer.Begin(ident.Bytes(n))}
}

// Await waits until the next n bytes may be written, and returns the error of ctx if that
// ends before.
func (s *Sending) Await(ctx context.Context, n int) error {
	if s == nil {
		return nil
	}
	l := s.link
	granted := make(chan struct{})
	l.mu.Lock()
	l.pacer.Ask(s.turn, ident.Bytes(n))
	l.granted[s.turn] = granted
	l.grant()
	l.mu.Unlock()
	select {
	case <-granted:
		l.pieces.Inc()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Wrote records that a write of n bytes to a connection returned without an error after
// took.
func (s *Sending) Wrote(connection uint64, n int, took time.Duration) {
	if s == nil {
		return
	}
	l := s.link
	l.mu.Lock()
	before := l.pacer.Corrected()
	l.pacer.Wrote(l.clock.Now(), connection, ident.Bytes(n), clock.FromDuration(took))
	after := l.pacer.Corrected()
	l.mu.Unlock()
	if before != after && l.OnCorrected != nil {
		l.OnCorrected(after)
	}
}

// End ends the sending. whole is false if the answer was not sent to its end.
func (s *Sending) End(whole bool) {
	if s == nil {
		return
	}
	l := s.link
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pacer.End(s.turn)
	delete(l.granted, s.turn)
	if !whole {
		l.withdrawn.Inc()
	}
	l.grant()
}

// grant wakes the sendings whose next piece may be written, and sets the timer for the
// others. The caller holds mu.
func (l *Link) grant() {
	now := l.clock.Now()
	for _, t := range l.pacer.Grant(now) {
		close(l.granted[t])
		delete(l.granted, t)
	}
	next := l.pacer.Next()
	if next == clock.Forever {
		return
	}
	wait := max(next-now, 0).Duration()
	if l.timer == nil {
		l.timer = time.AfterFunc(wait, l.due)
		return
	}
	l.timer.Reset(wait)
}

// due calls grant when the timer expires.
func (l *Link) due() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grant()
}
