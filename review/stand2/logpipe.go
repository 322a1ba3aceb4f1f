package main

import (
	"bufio"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stopCallers is the number of requesters of the case "logpipe". Each pauses for callerPause
	// after a request, which gives at most 32 requests a second. The usual rate at a machine of
	// sitaki-mesh is 35 (560 a second at 16 machines).
	stopCallers = 6
	callerPause = 65 * time.Millisecond
	// stopWork is how long a request runs at its server.
	stopWork = 120 * time.Millisecond
	// greySpells is the number of times that the servers fail greyShare of their requests, for
	// greyTime each, which are the doses of srv_grey in sitaki-mesh.
	greySpells = 4
	greyShare  = 0.45
	greyTime   = 6500 * time.Millisecond
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
	var grey atomic.Bool
	for i, n := range b.nodes {
		s, err := newServer(n, "i-orders-"+string(rune('1'+i)), "orders", "attica-a", 6, stopWork)
		if err != nil {
			return false, err
		}
		s.answer = func(w http.ResponseWriter, _ *http.Request) {
			if grey.Load() && rand.Float64() < greyShare {
				w.WriteHeader(http.StatusInternalServerError)
			}
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
	return stopUnderLoad(b, front, servers, &grey), nil
}

// failSome makes the servers fail some of their requests for a few spells. Each failure is a
// line in the log of the node that took the request. It returns once the last spell has been
// over for stable-ms and a second more.
func failSome(b *bed, grey *atomic.Bool) {
	for range greySpells {
		b.record.linef("the servers fail a share of %.2f of their requests", greyShare)
		grey.Store(true)
		time.Sleep(greyTime)
		grey.Store(false)
		b.record.linef("the servers fail no requests")
		time.Sleep(time.Second)
	}
	time.Sleep(stableTime)
}

// stopUnderLoad stops a node while its requesters go on, and reports whether it cut off
// requests that count.
func stopUnderLoad(b *bed, n *node, servers []*server, grey *atomic.Bool) bool {
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
				time.Sleep(callerPause)
			}
		}()
	}
	failSome(b, grey)
	stoppedAt := time.Now()
	killed := n.stop()
	endedAt := time.Now()
	over.Store(true)
	group.Wait()
	b.record.summaryf("%.2f s after SIGTERM the process had ended; it had to be killed: %v", endedAt.Sub(stoppedAt).Seconds(), killed)
	cut, failed := 0, 0
	for _, list := range outcomes {
		for _, o := range list {
			if o.status == http.StatusInternalServerError {
				failed++
			}
			if o.sent && o.err != nil && o.sentAt.After(stoppedAt.Add(3*time.Second)) && ranAt(servers, o.id) {
				cut++
				b.record.linef("%s: a server runs it, and its connection ended without an answer, %.3f s after SIGTERM it was sent",
					o.id, o.sentAt.Sub(stoppedAt).Seconds())
			}
		}
	}
	b.record.summaryf("%d requests were failed by their servers before the stop", failed)
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
