// Package mem bounds the memory that a node uses for the bodies of requests and answers.
package mem

import (
	"context"
	"errors"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/ident"
	"hickoryrail/core/quota"
	"hickoryrail/io/stats"
)

const (
	// softShare is the share of the memory at which the garbage collector works harder.
	softShare = 0.75
	// otherBytes is the memory for everything but bodies, and otherShare bounds it as a
	// share of the memory up to softShare.
	otherBytes ident.Bytes = 48 << 20
	otherShare             = 0.5
	// requestShare is the share of the memory for bodies that requests use; answers use the
	// rest.
	requestShare = 0.5
	// smallBytes is the size up to which a body does not wait behind larger ones, and
	// smallShare the share of each part of the memory that only such bodies use.
	smallBytes ident.Bytes = 64 << 10
	smallShare             = 0.15
	// Copies is the number of copies of a body that a node holds at a time: as it arrived,
	// and as it is sent on.
	Copies = 2
)

// ErrNoRoom reports a body for which there was no memory in time.
var ErrNoRoom = errors.New("no memory for the body")

type (
	// Budget divides the memory of a node between the bodies of requests and of answers. A
	// request holds its part while it waits for its answer, so answers have a part of their
	// own: they could otherwise wait for the requests that wait for them. A nil Budget sets
	// no bounds.
	Budget struct {
		// SoftLimit is the size of the process at which the garbage collector is to work
		// harder.
		SoftLimit         ident.Bytes
		requests, answers *pool
	}

	// pool is a quota.Pool whose holders can wait.
	pool struct {
		mu    sync.Mutex
		quota quota.Pool
		// granted maps each waiting holder to the channel that is closed when it has what
		// it waits for.
		granted map[*quota.Holder]chan struct{}
		// name is the part of the metrics' names that tells the pools apart.
		name           string
		waits, refused prometheus.Counter
	}

	// Hold is the part of a budget that one body uses. Its methods do nothing on a nil Hold.
	// At most one goroutine may call Take or Grow at a time.
	Hold struct {
		pool   *pool
		holder quota.Holder
		// released is set by Release; later bytes are not counted any more.
		released bool
	}

	// Lease is what one request and its answers use.
	Lease struct {
		Request, Answer *Hold

		budget *Budget
		// mu guards attempts: the holds for the answers of attempts.
		mu       sync.Mutex
		attempts []*Hold
	}

	// leaseKey is the key of a lease in a context.
	leaseKey struct{}
)

// NewBudget returns the budget of a process with the given memory, in which a body has at
// most largest bytes.
func NewBudget(memory, largest ident.Bytes) *Budget {
	soft := ident.Bytes(softShare * float64(memory))
	bodies := soft - min(otherBytes, ident.Bytes(otherShare*float64(soft)))
	requests := ident.Bytes(requestShare * float64(bodies))
	return &Budget{
		SoftLimit: soft,
		requests:  newPool("requests", requests, largest), answers: newPool("answers", bodies-requests, largest),
	}
}

// Register registers the metrics of the budget; a nil registry leaves them unregistered.
func (b *Budget) Register(r prometheus.Registerer) error {
	return errors.Join(b.requests.register(r), b.answers.register(r))
}

// newPool returns a pool that uses at most total bytes, unless the largest body needs more.
func newPool(name string, total, largest ident.Bytes) *pool {
	small := ident.Bytes(smallShare * float64(total))
	reserve := growthCopies * (largest + largest/8) // a body in chunks is longer than its content
	return &pool{
		quota:   quota.Pool{Capacity: max(total-small-reserve, 0), SmallBytes: smallBytes, SmallReserve: small, Reserve: reserve},
		granted: make(map[*quota.Holder]chan struct{}),
		name:    name,
		waits:   stats.Counter("memory_"+name+"_waits_total", "Bodies of "+name+" that waited for memory."),
		refused: stats.Counter("memory_"+name+"_refused_total", "Bodies of "+name+" for which there was no memory in time."),
	}
}

// register registers the metrics of the pool.
func (p *pool) register(r prometheus.Registerer) error {
	held := stats.GaugeFunc("memory_"+p.name+"_bytes", "Memory for the bodies of "+p.name+", with their copies.", func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return float64(p.quota.Used())
	})
	return stats.Register(r, held, p.waits, p.refused)
}

// Lease returns a new lease.
func (b *Budget) Lease() *Lease {
	if b == nil {
		return &Lease{}
	}
	return &Lease{budget: b, Request: &Hold{pool: b.requests}, Answer: &Hold{pool: b.answers}}
}

// Attempt returns a lease for one attempt of the request: with the same request, and with
// an answer of its own, since attempts may overlap. It is released with l.
func (l *Lease) Attempt() *Lease {
	if l.budget == nil {
		return l
	}
	answer := &Hold{pool: l.budget.answers}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, answer)
	return &Lease{Request: l.Request, Answer: answer}
}

// Release releases all holds.
func (l *Lease) Release() {
	l.Request.Release()
	l.Answer.Release()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.attempts {
		h.Release()
	}
}

// With returns a context with a lease.
func With(ctx context.Context, l *Lease) context.Context {
	return context.WithValue(ctx, leaseKey{}, l)
}

// From returns the lease of a context, or one without bounds.
func From(ctx context.Context) *Lease {
	if l, ok := ctx.Value(leaseKey{}).(*Lease); ok {
		return l
	}
	return &Lease{}
}

// Take takes n bytes for a body whose size is known. It waits until there is room, and
// returns ErrNoRoom if ctx ends before, or if the body is too large to ever fit.
func (h *Hold) Take(ctx context.Context, n ident.Bytes) error {
	return h.await(ctx, n, (*quota.Pool).Take)
}

// Grow is Take for n more bytes of a body whose size is not known.
func (h *Hold) Grow(ctx context.Context, n ident.Bytes) error {
	return h.await(ctx, n, (*quota.Pool).Grow)
}

// await asks for n more bytes and waits until there is room.
func (h *Hold) await(ctx context.Context, n ident.Bytes, ask func(*quota.Pool, *quota.Holder, ident.Bytes) bool) error {
	if h == nil || n <= 0 {
		return nil
	}
	granted, err := h.request(n, ask)
	if granted == nil || err != nil {
		return err
	}
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		return h.withdraw(granted)
	}
}

// request asks for n more bytes. It returns nil if the holder has them, or else the channel
// that is closed when it does.
func (h *Hold) request(n ident.Bytes, ask func(*quota.Pool, *quota.Holder, ident.Bytes) bool) (<-chan struct{}, error) {
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case h.released:
		return nil, nil
	case !p.quota.Fits(&h.holder, n):
		p.refused.Inc()
		return nil, ErrNoRoom
	case ask(&p.quota, &h.holder, n):
		return nil, nil
	}
	granted := make(chan struct{})
	p.granted[&h.holder] = granted
	p.waits.Inc()
	return granted, nil
}

// withdraw ends a wait, unless it has ended already.
func (h *Hold) withdraw(granted <-chan struct{}) error {
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-granted:
		return nil
	default:
	}
	delete(p.granted, &h.holder)
	p.wake(p.quota.Withdraw(&h.holder))
	p.refused.Inc()
	return ErrNoRoom
}

// Held returns the bytes of the hold.
func (h *Hold) Held() ident.Bytes {
	if h == nil {
		return 0
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	return h.holder.Held()
}

// Shrink gives back n bytes.
func (h *Hold) Shrink(n ident.Bytes) {
	if h == nil || n <= 0 {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	if !h.released {
		h.pool.wake(h.pool.quota.Shrink(&h.holder, n))
	}
}

// Release gives back everything.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	if !h.released {
		h.released = true
		h.pool.wake(h.pool.quota.Release(&h.holder))
	}
}

// wake ends the waits of the holders that have been served. The caller holds mu.
func (p *pool) wake(served []*quota.Holder) {
	for _, h := range served {
		if granted := p.granted[h]; granted != nil {
			delete(p.granted, h)
			close(granted)
		}
	}
}
