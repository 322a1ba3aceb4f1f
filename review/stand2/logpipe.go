package main

import (
	"bufio"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stopCallers is the number of requesters of the case "logpipe".
	stopCallers = 6
	// stopWork is how long a request runs at its server.
	stopWork = 120 * time.Millisecond
	// missingRoute is a path for which there is no route.
	missingRoute = "/missing/1"
)

func init() {
	cases["logpipe"] = logpipe
}

// logReader reads the log of a node from a pipe, as a log collector does, and can pause.
type logReader struct {
	paused atomic.Bool
	lines  atomic.Int64
}

// read reads lines until the pipe ends.
func (l *logReader) read(pipe *os.File) {
	s := bufio.NewScanner(pipe)
	for s.Scan() {
		l.lines.Add(1)
		for l.paused.Load() {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// logpipe stops a node with SIGTERM while the reader of its log pauses. The rule is broken if
// requests that a server runs are cut off by the end of the node.
func logpipe(b *bed) (bool, error) {
	front, err := b.addNode("orders")
	if err != nil {
		return false, err
	}
	if _, err := b.addNode("orders"); err != nil {
		return false, err
	}
	if err := b.store.putConfiguration(1, []string{"orders"}, []route{{"/orders/", "orders", "non_idempotent", 1000}}); err != nil {
		return false, err
	}
	var servers []*server
	for i, n := range b.nodes {
		s, err := newServer(n, "i-orders-"+string(rune('1'+i)), "orders", "attica-a", 6, stopWork)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	r, w, err := os.Pipe()
	if err != nil {
		return false, err
	}
	var collector logReader
	go collector.read(r)
	front.output = w
	if err := b.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // both nodes know the servers
	if b.trouble {
		b.record.linef("the reader of the log pauses")
		collector.paused.Store(true)
	}
	probeMissing(b, front)
	return stopUnderLoad(b, front, servers), nil
}

// probeMissing sends requests on a route that never existed for three seconds. Each is a line
// in the log of the node.
func probeMissing(b *bed, n *node) {
	c := newCaller(n, "probe")
	count := 0
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if o := c.do(http.MethodGet, missingRoute, "", time.Second); o.status == http.StatusNotFound {
			count++
		}
	}
	c.close()
	b.record.summaryf("%d requests on a route that never existed were answered with 404", count)
}

// stopUnderLoad stops a node while its requesters go on, and reports whether it cut off
// requests that count.
func stopUnderLoad(b *bed, n *node, servers []*server) bool {
	var group sync.WaitGroup
	var over atomic.Bool
	outcomes := make([][]outcome, stopCallers)
	for i := range stopCallers {
		group.Add(1)
		go func() {
			defer group.Done()
			c := newCaller(n, "order"+string(rune('a'+i)))
			defer c.close()
			for !over.Load() {
				o := c.do(http.MethodPost, "/orders/1", "cartons=12", time.Second)
				outcomes[i] = append(outcomes[i], o)
				if o.err != nil || o.status != http.StatusOK {
					time.Sleep(20 * time.Millisecond)
				}
			}
		}()
	}
	time.Sleep(time.Second)
	stoppedAt := time.Now()
	killed := n.stop()
	endedAt := time.Now()
	over.Store(true)
	group.Wait()
	b.record.summaryf("%.2f s after SIGTERM the process had ended; it had to be killed: %v", endedAt.Sub(stoppedAt).Seconds(), killed)
	cut := 0
	for _, list := range outcomes {
		for _, o := range list {
			if o.sent && o.err != nil && o.sentAt.After(stoppedAt.Add(3*time.Second)) && ranAt(servers, o.id) {
				cut++
				b.record.linef("%s: a server runs it, and its connection ended without an answer, %.3f s after SIGTERM it was sent",
					o.id, o.sentAt.Sub(stoppedAt).Seconds())
			}
		}
	}
	b.record.summaryf("%d requests that a server ran were cut off without an answer", cut)
	return cut > 0
}

// ranAt reports whether one of the servers has begun to work on a request.
func ranAt(servers []*server, id string) bool {
	for _, s := range servers {
		if s.hasRun(id) {
			return true
		}
	}
	return false
}
