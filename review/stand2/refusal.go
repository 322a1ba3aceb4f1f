package main

import (
	"net/http"
	"time"
)

const (
	// refusalRequests is the number of requests of the case "refusal", and refusalEvery the
	// interval between two that the server fails.
	refusalRequests = 40
	refusalEvery    = 5
)

func init() {
	cases["refusal"] = refusal
}

// refusal plays a server that runs each request and fails some of them with 503, without
// Not-Executed. The rule is broken if a requester gets a status that promises that its
// request has not run.
func refusal(b *bed) (bool, error) {
	orders, err := b.addNode("orders")
	if err != nil {
		return false, err
	}
	front, err := b.addNode("catalogue")
	if err != nil {
		return false, err
	}
	if err := b.store.putConfiguration(1, []string{"orders", "catalogue"}, []route{{"/orders/", "orders", "non_idempotent", 1000}}); err != nil {
		return false, err
	}
	s, err := newServer(orders, "i-orders-1", "orders", "attica-a", 6, 40*time.Millisecond)
	if err != nil {
		return false, err
	}
	answered := 0
	s.answer = func(w http.ResponseWriter, _ *http.Request) {
		answered++
		if b.trouble && answered%refusalEvery == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	if err := b.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // both nodes know the server
	c := newCaller(front, "order")
	ran, false503 := 0, 0
	for range refusalRequests {
		o := c.do(http.MethodPost, "/orders/1", "cartons=12", time.Second)
		if !s.hasRun(o.id) {
			continue
		}
		ran++
		if promises(o.status) {
			false503++
			b.record.linef("%s: the answer %d says that it has not run, and it has", o.id, o.status)
		}
	}
	b.record.summaryf("%d requests ran; %d of them were answered with a status that says that they have not", ran, false503)
	return false503 > 0, nil
}

// promises reports whether a status promises that its request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
