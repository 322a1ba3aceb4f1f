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
	// station is a target with a queue in order of arrival.
	station struct {
		running int
		waiting []clock.Millis
	}

	// ends is a heap of the ends of runs.
	ends []end

	// end is the end of a run at a station.
	end struct {
		at      clock.Millis
		station int
	}
)

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// waits plays calls of many nodes to 40 targets with 6 slots at a part of their
// capacity, and returns the mean wait and the looks for each call. Nodes choose at
// random, because each makes too few calls to know the load of a target.
func waits(part float64, looking bool) (mean clock.Millis, looks float64) {
	const targets, slots, calls = 40, 6, 40_000
	const run clock.Millis = 120
	random := rand.New(rand.NewPCG(3, 4))
	stations := make([]station, targets)
	var running ends
	begin := func(now clock.Millis, i int) {
		stations[i].running++
		heap.Push(&running, end{at: now + run*clock.Millis(0.5+random.Float64()), station: i})
	}
	var s Search
	var now, waited clock.Millis
	looked := 0
	for range calls {
		now += run * clock.Millis(random.ExpFloat64()/(part*targets*slots))
		for len(running) > 0 && running[0].at <= now {
			e := heap.Pop(&running).(end)
			st := &stations[e.station]
			st.running--
			if len(st.waiting) > 0 {
				waited += e.at - st.waiting[0]
				st.waiting = st.waiting[1:]
				begin(e.at, e.station)
			}
		}
		for tries := 0; ; tries++ {
			i := random.IntN(targets)
			free := stations[i].running < slots
			looks := looking && s.Looks("s", tries, targets-tries)
			if looks {
				looked++
				s.Looked("s", free)
			}
			if free {
				begin(now, i)
				break
			}
			if !looks {
				stations[i].waiting = append(stations[i].waiting, now)
				break
			}
		}
	}
	return waited / calls, float64(looked) / calls
}

// TestSearchFindsFreeSlots replays the load of a large fleet near its capacity, and
// guards against calls that wait at one target while others have free slots.
func TestSearchFindsFreeSlots(t *testing.T) {
	is := is.New(t)
	plain, _ := waits(0.85, false)
	found, looks := waits(0.85, true)
	t.Logf("mean wait %v, with looks %v (%.2f looks a call)", plain, found, looks)
	is.True(found < plain/3)
	is.True(looks < 2)
}

// TestSearchEndsWithoutFreeSlots guards against looks that go on although nearly every
// target is busy, and against a search that is never taken up again.
func TestSearchEndsWithoutFreeSlots(t *testing.T) {
	is := is.New(t)
	const service ident.ServiceName = "s"
	var s Search
	is.True(!s.Looks(service, 0, 0)) // no other target
	is.True(!s.Looks(service, maxLooks, 9))
	for range 100 {
		s.Looked(service, false)
	}
	looks := 0
	for range 10 * lookAnyway {
		if s.Looks(service, 0, 9) {
			looks++
		}
	}
	is.Equal(looks, 10)
	for range 100 {
		s.Looked(service, true)
	}
	is.True(s.Looks(service, 0, 9))
	s.Keep(func(ident.ServiceName) bool { return false })
	is.Equal(len(s.services), 0)
}
