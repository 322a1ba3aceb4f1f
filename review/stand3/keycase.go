package main

import (
	"sync"
	"time"
)

const (
	// revokeTime is revoke-ms of the bounds.
	revokeTime = 5 * time.Second
	// awayTime is the time for which the store is away in the drill, and rewriteTime the time
	// after its return at which the operators write their configuration again.
	awayTime    = time.Second
	rewriteTime = time.Second
	// revoked and kept are the two access keys of the tenant.
	revoked, kept = "key-one", "key-two"
)

// revokedKey takes an access key away. When all nodes refuse it, the store comes back from a
// copy that still has it, and one node is restarted.
func revokedKey(w *world) (bool, error) {
	w.bounds, w.key = capBounds, revoked
	w.putKeys(4, revoked, kept)
	for _, zone := range []string{"gauteng-a", "gauteng-b", "gauteng-c"} {
		if err := w.addMachine(zone, "bookings", 18, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	older := w.store.copy()
	time.Sleep(time.Second)
	w.logf("the operators write configuration 5, without %s", revoked)
	w.putKeys(5, kept)
	taken := time.Now()
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, m := range w.machines {
		w.sendFrom(m, 4, "/bookings/2f", every(50*time.Millisecond), stop, &group)
	}
	time.Sleep(revokeTime + time.Second)
	if w.trouble {
		w.logf("the store goes away")
		w.store.leave()
		time.Sleep(awayTime)
		w.store.restore(older)
		w.logf("the store is back from a copy that is %.1f s old", time.Since(taken).Seconds()+1)
	}
	back := time.Now()
	again := w.machines[2]
	w.logf("%s is killed", again.name)
	again.kill()
	time.Sleep(400 * time.Millisecond)
	if err := again.start(w.collectors[2].input); err != nil {
		return false, err
	}
	w.logf("%s is started again", again.name)
	time.Sleep(rewriteTime - time.Since(back))
	if w.trouble {
		w.logf("the operators write configuration 5 again")
		w.putKeys(5, kept)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	group.Wait()
	return w.ranLate(taken.Add(revokeTime)), nil
}

// putKeys writes a configuration whose only tenant has some access keys and no usage cap.
func (w *world) putKeys(version int, keys ...string) {
	tenants := []map[string]any{{"name": "clinic", "api-keys": keys, "rate-per-s": 0, "burst": 0}}
	w.store.put("op", "config", encodeTenants(version, tenants, "bookings"))
}

// ranLate reports whether requests ran that were sent after an instant.
func (w *world) ranLate(at time.Time) bool {
	ran := w.runs.all()
	late := make(map[string]int)
	for _, c := range w.calls.all() {
		if c.sent.After(at) && len(ran[c.id]) > 0 {
			late[c.node]++
		}
	}
	for node, n := range late {
		w.logf("%d requests with %s, sent to %s later than %.0f s after it was taken away, ran", n, revoked, node, revokeTime.Seconds())
	}
	return len(late) > 0
}
