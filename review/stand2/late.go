package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainTime is drain-ms, and stableTime stable-ms.
	drainTime, stableTime = 2 * time.Second, 3 * time.Second
	// reportDelay is how late the last report of the leaving server arrives.
	reportDelay = 2500 * time.Millisecond
	// restartDelay is the time after which the platform starts a killed process again.
	restartDelay = 300 * time.Millisecond
	// serveOn is how long a server serves on after it has said that it leaves.
	serveOn = 12 * time.Second
)

func init() {
	cases["late"] = late
}

// late kills the node beside a server that has said that it leaves. A report that the server
// sent before arrives after the restart. The rule is broken if requests reach the server.
func late(b *bed) (bool, error) {
	for _, service := range []string{"orders", "orders", "catalogue"} {
		if _, err := b.addNode(service); err != nil {
			return false, err
		}
	}
	if err := b.store.putConfiguration(1, []string{"orders", "catalogue"}, []route{{"/orders/", "orders", "non_idempotent", 1000}}); err != nil {
		return false, err
	}
	leaver, err := newServer(b.nodes[0], "i-orders-1", "orders", "attica-a", 6, 40*time.Millisecond)
	if err != nil {
		return false, err
	}
	if _, err := newServer(b.nodes[1], "i-orders-2", "orders", "attica-b", 6, 40*time.Millisecond); err != nil {
		return false, err
	}
	if err := b.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // all nodes know the servers
	stop := startCallers(b.nodes[2], 4, http.MethodPost)
	defer stop()
	time.Sleep(time.Second)
	delayed := leaver.report("ready")
	if !leaver.leave() {
		b.record.linef("the leaving was not acknowledged")
	}
	leftAt := time.Now()
	touchedAt := leftAt
	if b.trouble {
		time.Sleep(500 * time.Millisecond)
		b.nodes[0].kill()
		time.Sleep(restartDelay)
		if err := b.nodes[0].start(); err != nil {
			return false, err
		}
		touchedAt = time.Now()
	}
	time.Sleep(time.Until(leftAt.Add(reportDelay)))
	b.record.linef("the report from before arrives, acknowledged: %v", leaver.send(delayed))
	time.Sleep(time.Until(leftAt.Add(serveOn)))
	from := touchedAt.Add(stableTime)
	if bound := leftAt.Add(drainTime); bound.After(from) {
		from = bound
	}
	reached := leaver.runsAfter(from.Add(100 * time.Millisecond))
	for _, r := range reached {
		b.record.linef("%s reached the server %.3f s after its leaving was acknowledged", r.id, r.at.Sub(leftAt).Seconds())
	}
	b.record.summaryf("%d requests reached the server later than drain-ms after its leaving was acknowledged", len(reached))
	return len(reached) > 0, nil
}

// startCallers starts requesters of orders at a node. The returned function ends them.
func startCallers(n *node, count int, method string) func() {
	var group sync.WaitGroup
	var over atomic.Bool
	for i := range count {
		group.Add(1)
		go func() {
			defer group.Done()
			c := newCaller(n, n.name+string(rune('a'+i)))
			defer c.close()
			for !over.Load() {
				o := c.do(method, "/orders/1", "cartons=12", time.Second)
				if o.err != nil || o.status != http.StatusOK {
					time.Sleep(30 * time.Millisecond)
				}
			}
		}()
	}
	return func() {
		over.Store(true)
		group.Wait()
	}
}
