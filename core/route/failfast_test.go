package route

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

type (
	// queueingTarget is a target with a queue in order of arrival.
	queueingTarget struct {
		running int
		waiting []clock.Millis
	}

	// completionHeap holds the completions of the running calls, the earliest first.
	completionHeap []completion

	// completion is the end of a call's run at a target.
	completion struct {
		at     clock.Millis
		target int
	}
)

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simulateWaits simulates calls of many nodes to 40 targets with 6 slots at the given
// utilization, and returns the mean wait and the number of fail-fast attempts per call.
// The choice of targets is random, because a node makes too few calls to know the load
// of a target.
func simulateWaits(utilization float64, failFast bool) (mean clock.Millis, failFastPerCall float64) {
	const targets, slots, calls = 40, 6, 40_000
	const run clock.Millis = 120
	random := rand.New(rand.NewPCG(3, 4))
	simTargets := make([]queueingTarget, targets)
	var running completionHeap
	begin := func(now clock.Millis, i int) {
		simTargets[i].running++
		heap.Push(&running, completion{at: now + run*clock.Millis(0.5+random.Float64()), target: i})
	}
	var p FailFastPolicy
	var now, waited clock.Millis
	attempts := 0
	for range calls {
		now += run * clock.Millis(random.ExpFloat64()/(utilization*targets*slots))
		for len(running) > 0 && running[0].at <= now {
			done := heap.Pop(&running).(completion)
			target := &simTargets[done.target]
			target.running--
			if len(target.waiting) > 0 {
				waited += done.at - target.waiting[0]
				target.waiting = target.waiting[1:]
				begin(done.at, done.target)
			}
		}
		for tries := 0; ; tries++ {
			i := random.IntN(targets)
			free := simTargets[i].running < slots
			failsFast := failFast && p.ShouldFailFast("s", tries, targets-tries)
			if failsFast {
				attempts++
				p.Record("s", free)
			}
			if free {
				begin(now, i)
				break
			}
			if !failsFast {
				simTargets[i].waiting = append(simTargets[i].waiting, now)
				break
			}
		}
	}
	return waited / calls, float64(attempts) / calls
}

// TestFailFastFindsFreeSlots guards against calls that queue at one target while others
// have free slots, at the load of a large fleet near its capacity.
func TestFailFastFindsFreeSlots(t *testing.T) {
	is := is.New(t)
	queued, _ := simulateWaits(0.85, false)
	failingFast, attempts := simulateWaits(0.85, true)
	t.Logf("mean wait %v, with fail-fast attempts %v (%.2f such attempts per call)", queued, failingFast, attempts)
	is.True(failingFast < queued/3)
	is.True(attempts < 2)
}

// TestFailFastStopsWithoutFreeSlots guards against attempts that keep failing fast
// although nearly every target is busy, and against failing fast that never resumes
// once slots are free again.
func TestFailFastStopsWithoutFreeSlots(t *testing.T) {
	is := is.New(t)
	const service ident.ServiceName = "s"
	var p FailFastPolicy
	is.True(!p.ShouldFailFast(service, 0, 0)) // no other target
	is.True(!p.ShouldFailFast(service, maxFailFast, 9))
	for range 100 {
		p.Record(service, false)
	}
	failFast := 0
	for range 10 * probeInterval {
		if p.ShouldFailFast(service, 0, 9) {
			failFast++
		}
	}
	is.Equal(failFast, 10)
	for range 100 {
		p.Record(service, true)
	}
	is.True(p.ShouldFailFast(service, 0, 9))
	p.Keep(func(ident.ServiceName) bool { return false })
	is.Equal(len(p.services), 0)
}
