package mem

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
)

const (
	// testMemory and testLargest are the sizes of the budget under test.
	testMemory  ident.Bytes = 256 << 20
	testLargest ident.Bytes = 16 << 20
)

// shortContext returns a context that ends soon.
func shortContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// TestBudgetFitsTheProcess guards against pools whose bodies exceed the memory of the
// process together with everything else, for the memory of small and large servers.
func TestBudgetFitsTheProcess(t *testing.T) {
	is := is.New(t)
	for _, memory := range []ident.Bytes{184e6, 256 << 20, 284e6, 1 << 30} {
		b := NewBudget(memory, testLargest)
		sum := otherBytes
		for _, p := range []*pool{b.requests, b.answers} {
			sum += p.quota.Capacity + p.quota.SmallReserve + p.quota.Reserve
			is.True(p.quota.Reserve >= growthCopies*testLargest) // the largest body fits
		}
		is.True(sum <= memory)
	}
}

// TestHoldWaits guards against a body that is read before there is memory for it, a wait
// without an end, and memory that stays taken after its request.
func TestHoldWaits(t *testing.T) {
	is := is.New(t)
	b := NewBudget(testMemory, testLargest)
	var leases []*Lease
	for {
		l := b.Lease()
		if l.Request.Take(shortContext(t), Copies*testLargest) != nil {
			break
		}
		leases = append(leases, l)
	}
	is.True(len(leases) > 0)
	is.NoErr(b.Lease().Answer.Take(shortContext(t), Copies*testLargest)) // answers have a part of their own
	is.NoErr(b.Lease().Request.Take(shortContext(t), smallBytes))        // and small bodies
	waiting := b.Lease()
	served := make(chan error, 1)
	go func() { served <- waiting.Request.Take(t.Context(), Copies*testLargest) }()
	time.Sleep(20 * time.Millisecond)
	is.Equal(len(served), 0)
	for _, l := range leases {
		l.Release()
	}
	is.NoErr(<-served)
	is.True(errors.Is(b.Lease().Request.Take(t.Context(), 100*testLargest), ErrNoRoom)) // never fits
	waiting.Release()
	waiting.Release()
	is.Equal(b.requests.quota.Used(), smallBytes)
	is.NoErr((*Hold)(nil).Take(t.Context(), testMemory))
	(*Budget)(nil).Lease().Release()
}

// TestAttemptsOverlap guards against the answer of one attempt that releases the memory of
// another one, and against memory that is left after the request.
func TestAttemptsOverlap(t *testing.T) {
	is := is.New(t)
	b := NewBudget(testMemory, testLargest)
	l := b.Lease()
	first, second := l.Attempt(), l.Attempt()
	is.NoErr(first.Answer.Take(t.Context(), 1000))
	is.NoErr(second.Answer.Take(t.Context(), 500))
	first.Answer.Release()
	is.Equal(b.answers.quota.Used(), ident.Bytes(500))
	second.Answer.Shrink(200)
	is.Equal(second.Answer.Held(), ident.Bytes(300))
	l.Release()
	is.Equal(b.answers.quota.Used(), ident.Bytes(0))
	is.Equal(From(With(t.Context(), l)), l)
	is.NoErr(From(t.Context()).Answer.Take(t.Context(), testMemory))
}

// TestReaderWaits guards against a reader that goes on without memory, or that counts what
// it reads outside of a body.
func TestReaderWaits(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	go func() {
		_, _ = far.Write(bytes.Repeat([]byte("x"), int(8*testLargest))) // ends with the connection
	}()
	b := NewBudget(testMemory, testLargest)
	hold := b.Lease().Request
	r := &Reader{Conn: near}
	buffer := make([]byte, 1<<20)
	_, err := io.ReadFull(r, buffer)
	is.NoErr(err)
	is.Equal(hold.Held(), ident.Bytes(0))
	r.Start(shortContext(t), hold)
	_, err = io.ReadFull(r, buffer)
	is.NoErr(err)
	is.Equal(hold.Held(), ident.Bytes(growthCopies<<20))
	for err == nil {
		_, err = io.ReadFull(r, buffer)
	}
	is.True(errors.Is(err, ErrNoRoom))
	is.True(hold.Held() <= growthCopies*(testLargest+testLargest/8))
	is.True(errors.Is(r.Stop(), ErrNoRoom))
	_, err = io.ReadFull(r, buffer)
	is.NoErr(err) // it is not metered any more
}
