package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// hostRequests is the number of requests of each kind in the case "hosts".
	hostRequests = 20
	// applyTime is config-apply-ms.
	applyTime = 2 * time.Second
)

func init() {
	cases["hosts"] = hosts
}

// hosts plays a configuration with two hosts. In trouble, they have one name and two ports.
// The rule is broken if a request for one host is run by the service of the other. A change
// that gives both hosts the same prefix follows; how it is handled goes into the record.
func hosts(b *bed) (bool, error) {
	shop, desk := "shop.example", "desk.example"
	if b.trouble {
		shop, desk = "shop.example:8080", "shop.example:9090"
	}
	for _, service := range []string{"orders", "billing", "catalogue"} {
		if _, err := b.addNode(service); err != nil {
			return false, err
		}
	}
	front := b.nodes[2]
	services := []string{"orders", "billing", "catalogue"}
	orders := route{"/orders/", "orders", "non_idempotent", 1000}
	first := []virtualHost{{shop, []route{orders}}, {desk, []route{{"/orders/bills/", "billing", "non_idempotent", 1000}}}}
	if err := b.store.putHosts(1, services, first); err != nil {
		return false, err
	}
	var servers [2]*server
	for i := range servers {
		s, err := newServer(b.nodes[i], "i-"+services[i]+"-1", services[i], "attica-a", 6, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		servers[i] = s
	}
	if err := b.startAll(); err != nil {
		return false, err
	}
	time.Sleep(applyTime + time.Second)
	wrong := 0
	for i := range hostRequests {
		id := fmt.Sprintf("shop-%05d", i)
		sendTo(b, front, shop, "/orders/bills/1", id)
		if servers[1].hasRun(id) {
			wrong++
		}
	}
	b.record.summaryf("%d requests for %s, which has one route, to orders: billing ran %d of them", hostRequests, shop, wrong)
	second := []virtualHost{{shop, []route{orders}}, {desk, []route{{"/orders/", "billing", "non_idempotent", 1000}}}}
	if err := b.store.putHosts(2, services, second); err != nil {
		return false, err
	}
	time.Sleep(applyTime + 100*time.Millisecond)
	older := 0
	for i := range hostRequests {
		id := fmt.Sprintf("desk-%05d", i)
		sendTo(b, front, desk, "/orders/1", id)
		if !servers[1].hasRun(id) {
			older++
		}
	}
	b.record.summaryf("%d requests on a new route of %s: %d were handled as the older version has it", hostRequests, desk, older)
	return wrong > 0, nil
}

// virtualHost is a host of a configuration with its routes.
type virtualHost struct {
	host   string
	routes []route
}

// sendTo sends a request for a host and records its answer.
func sendTo(b *bed, n *node, host, path, id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.outbound+path, http.NoBody)
	if err != nil {
		b.record.linef("%s: %v", id, err)
		return
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Timeout-Remaining-Ms", "1000")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		b.record.linef("%s: POST %s for %s: %v", id, path, host, err)
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // only the server's name counts
	b.record.linef("%s: POST %s for %s: status %d %s", id, path, host, resp.StatusCode, resp.Header.Get("Server-Signature"))
}
