package bench

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/once"
	"hickoryrail/core/result"
	"hickoryrail/core/route"
	"hickoryrail/io/logs"
)

const (
	// costMembers is the fleet's expected size.
	costMembers = 790
	// CostRuns is the number of operations for figures that are published.
	CostRuns = 400_000
	// costViews is the number of views that are set.
	costViews = 1000
	// fenceRate is the calls per second of one gate at the expected size.
	fenceRate = 370
)

// ringSink keeps the last decisions, as the node's own sink does.
type ringSink struct {
	decisions [1024]logs.Decision
	next      int
}

// Record keeps d.
func (r *ringSink) Record(d logs.Decision) {
	r.decisions[r.next%len(r.decisions)] = d
	r.next++
}

// PickCost measures one choice with its outcome, with 790 members of one service
// and with 790 members over 24 services, and with a decision recorded. Times are
// of this machine; compare the rows of one run.
func PickCost(runs int) *Table {
	t := NewTable(fmt.Sprintf("cost of a choice and its outcome, %d members, %d runs", costMembers, runs),
		"operation", "ns", "allocations")
	picker := &route.Picker{Self: "node-0", FailureDomain: domainName(0), Region: "one", Rand: rand.New(rand.NewPCG(routeSeed, 3))}
	v := modelView(costMembers, 7, 6, 0)
	picker.SetView(0, v)
	exclude := []ident.TargetID{targetName(1), targetName(2)}
	choose := func(i int, exclude []ident.TargetID) route.Choice {
		c, _ := picker.Pick(clock.Millis(i), serviceName, exclude)
		picker.Done(clock.Millis(i), c.Target.ID, route.Outcome{Delay: 3, Verdict: result.Ran, HasLoad: true})
		return c
	}
	t.cost("choose", runs, func(i int) { choose(i, nil) })
	t.cost("choose, two targets excluded", runs, func(i int) { choose(i, exclude) })
	var sink logs.Sink = &ringSink{}
	t.cost("choose and record", runs, func(i int) {
		c := choose(i, nil)
		sink.Record(logs.Decision{
			At: clock.Millis(i), Kind: logs.Route, Request: "request", Service: serviceName,
			Target: c.Target.ID, Node: c.Target.Node, Attempt: 1, Reason: c.Reason,
		})
	})
	t.cost(fmt.Sprintf("set a view of %d targets", costMembers), min(runs, costViews), func(i int) { picker.SetView(clock.Millis(runs+i), v) })
	return t
}

// FenceCost measures the time and the memory of the request records of one gate
// at 370 calls/s, in a quarter of the given number of runs.
func FenceCost(runs int) *Table {
	t := NewTable(fmt.Sprintf("request records at %d calls/s", fenceRate), "operation", "ns or MiB", "allocations")
	f := &once.Dedup{Gate: 1}
	ids := make([]ident.RequestID, runs/4)
	for i := range ids {
		ids[i] = ident.RequestID(fmt.Sprintf("node-%03d-%020d", i%790, i))
	}
	now := clock.Millis(0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	t.cost("arrive and finish", len(ids), func(i int) {
		now += clock.Second / fenceRate
		f.Begin(now, 1, ids[i])
		f.Finish(now, ids[i], result.Ran, make([]byte, 200))
	})
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(ids)
	t.Add(fmt.Sprintf("%d records, ids not counted, MiB", f.Records()), (float64(after.HeapAlloc)-float64(before.HeapAlloc))/(1<<20), "")
	return t
}

// cost runs an operation and adds its mean time and allocations.
func (t *Table) cost(name string, runs int, operation func(i int)) {
	var before, after runtime.MemStats
	operation(0)
	runtime.ReadMemStats(&before)
	started := time.Now()
	for i := 1; i < runs; i++ {
		operation(i)
	}
	elapsed := time.Since(started)
	runtime.ReadMemStats(&after)
	t.Add(name, float64(elapsed.Nanoseconds())/float64(runs), float64(after.Mallocs-before.Mallocs)/float64(runs))
}
