package main

import (
	"fmt"
	"time"
)

// unaskedPaths are the paths of the orders. They hold an encoded slash or an empty
// segment, both of which a path may have (RFC 3986, section 3.3).
var unaskedPaths = []string{"/orders/box%2F12", "/orders/12//lids", "/orders/caf%C3%A9%2F7?note=a%2Fb"}

// runUnasked sends orders whose request targets are in absolute form, as clients send them
// to a proxy, and compares them with what the server ran.
func runUnasked(f *fleet, trouble bool) (bool, error) {
	for i, service := range []string{"catalogue", "orders"} {
		if _, err := f.addMachine(fmt.Sprintf("attica-%c", 'a'+i), service); err != nil {
			return false, err
		}
	}
	c := newConfiguration([]string{"catalogue", "orders"}, route{
		Name: "r-orders", Prefix: "/orders/", Kind: "non_idempotent", TimeoutMS: 1000, TargetLatencyMS: 250, Priority: 1, Service: "orders", MaxAttempts: 2,
	})
	if err := f.configure(7, c); err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	server, err := f.startApp(f.nodes[1], "i-orders", 6)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	authority := ""
	if trouble {
		authority = "http://" + host
	}
	changed, ran := 0, 0
	for i, path := range unaskedPaths {
		for k, n := range f.nodes {
			r := request{id: fmt.Sprintf("order%d-%d", i, k), method: "POST", path: path, authority: authority, budget: time.Second, work: 10 * time.Millisecond}
			a := f.send(n, r)
			for _, run := range server.runsOf(r.id) {
				ran++
				same := run.line == "POST "+path || run.line == "POST "+authority+path
				f.logf("%s: sent POST %s to %s, the server ran %s, status %d, unchanged %v", r.id, authority+path, n.name, run.line, a.status, same)
				if !same {
					changed++
				}
			}
		}
	}
	if ran == 0 {
		return false, fmt.Errorf("no order was run")
	}
	f.logf("%d of %d orders ran with another path", changed, ran)
	return changed > 0, nil
}
