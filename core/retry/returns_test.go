package retry

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// burstSeeds is the number of replays of each load. A replay has some hundred requests, so
// that chance alone moves its shares by 0.01.
const burstSeeds = 40

type (
	// burstLoad is a burst at one target: requests of one kind arrive at rate times the
	// target's capacity, and at burst times that rate from burstFrom to burstTo.
	burstLoad struct {
		run, goal, timeout clock.Millis
		slots              int
		retries            int
		rate, burst        float64
		burstFrom, burstTo clock.Millis
		// lateWorth is the worth of a late answer as a share of that of a timely one.
		lateWorth float64
	}

	// arrival is one try of a request.
	arrival struct {
		at, first clock.Millis
		try       int
		// finished is set for the end of a run.
		finished bool
		id       ident.RequestID
		took     clock.Millis
	}

	// arrivals is a heap of arrivals in order of time.
	arrivals []arrival
)

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// replayBurst plays the load for 12 s against one gate. delay returns the time after which a
// refused try comes back, given the time that its caller has left. It returns the share of
// requests that were served and their worth as a share of the largest possible one.
func replayBurst(l burstLoad, seed uint64, admitted func(now clock.Millis), delay func(now, left clock.Millis) clock.Millis) (served, worth float64) {
	random := rand.New(rand.NewPCG(7, seed))
	g := &admit.Gate{Order: admit.ByGoal, Slots: ident.Slots(l.slots), Connections: 500, QueueLength: 64, RunMillis: l.run, OccupiedMillis: clock.Minute}
	var queue arrivals
	tries := make(map[ident.RequestID]arrival)
	var total, inTime, late int
	gap := l.run / clock.Millis(float64(l.slots)*l.rate)
	for at := clock.Millis(0); at < 12*clock.Second; total++ {
		heap.Push(&queue, arrival{at: at, first: at})
		step := gap * clock.Millis(random.ExpFloat64())
		if at >= l.burstFrom && at < l.burstTo {
			step /= clock.Millis(l.burst)
		}
		at += step
	}
	next := 0
	apply := func(now clock.Millis, actions []admit.Action) {
		for _, a := range actions {
			t := tries[a.ID]
			switch a.Kind {
			case admit.Start:
				admitted(now)
				t.took = l.run * clock.Millis(0.5+random.Float64())
				heap.Push(&queue, arrival{at: now + t.took, first: t.first, finished: true, id: a.ID, took: t.took})
			case admit.Refuse:
				d := delay(now, t.first+l.timeout-now)
				if t.try < l.retries {
					heap.Push(&queue, arrival{at: now + d, first: t.first, try: t.try + 1})
				}
			}
		}
	}
	for len(queue) > 0 {
		x := heap.Pop(&queue).(arrival)
		if x.finished {
			if x.at <= x.first+l.goal {
				inTime++
			} else {
				late++
			}
			apply(x.at, g.Finish(x.at, x.id, x.took))
			continue
		}
		next++
		id := ident.RequestID(fmt.Sprint(next))
		tries[id] = x
		apply(x.at, g.Arrive(x.at, admit.Call{ID: id, Rank: 3, Goal: x.first + l.goal, Deadline: x.first + l.timeout}))
	}
	return float64(inTime+late) / float64(total), (float64(inTime) + l.lateWorth*float64(late)) / float64(total)
}

// TestReturnsSpreadBursts guards against refused callers that come back into the burst which
// they were refused in: with one delay for all of them more requests end unserved. The loads
// are the bursts that callers of the users' two deployments with uneven demand send.
func TestReturnsSpreadBursts(t *testing.T) {
	for _, l := range []burstLoad{
		{320, 1000, 4000, 18, 1, 0.85, 1.7, 3000, 6000, 0.5},
		{230, 800, 3000, 18, 1, 0.8, 1.5, 3000, 8000, 0.5},
		{290, 800, 6000, 18, 2, 0.85, 1.7, 3000, 6000, 0.3},
		{120, 500, 3000, 18, 2, 0.8, 1.8, 3000, 6600, 0.12},
		{290, 800, 6000, 18, 2, 0.7, 2.4, 3000, 5000, 0.3},
	} {
		t.Run(fmt.Sprintf("%v ms, burst of %v", float64(l.run), l.burst), func(t *testing.T) {
			is := is.New(t)
			var constant, constantWorth, spread, spreadWorth float64
			for seed := range uint64(burstSeeds) {
				served, worth := replayBurst(l, seed, func(clock.Millis) {}, func(clock.Millis, clock.Millis) clock.Millis { return minReturnMillis })
				constant, constantWorth = constant+served/burstSeeds, constantWorth+worth/burstSeeds
				r := &Returns{Rand: rand.New(rand.NewPCG(1, seed))}
				served, worth = replayBurst(l, seed,
					func(now clock.Millis) { r.Admitted(now, "s") },
					func(now, left clock.Millis) clock.Millis { return r.Refused(now, "s", left) })
				spread, spreadWorth = spread+served/burstSeeds, spreadWorth+worth/burstSeeds
			}
			t.Logf("served %.3f after %.3f, worth %.3f after %.3f", spread, constant, spreadWorth, constantWorth)
			is.True(spreadWorth > constantWorth)           // callers are served better
			is.True(l.retries < 2 || spread > constant)    // those who may come back twice, also more often
			is.True(spread > constant-constant/burstSeeds) // and no others are lost beyond chance
		})
	}
}

// TestReturnsWithoutBurst guards against long delays after single refusals, which callers
// would wait for in vain while there is room.
func TestReturnsWithoutBurst(t *testing.T) {
	is := is.New(t)
	r := &Returns{Rand: rand.New(rand.NewPCG(1, 2))}
	for i := range 100 {
		r.Admitted(clock.Millis(i), "s")
	}
	is.Equal(r.Refused(100, "s", 3000), minReturnMillis)
	var refusals []clock.Millis
	for i := range 100 {
		refusals = append(refusals, r.Refused(clock.Millis(200+i), "s", 3000))
	}
	last := refusals[len(refusals)-1]
	is.True(last >= 3000*shortestReturnShare && last <= 3000*longestReturnShare) // in a burst
	is.Equal(r.Refused(100, "other", 3000) > minReturnMillis, true)              // nothing was admitted there
	for i := range 100 {
		r.Admitted(clock.Millis(10_000+i), "s")
	}
	is.Equal(r.Refused(10_100, "s", 3000), minReturnMillis) // the burst is over
	r.Keep(func(ident.ServiceName) bool { return false })
	is.Equal(len(r.services), 0)
}
