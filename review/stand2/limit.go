package main

import (
	"net/http"
	"time"
)

const (
	// limitPerSecond is the limit that the server names, and limitWindow the window of the
	// rule, in which limitFactor times the limit and limitSlack requests are allowed.
	limitPerSecond = 1
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitSlack     = 5
	// limitSlots is the number of slots of the servers of kbh-mesh and dorea-mesh.
	limitSlots = 18
)

func init() {
	cases["limit"] = limit
}

// limit kills the node beside a server that names a limit of requests. The rule is broken if
// the server then gets more than it allows.
func limit(b *bed) (bool, error) {
	for _, service := range []string{"orders", "catalogue", "catalogue"} {
		if _, err := b.addNode(service); err != nil {
			return false, err
		}
	}
	if err := b.store.putConfiguration(1, []string{"orders", "catalogue"}, []route{{"/orders/", "orders", "idempotent", 2000}}); err != nil {
		return false, err
	}
	s, err := newServer(b.nodes[0], "i-orders-1", "orders", "attica-a", limitSlots, 300*time.Millisecond)
	if err != nil {
		return false, err
	}
	s.decorate = func(h http.Header) { h.Set("Server-Limit", "1") }
	if err := b.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // all nodes know the server
	for _, n := range b.nodes[1:] {
		defer startCallers(n, 12, http.MethodGet)()
	}
	time.Sleep(6 * time.Second) // the limit counts from stable-ms after it was named
	from := time.Now()
	if b.trouble {
		b.nodes[0].kill()
		time.Sleep(restartDelay)
		if err := b.nodes[0].start(); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	most := 0
	runs := s.runsAfter(from)
	for i, r := range runs {
		n := 0
		for _, later := range runs[i:] {
			if later.at.Sub(r.at) <= limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	allowed := limitFactor*limitPerSecond*limitWindow.Seconds() + limitSlack
	b.record.summaryf("the server got %d requests in 4 s; its limit allows %.0f", most, allowed)
	return float64(most) > allowed, nil
}
