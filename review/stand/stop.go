package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// stopWork is how long the busy server works on a request.
	stopWork = 450 * time.Millisecond
	// stopBudget is the time budget of a request.
	stopBudget = 5 * time.Second
	// stopSlots is the number of slots of the busy server.
	stopSlots = 6
	// stopCallers is the number of requesters that keep the server busy.
	stopCallers = 62
	// stopLate is the number of requests that are sent in the lame-duck period of the
	// stopped node, and lateAfter is when, counted from the SIGTERM.
	stopLate  = 5
	lateAfter = 1900 * time.Millisecond
)

// runStop restarts a node in a planned way while requests that it has read wait for a
// busy server.
func runStop(f *fleet, trouble bool) (bool, error) {
	stopped, server, other, err := f.prepareStop()
	if err != nil {
		return false, err
	}
	load := f.keepBusy(other)
	defer load.stop()
	time.Sleep(8 * time.Second)
	var wg sync.WaitGroup
	term := time.Now()
	if trouble {
		wg.Go(stopped.terminate)
	}
	time.Sleep(lateAfter)
	answers := make([]answer, stopLate)
	for i := range answers {
		r := request{
			id: fmt.Sprintf("late%d", i), method: "POST", path: "/orders/late", budget: stopBudget, work: stopWork,
		}
		wg.Go(func() { answers[i] = f.send(stopped, r) })
	}
	wg.Wait()
	broken := false
	for _, a := range answers {
		lost := isLost(a, server.runsOf(a.id), term)
		f.logf("%s sent %.2f s after the SIGTERM: status %d, error %v, ended %.2f s after the SIGTERM, runs %d, lost %v",
			a.id, a.sent.Sub(term).Seconds(), a.status, a.err, a.ended.Sub(term).Seconds(), len(server.runsOf(a.id)), lost)
		broken = broken || lost
	}
	return broken, nil
}

// prepareStop starts three machines. The busy server's route has a timeout of the time
// budget.
func (f *fleet) prepareStop() (stopped *node, server *app, other *node, err error) {
	if stopped, err = f.addMachine("attica-a", "catalogue"); err != nil {
		return nil, nil, nil, err
	}
	busy, err := f.addMachine("attica-b", "orders")
	if err != nil {
		return nil, nil, nil, err
	}
	if other, err = f.addMachine("attica-c", "catalogue"); err != nil {
		return nil, nil, nil, err
	}
	c := newConfiguration([]string{"catalogue", "orders"}, route{
		Name: "r-orders", Prefix: "/orders/", Kind: "non_idempotent", TimeoutMS: int(stopBudget.Milliseconds()),
		TargetLatencyMS: int(stopBudget.Milliseconds()), Priority: 1, Service: "orders", MaxAttempts: 2,
	})
	if err = f.configure(7, c); err != nil {
		return nil, nil, nil, err
	}
	if err = f.startAll(); err != nil {
		return nil, nil, nil, err
	}
	if server, err = f.startApp(busy, "i-orders", stopSlots); err != nil {
		return nil, nil, nil, err
	}
	for i, n := range []*node{stopped, other} {
		if _, err = f.startApp(n, fmt.Sprintf("i-catalogue-%d", i), stopSlots); err != nil {
			return nil, nil, nil, err
		}
	}
	time.Sleep(3 * time.Second)
	return stopped, server, other, nil
}

// isLost reports whether the rule LOST counts a request that was sent after a SIGTERM:
// its connection ended without an answer more than loss-slack-ms after its last byte, its
// time was not over, and no server was at work on it in the last sixth of grace-s.
func isLost(a answer, runs []span, term time.Time) bool {
	if a.status != 0 || a.isTimeout() || a.ended.Sub(a.sent) <= 200*time.Millisecond || a.ended.Sub(a.sent) >= a.budget {
		return false
	}
	for _, r := range runs {
		if r.end.IsZero() || r.end.After(term.Add(graceTime*5/6)) {
			return false
		}
	}
	return true
}
