package quota

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/ident"
)

// TestPoolIsBounded guards against a sum of bytes above the bound, bytes that are lost or
// counted twice, holders that block each other for good, and a wait that nothing ends. Many
// holders take bodies of random size step by step, and some give up.
func TestPoolIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Pool{Capacity: 100, SmallBytes: 4, SmallReserve: 12, Reserve: 60}
		var holders []*Holder
		remaining := make(map[*Holder]ident.Bytes)
		whole := make(map[*Holder]bool)
		waits := func(h *Holder) bool { return h.wanted > 0 }
		finish := func(h *Holder) {
			for _, served := range p.Release(h) {
				if served == h {
					t.Fatal("released holder was served")
				}
			}
			delete(remaining, h)
		}
		check := func() {
			sum := ident.Bytes(0)
			for _, h := range holders {
				sum += h.held
			}
			if sum != p.Used() {
				t.Fatalf("holders have %d, the pool counts %d", sum, p.Used())
			}
			if sum > p.Capacity+p.SmallReserve+p.Reserve {
				t.Fatalf("%d bytes are held", sum)
			}
		}
		step := func(h *Holder) {
			if remaining[h] == 0 {
				finish(h)
				return
			}
			if whole[h] {
				p.Take(h, remaining[h])
				remaining[h] = 0
				return
			}
			n := min(ident.Bytes(rapid.IntRange(1, 20).Draw(t, "step")), remaining[h])
			p.Grow(h, n)
			remaining[h] -= n
		}
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1:
				h := &Holder{}
				holders = append(holders, h)
				remaining[h] = ident.Bytes(rapid.IntRange(1, 60).Draw(t, "body"))
				whole[h] = rapid.Bool().Draw(t, "whole")
			case 2:
				if len(holders) > 0 {
					finish(rapid.SampledFrom(holders).Draw(t, "gives up"))
				}
			default:
				if len(holders) > 0 {
					h := rapid.SampledFrom(holders).Draw(t, "holder")
					if _, open := remaining[h]; open && !waits(h) {
						step(h)
					}
				}
			}
			check()
		}
		for len(remaining) > 0 {
			progress := false
			for _, h := range holders {
				if _, open := remaining[h]; open && !waits(h) {
					step(h)
					check()
					progress = true
				}
			}
			if !progress {
				t.Fatalf("%d holders wait for each other", len(remaining))
			}
		}
		if p.Used() != 0 || p.Waiting() != 0 {
			t.Fatalf("%d bytes and %d waiting holders remain", p.Used(), p.Waiting())
		}
	})
}

// TestSmallHoldersPass guards against small bodies that wait behind large ones, and against
// small ones that take more than their reserve.
func TestSmallHoldersPass(t *testing.T) {
	is := is.New(t)
	p := &Pool{Capacity: 100, SmallBytes: 4, SmallReserve: 12, Reserve: 60}
	var first, second, third, senior Holder
	is.True(p.Grow(&first, 50))
	is.True(p.Grow(&second, 50))
	is.True(p.Grow(&senior, 50)) // the first to wait uses the reserve
	is.True(!p.Grow(&third, 50))
	is.Equal(p.Used(), ident.Bytes(150))
	is.Equal(p.Release(&senior), []*Holder{&third}) // and the next one after it
	p.Release(&second)
	p.Release(&third)
	is.True(p.Grow(&second, 50))
	var small [4]Holder
	for i := range small[:3] {
		is.True(p.Grow(&small[i], 4))
	}
	is.True(p.Grow(&small[3], 4)) // as the senior one
	var another Holder
	is.True(!p.Grow(&another, 4))
}

// TestReserveIsUsed guards against memory that is kept free for growing bodies while there
// are none, and against growing bodies that find it used when there are.
func TestReserveIsUsed(t *testing.T) {
	is := is.New(t)
	p := &Pool{Capacity: 100, SmallBytes: 4, SmallReserve: 12, Reserve: 60}
	var a, b, c, growing, later Holder
	is.True(p.Take(&a, 60))
	is.True(p.Take(&b, 60))
	is.True(p.Take(&c, 40))
	is.True(!p.Grow(&growing, 20))
	is.True(!p.Take(&later, 20))
	is.Equal(p.Release(&c), []*Holder{&growing}) // as the senior one
	is.Equal(p.Release(&a), []*Holder{&later})
}

// TestOrderOfService guards against a large body that waits for good while later ones pass.
func TestOrderOfService(t *testing.T) {
	is := is.New(t)
	p := &Pool{Capacity: 100, SmallBytes: 4, SmallReserve: 12, Reserve: 60}
	var a, b, senior, large, later Holder
	is.True(p.Grow(&a, 60))
	is.True(p.Grow(&b, 40))
	is.True(p.Grow(&senior, 10))
	is.True(!p.Grow(&large, 60))
	is.True(!p.Grow(&later, 10))
	is.Equal(p.Release(&b), nil) // 70 are held: the large one comes first
	is.Equal(p.Release(&a), []*Holder{&large, &later})
	is.True(!p.Fits(&later, 51))
}
