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
	// CostRuns is the number of operations for published figures.
	CostRuns = 400_000
	// costViews bounds the number of views that are set.
	costViews = 1000
	// dedupRate is the calls per second at one gate in a fleet of the expected size.
	dedupRate = 370
)

// ringSink keeps the last 1024 decisions, as the node's own sink does.
type ringSink struct {
	decisions [1024]logs.Decision
	next      int
}

// Record stores d in place of the oldest decision.
func (r *ringSink) Record(d logs.Decision) {
	r.decisions[r.next%len(r.decisions)] = d
	r.next++
}

// PickCost measures one choice of a target with its outcome, with 790 members of one
// service: without and with excluded targets, and with a recorded decision. It also
// measures Picker.SetView. Times depend on the machine; compare only the rows
// of one run.
func PickCost(runs int) *Table {
	t := NewTable(fmt.Sprintf("cost of a choice and its outcome, %d members, %d runs", costMembers, runs),
		"operation", "ns", "allocations")
	picker := &route.Picker{Self: "node-0", FailureDomain: domainName(0), Region: "one", Rand: rand.New(rand.NewPCG(routeSeed, 3))}
	v := simView(costMembers, 7, 6, 0)
	picker.SetView(0, v)
	exclude := []ident.TargetID{targetName(1), targetName(2)}
	choose := func(i int, exclude []ident.TargetID) route.Choice {
		c, _ := picker.Pick(clock.Millis(i), serviceName, exclude)
		picker.Done(clock.Millis(i), c.Target.ID, route.Outcome{Delay: 3, Verdict: result.Ran, HasLoad: true})
		return c
	}
	t.addCost("choose", runs, func(i int) { choose(i, nil) })
	t.addCost("choose, two targets excluded", runs, func(i int) { choose(i, exclude) })
	paced := &route.Picker{
		Self: "node-0", FailureDomain: domainName(0), Region: "one", Rand: rand.New(rand.NewPCG(routeSeed, 3)),
		Limits: route.Limits{Balance: route.BalanceOn},
	}
	paced.SetView(0, v)
	t.addCost("choose by expected time", runs, func(i int) {
		now := clock.Millis(i)
		c, _ := paced.Pick(now, serviceName, nil)
		paced.Done(now, c.Target.ID, route.Outcome{Delay: 3, Verdict: result.Ran, HasLoad: true, Stated: route.StatedLoad{Slots: 6, Pace: 1}})
	})
	var sink logs.Sink = &ringSink{}
	t.addCost("choose and record", runs, func(i int) {
		c := choose(i, nil)
		sink.Record(logs.Decision{
			At: clock.Millis(i), Kind: logs.Route, Request: "request", Service: serviceName,
			Target: c.Target.ID, Node: c.Target.Node, Attempt: 1, Reason: c.Reason,
		})
	})
	t.addCost(fmt.Sprintf("set a view of %d targets", costMembers), min(runs, costViews), func(i int) { picker.SetView(clock.Millis(runs+i), v) })
	return t
}

// DedupCost measures the time and the memory of the deduplication records of one gate
// at 370 calls/s, in a quarter of the given number of runs.
func DedupCost(runs int) *Table {
	t := NewTable(fmt.Sprintf("request records at %d calls/s", dedupRate), "operation", "ns or MiB", "allocations")
	d := &once.Dedup{Gate: 1}
	ids := make([]ident.RequestID, runs/4)
	for i := range ids {
		ids[i] = ident.RequestID(fmt.Sprintf("node-%03d-%020d", i%790, i))
	}
	now := clock.Millis(0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	t.addCost("arrive and finish", len(ids), func(i int) {
		now += clock.Second / dedupRate
		d.Begin(now, 1, ids[i])
		d.Finish(now, ids[i], result.Ran, make([]byte, 200))
	})
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(ids)
	t.Add(fmt.Sprintf("%d records, ids not counted, MiB", d.Records()), (float64(after.HeapAlloc)-float64(before.HeapAlloc))/(1<<20), "")
	return t
}

// addCost runs an operation and adds a row with its mean time and allocations.
func (t *Table) addCost(name string, runs int, operation func(i int)) {
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
