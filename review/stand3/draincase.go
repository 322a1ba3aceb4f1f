package main

import (
	"errors"
	"sync"
	"time"
)

const (
	// drainTime and stableTime are drain-ms and stable-ms of the bounds.
	drainTime  = 2 * time.Second
	stableTime = 3 * time.Second
	// restartTime is the time from a kill until the process is started again.
	restartTime = 700 * time.Millisecond
	// lateTime is the time after the acknowledgement at which an earlier report arrives.
	lateTime = 6 * time.Second
	// serveTime is how long the server goes on serving after the acknowledgement.
	serveTime = 9 * time.Second
)

// zones holds the zones of the small fleet.
var zones = []string{"attica-a", "attica-b", "attica-c"}

// errNotAcknowledged reports that a node did not acknowledge that its server leaves.
var errNotAcknowledged = errors.New("the leaving was not acknowledged")

// departureLost restarts the node of a server that has left, while the store comes back from
// a copy without what the node has written about that. Then a report from before the leaving
// arrives.
func departureLost(w *world) (bool, error) {
	w.store.put("op", "config", encodeConfiguration(1, 800*time.Millisecond, "orders", "catalogue"))
	for i, service := range []string{"orders", "orders", "catalogue"} {
		if err := w.addMachine(zones[i], service, 9, 100*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	m, s, caller := w.machines[0], w.servers[0], w.machines[2]
	older := w.store.copy()
	time.Sleep(700 * time.Millisecond)
	early := s.report()
	time.Sleep(300 * time.Millisecond)
	if !s.leave() {
		return false, errNotAcknowledged
	}
	left := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(left.Add(d))) }
	w.logf("%s leaves, and %s has acknowledged that", s.id, m.name)
	at(time.Second)
	if w.trouble {
		w.logf("the store goes away")
		w.store.leave()
	}
	at(1500 * time.Millisecond)
	w.logf("%s is killed", m.name)
	m.kill()
	at(2 * time.Second)
	if w.trouble {
		w.store.restore(older)
		w.store.put("op", "config", encodeConfiguration(1, 800*time.Millisecond, "orders", "catalogue"))
		w.logf("the store is back from a copy that is 3 s old, and the operators have written again")
	}
	at(1500*time.Millisecond + restartTime)
	started := time.Now()
	if err := m.start(w.collectors[0].input); err != nil {
		return false, err
	}
	w.logf("%s is started again", m.name)
	stop := make(chan struct{})
	var group sync.WaitGroup
	w.sendFrom(caller, 10, "/orders/2f", every(120*time.Millisecond), stop, &group)
	at(lateTime)
	acknowledged := s.send("PUT", early)
	w.logf("a report that %s sent before it left arrives; acknowledged: %t", s.id, acknowledged)
	at(serveTime)
	close(stop)
	group.Wait()
	late := 0
	for _, c := range w.calls.all() {
		for _, r := range w.runs.all()[c.id] {
			if r.server == s.id && r.began.After(left.Add(drainTime)) && r.began.After(started.Add(stableTime)) {
				late++
				w.logf("%s from %s reaches %s %.3f s after the acknowledgement", c.id, c.node, s.id, r.began.Sub(left).Seconds())
			}
		}
	}
	w.logf("%d requests reached %s later than drain-ms after the acknowledgement", late, s.id)
	return late > 0, nil
}
