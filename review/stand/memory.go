package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is the setting memory-mb of the small deployments.
	memoryLimit = 284
	// uploadBytes is the size of a request's body, of the 64 MB that max-body-bytes allows.
	uploadBytes = 6 << 20
	// usualUploads is the number of requesters on a machine that send a body, and
	// burstUploads the number in a burst of 1.83 times the traffic.
	usualUploads, burstUploads = 6, 11
	// uploadWork is how long the server works on a request with a body.
	uploadWork = 200 * time.Millisecond
	// rounds is the number of times that they send.
	rounds = 3
)

// residentMB returns the resident memory of the node's process.
func (n *node) residentMB() float64 {
	n.mu.Lock()
	pid := n.command.Process.Pid
	n.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// guard kills the node's process whenever it exceeds the limit on memory, and starts it
// again, as the platform does. It counts the kills until done is closed.
func (n *node) guard(done <-chan struct{}) (kills int, peak float64) {
	for {
		select {
		case <-done:
			return kills, peak
		case <-time.After(5 * time.Millisecond):
		}
		used := n.residentMB()
		peak = max(peak, used)
		if used <= memoryLimit {
			continue
		}
		n.logf("%s: uses %.0f MB, the limit is %d MB", n.name, used, memoryLimit)
		kills++
		n.signal(syscall.SIGKILL)
		<-n.exited
		time.Sleep(500 * time.Millisecond)
		if n.start() != nil {
			return kills, peak
		}
	}
}

// runMemory sends requests with bodies through two machines, with the limit on memory of
// the small deployments.
func runMemory(f *fleet, trouble bool) (bool, error) {
	if err := f.prepareMemory(); err != nil {
		return false, err
	}
	uploads := usualUploads
	if trouble {
		uploads = burstUploads
	}
	done := make(chan struct{})
	var guards sync.WaitGroup
	kills := make([]int, len(f.nodes))
	for i, n := range f.nodes {
		guards.Go(func() {
			var peak float64
			kills[i], peak = n.guard(done)
			f.logf("%s: %d kills for its memory, %.0f MB at most", n.name, kills[i], peak)
		})
	}
	lost := 0
	for round := range rounds {
		lost += f.upload(round, uploads)
		for _, n := range f.nodes {
			waitUntil(readyTimeout, n.isReady)
		}
		time.Sleep(3 * time.Second)
	}
	close(done)
	guards.Wait()
	f.logf("%d requests from kept connections ran and their connections were closed without an answer", lost)
	return lost > 3 || kills[0] >= 3 && kills[1] >= 3, nil
}

// prepareMemory starts two machines for the requesters and one with the server.
func (f *fleet) prepareMemory() error {
	for i, service := range []string{"catalogue", "catalogue", "warehouse"} {
		if _, err := f.addMachine(fmt.Sprintf("attica-%c", 'a'+i), service); err != nil {
			return err
		}
	}
	c := newConfiguration([]string{"catalogue", "warehouse"}, route{
		Name: "r-stock", Prefix: "/stock/", Kind: "non_idempotent", TimeoutMS: 3000, TargetLatencyMS: 3000, Service: "warehouse", MaxAttempts: 2,
	})
	if err := f.configure(7, c); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	for i, n := range f.nodes {
		if _, err := f.startApp(n, fmt.Sprintf("i-%s-%d", n.service, i), 9); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

// upload lets the requesters on the first two machines send one body each, on connections
// that have carried a small request before. It returns the number of requests that ran and
// whose connections were closed without an answer.
func (f *fleet) upload(round, count int) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	body := bytes.Repeat([]byte("x"), uploadBytes)
	server := f.apps[2]
	for k, n := range f.nodes[:2] {
		for i := range count {
			wg.Go(func() {
				c, err := dialNode(n)
				if err != nil {
					return
				}
				defer c.conn.Close()
				id := fmt.Sprintf("r%d-%d-%d", round, k, i)
				f.exchange(c, n, request{id: id + "a", method: "PUT", path: "/stock/x", budget: 3 * time.Second, work: 5 * time.Millisecond})
				a := f.exchange(c, n, request{id: id + "b", method: "PUT", path: "/stock/x", budget: 3 * time.Second, work: uploadWork, content: body})
				mu.Lock()
				defer mu.Unlock()
				if a.kept && a.status == 0 && !a.isTimeout() && len(server.runsOf(a.id)) > 0 {
					lost++
				}
			})
		}
	}
	wg.Wait()
	return lost
}
