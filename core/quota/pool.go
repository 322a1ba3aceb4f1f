// Package quota decides which holder of a shared number of bytes may take more of it.
package quota

import (
	"cmp"
	"slices"

	"hickoryrail/core/ident"
)

type (
	// Pool divides a number of bytes among holders. Some take all their bytes at once, others
	// grow, because the size of what they read is not known before its end. The holder that
	// began first among those that wait is the senior one: it may exceed the capacity by up
	// to Reserve, so that growing holders which all have a part of what they need cannot
	// block each other. Pool is not safe for concurrent use.
	//
	// The load that it answers is many large bodies at once, of which each fits. Without a
	// bound, their sum ends the process and everything that it carries.
	//
	// Invariant: the bytes of all holders are at most Capacity + SmallReserve + Reserve.
	Pool struct {
		// Capacity is the number of bytes for all holders.
		Capacity ident.Bytes
		// SmallBytes is the size up to which a holder is small, and SmallReserve the number
		// of bytes beyond Capacity that only small holders may take. Small holders do not
		// wait behind large ones.
		SmallBytes   ident.Bytes
		SmallReserve ident.Bytes
		// Reserve is the number of bytes that the senior holder may have beyond the others;
		// no holder can have more. While no holder grows, all may use it.
		Reserve ident.Bytes

		// small and large are the bytes of small holders and of the others.
		small, large ident.Bytes
		// senior is the holder that may use Reserve; nil if none waits.
		senior *Holder
		// waiting holds the holders that wait, in the order in which they began.
		waiting []*Holder
		// begun counts the holders, and growing those that grow and hold bytes.
		begun   uint64
		growing int
	}

	// Holder has some of a pool's bytes.
	Holder struct {
		// number is the position in the order in which holders began; 0 for one that has
		// not taken bytes yet.
		number uint64
		held   ident.Bytes
		// grows is set while the holder counts as growing.
		grows bool
		// wanted is the number of further bytes that the holder waits for; 0 if it does
		// not wait.
		wanted ident.Bytes
	}
)

// Used returns the bytes of all holders.
func (p *Pool) Used() ident.Bytes {
	return p.small + p.large
}

// Waiting returns the number of holders that wait.
func (p *Pool) Waiting() int {
	return len(p.waiting)
}

// Held returns the holder's bytes.
func (h *Holder) Held() ident.Bytes {
	return h.held
}

// Fits reports whether a holder could ever have n more bytes.
func (p *Pool) Fits(h *Holder, n ident.Bytes) bool {
	return h.held+n <= p.Reserve
}

// Take gives a holder that does not wait n more bytes, which must fit, or makes it wait for
// them. It reports whether the holder has them. The holder must not wait again while it
// has them.
func (p *Pool) Take(h *Holder, n ident.Bytes) bool {
	return p.request(h, n)
}

// Grow is Take for a holder that may wait again with what it has.
func (p *Pool) Grow(h *Holder, n ident.Bytes) bool {
	if !h.grows {
		h.grows = true
		p.growing++
	}
	return p.request(h, n)
}

// request gives n more bytes to a holder, or makes it wait for them.
func (p *Pool) request(h *Holder, n ident.Bytes) bool {
	if h.number == 0 {
		p.begun++
		h.number = p.begun
	}
	if p.mayTake(h, n) && (len(p.waiting) == 0 || h == p.senior || p.isSmall(h, n)) {
		p.resize(h, h.held+n)
		return true
	}
	h.wanted = n
	at, _ := slices.BinarySearchFunc(p.waiting, h, func(a, b *Holder) int { return cmp.Compare(a.number, b.number) })
	p.waiting = slices.Insert(p.waiting, at, h)
	// The other waiting holders have been served as far as possible, so only h can be.
	return slices.Contains(p.serve(), h)
}

// Shrink takes n bytes from a holder. It returns the holders that have got what they
// waited for.
func (p *Pool) Shrink(h *Holder, n ident.Bytes) []*Holder {
	p.resize(h, h.held-min(n, h.held))
	return p.serve()
}

// Release takes all bytes from a holder, which no longer waits. It returns the holders that
// have got what they waited for.
func (p *Pool) Release(h *Holder) []*Holder {
	p.leave(h)
	if p.senior == h {
		p.senior = nil
	}
	if h.grows {
		h.grows = false
		p.growing--
	}
	return p.Shrink(h, h.held)
}

// Withdraw ends the wait of a holder, which keeps what it has. It returns the holders that
// have got what they waited for.
func (p *Pool) Withdraw(h *Holder) []*Holder {
	p.leave(h)
	if p.senior == h {
		p.senior = nil
	}
	return p.serve()
}

// serve gives waiting holders what they wait for, in the order in which they began.
func (p *Pool) serve() []*Holder {
	var served []*Holder
	if p.senior == nil && len(p.waiting) > 0 {
		p.senior = p.waiting[0]
	}
	blocked := false
	for _, h := range slices.Clone(p.waiting) {
		passes := h == p.senior || !blocked || p.isSmall(h, h.wanted)
		if !passes || !p.mayTake(h, h.wanted) {
			blocked = true
			continue
		}
		n := h.wanted
		p.leave(h)
		p.resize(h, h.held+n)
		served = append(served, h)
	}
	return served
}

// mayTake reports whether the bytes of all holders allow n more for one of them. Bytes of
// small holders beyond SmallReserve count as those of the others.
func (p *Pool) mayTake(h *Holder, n ident.Bytes) bool {
	small, large := p.small, p.large
	if p.isSmall(h, 0) {
		small -= h.held
	} else {
		large -= h.held
	}
	if p.isSmall(h, n) {
		small += h.held + n
	} else {
		large += h.held + n
	}
	limit := p.Capacity
	if h == p.senior || p.growing == 0 {
		limit += p.Reserve
	}
	return p.isSmall(h, n) && small <= p.SmallReserve || large+max(small-p.SmallReserve, 0) <= limit
}

// isSmall reports whether a holder is small with n more bytes.
func (p *Pool) isSmall(h *Holder, n ident.Bytes) bool {
	return h.held+n <= p.SmallBytes
}

// resize sets the bytes of a holder.
func (p *Pool) resize(h *Holder, size ident.Bytes) {
	for _, change := range []ident.Bytes{-h.held, size} {
		if max(change, -change) <= p.SmallBytes {
			p.small += change
		} else {
			p.large += change
		}
	}
	h.held = size
}

// leave removes a holder from the waiting ones.
func (p *Pool) leave(h *Holder) {
	h.wanted = 0
	if i := slices.Index(p.waiting, h); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
}
