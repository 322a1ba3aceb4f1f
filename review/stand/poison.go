package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// applyTime is the bound config-apply-ms of the small deployments.
	applyTime = 2 * time.Second
	// watchTime is how long requests are sent after that.
	watchTime = 10 * time.Second
	// longTimeout and longGoal are the times of the added route in milliseconds, and
	// shortTimeout and shortGoal those without the disruption.
	longTimeout, longGoal   = 300_000, 150_000
	shortTimeout, shortGoal = 110_000, 100_000
)

// runPoison adds a route with a long response-time goal and checks which configuration is
// in force on each node.
func runPoison(f *fleet, trouble bool) (bool, error) {
	orders := route{
		Name: "r-orders", Prefix: "/orders/", Kind: "non_idempotent", TimeoutMS: 1000, TargetLatencyMS: 250, Priority: 1, Service: "orders", MaxAttempts: 2,
	}
	exports := route{
		Name: "r-exports", Prefix: "/exports/", Kind: "idempotent", TimeoutMS: shortTimeout, TargetLatencyMS: shortGoal, Priority: 2, Service: "orders", MaxAttempts: 2,
	}
	if trouble {
		exports.TimeoutMS, exports.TargetLatencyMS = longTimeout, longGoal
	}
	if err := f.preparePoison(orders); err != nil {
		return false, err
	}
	for i, n := range f.nodes {
		if a := f.send(n, request{id: fmt.Sprintf("before%d", i), method: "POST", path: "/orders/x", budget: time.Second}); a.status != http.StatusOK {
			return false, fmt.Errorf("%s answers %d before the change", n.name, a.status)
		}
	}
	if err := f.configure(9, newConfiguration([]string{"catalogue", "orders"}, orders, exports)); err != nil {
		return false, err
	}
	acked := time.Now()
	time.Sleep(applyTime + 100*time.Millisecond)
	stale := 0
	for k := 0; time.Since(acked) < applyTime+watchTime; k++ {
		for i, n := range f.nodes {
			a := f.send(n, request{id: fmt.Sprintf("export%d-%d", i, k), method: "GET", path: "/exports/x", budget: time.Second})
			if a.status == http.StatusNotFound {
				stale++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	f.logf("%d requests for the new route were answered 404 more than %v after the ack", stale, applyTime)
	f.restartOne()
	return stale > 0, nil
}

// preparePoison starts three machines with the first configuration.
func (f *fleet) preparePoison(orders route) error {
	for i, service := range []string{"catalogue", "orders", "orders"} {
		if _, err := f.addMachine(fmt.Sprintf("attica-%c", 'a'+i), service); err != nil {
			return err
		}
	}
	if err := f.configure(7, newConfiguration([]string{"catalogue", "orders"}, orders)); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	for i, n := range f.nodes {
		if _, err := f.startApp(n, fmt.Sprintf("i-%s-%d", n.service, i), 6); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

// restartOne restarts a node and records whether it gets ready, which the result does not
// depend on.
func (f *fleet) restartOne() {
	n := f.nodes[0]
	n.terminate()
	if err := n.start(); err != nil {
		f.logf("%s: %v", n.name, err)
		return
	}
	ready := waitUntil(readyTimeout, n.isReady)
	f.logf("%s is ready within %v of its restart: %v", n.name, readyTimeout, ready)
	n.signal(syscall.SIGKILL)
}
