package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// documentBytes is the size of a document: resp_bytes.max of the class of requests.
	documentBytes = 540_000
	// documentWork is how long a server works on a document: work_ms.mean of the class.
	documentWork = 230 * time.Millisecond
	// documentTime is the time budget of a request, and documentTimeout the time-out of its route.
	documentTime    = 6 * time.Second
	documentTimeout = 6 * time.Second
	// graceTime is grace-s of the bounds, and stopSlack how long after it a SIGTERM still is planned
	// work.
	graceTime = 6 * time.Second
	stopSlack = time.Second
	// rollGap is the time between two stops of roll_term.
	rollGap = 1300 * time.Millisecond
	// readyInterval is the time between two readiness checks of the platform.
	readyInterval = time.Second
	// pipeliners is the number of requesters of a machine that send requests ahead.
	pipeliners = 16
	// sentAhead bounds the requests that a requester has sent and whose answers it has not read.
	sentAhead = 8
	// sendInterval is the time between two requests of a requester.
	sendInterval = 60 * time.Millisecond
	// A requester handles pieceBytes of a document in pieceTime before it reads on: 87 Mbit/s.
	pieceBytes = 64 << 10
	pieceTime  = 6 * time.Millisecond
)

type (
	// readiness is what the platform knows of the nodes of a zone.
	readiness struct {
		mu     sync.Mutex
		misses map[*machine]int
	}

	// pipeliner is a requester that sends requests before it has read the answers to earlier
	// ones. One goroutine sends and another reads.
	pipeliner struct {
		w *world
		m *machine
		// allowed reports whether the platform gives the requester new work.
		allowed func() bool
	}

	// pipeline is one connection of a pipeliner.
	pipeline struct {
		conn net.Conn
		// sent passes the requests to the reader, in order.
		sent chan call
		// closed is set once the reader has read that the node closes the connection, or that the
		// connection has ended.
		closed atomic.Bool
		// unread is the number of requests without an answer that was read.
		unread atomic.Int64
	}
)

// check asks the nodes once a second whether they are ready, until stop is closed.
func (r *readiness) check(machines []*machine, stop <-chan struct{}) {
	for {
		for _, m := range machines {
			ready := m.isReady()
			r.mu.Lock()
			if ready {
				r.misses[m] = 0
			} else {
				r.misses[m]++
			}
			r.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(readyInterval):
		}
	}
}

// allows reports whether the requesters of a machine get new work: not after two misses in a
// row, unless fewer than half of the nodes of the zone are in.
func (r *readiness) allows(m *machine) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := 0
	for _, n := range r.misses {
		if n < 2 {
			in++
		}
	}
	return r.misses[m] < 2 || 2*in < len(r.misses)
}

// loop sends requests until stop is closed.
func (p *pipeliner) loop(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", p.m.outbound, time.Second)
		if err != nil {
			time.Sleep(reconnectPause)
			continue
		}
		p.serve(&pipeline{conn: conn, sent: make(chan call, sentAhead)}, stop)
	}
}

// serve sends requests on one connection until it ends or stop is closed, and then waits for
// the answers that are due.
func (p *pipeliner) serve(l *pipeline, stop <-chan struct{}) {
	defer l.conn.Close()
	var group sync.WaitGroup
	group.Go(func() { p.read(l) })
	for stopped := false; !stopped && !l.closed.Load(); {
		if l.unread.Load() < sentAhead && p.allowed() {
			one := call{id: fmt.Sprintf("q%08x", p.w.calls.next.Add(1)), node: p.m.name, sent: time.Now()}
			l.unread.Add(1)
			l.sent <- one
			// The reader notices an error of the connection.
			_, _ = fmt.Fprintf(l.conn, "GET /documents/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Remaining-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n",
				host, one.id, documentTime.Milliseconds(), p.w.key)
		}
		select {
		case <-stop:
			stopped = true
		case <-time.After(sendInterval):
		}
	}
	close(l.sent)
	group.Wait()
}

// read reads the answers and records the outcomes of the requests. It reads to the end of what
// the node has sent.
func (p *pipeliner) read(l *pipeline) {
	reader := bufio.NewReader(l.conn)
	behind := false
	for one := range l.sent {
		if behind {
			one.ended, one.problem = time.Now(), "sent behind the end of the connection"
			p.w.calls.add(one)
			continue
		}
		_ = l.conn.SetReadDeadline(one.sent.Add(documentTime))
		resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		var n int64
		if err == nil {
			one.status, one.signature = resp.StatusCode, resp.Header.Get("Server-Signature")
			if resp.Close {
				l.closed.Store(true)
			}
			n, err = handle(resp.Body)
		}
		one.ended, one.whole = time.Now(), err == nil
		if err != nil {
			one.problem = fmt.Sprintf("%v after %d bytes of the body", err, n)
		}
		p.w.calls.add(one)
		l.unread.Add(-1)
		if behind = err != nil || resp.Close; behind {
			l.closed.Store(true)
			continue
		}
	}
}

// handle reads a body and handles it piece by piece. It returns how much it has read.
func handle(body io.Reader) (int64, error) {
	for n := int64(0); ; {
		m, err := io.CopyN(io.Discard, body, pieceBytes)
		n += m
		switch err {
		case nil:
			time.Sleep(pieceTime)
		case io.EOF:
			return n, nil
		default:
			return n, err
		}
	}
}

// closeInPipeline stops the two nodes of a zone in turn, while requesters at the second one
// send requests before they have read the answers to earlier ones.
func closeInPipeline(w *world) (bool, error) {
	w.bounds, w.key = capBounds, tenantKey
	tenants := []map[string]any{{"name": "clinic", "api-keys": []string{tenantKey}, "rate-per-s": 0, "burst": 0}}
	w.store.put("op", "config", encode(1, "download", documentTimeout, tenants, []string{"documents"}))
	for _, zone := range []string{"gauteng-a", "gauteng-a", "gauteng-b", "gauteng-b", "gauteng-c", "gauteng-c"} {
		if err := w.addMachine(zone, "documents", 18, documentWork); err != nil {
			return false, err
		}
		w.servers[len(w.servers)-1].answerBytes = documentBytes
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	zone := w.machines[:2]
	known := &readiness{misses: map[*machine]int{zone[0]: 0, zone[1]: 0}}
	group.Go(func() { known.check(zone, stop) })
	time.Sleep(4 * time.Second)
	second := zone[1]
	for range pipeliners {
		p := &pipeliner{w: w, m: second, allowed: func() bool { return known.allows(second) }}
		group.Go(func() { p.loop(stop) })
	}
	time.Sleep(4 * time.Second)
	began := time.Now()
	if w.trouble {
		w.terminate(zone[0])
		time.Sleep(rollGap)
		began = time.Now()
		w.terminate(second)
	}
	time.Sleep(graceTime + stopSlack)
	close(stop)
	group.Wait()
	return w.cutAnswers(second, began), nil
}

// terminate sends SIGTERM to a node.
func (w *world) terminate(m *machine) {
	w.logf("%s gets SIGTERM", m.name)
	_ = m.cmd.Process.Signal(syscall.SIGTERM)
}

// cutAnswers reports whether the connections of requests that a node had passed on to a server
// ended without a complete answer, from an instant on.
func (w *world) cutAnswers(m *machine, from time.Time) bool {
	cut := 0
	for _, c := range w.lost(m.name, from.Add(-documentTime)) {
		if c.ended.Before(from) || c.ended.After(from.Add(graceTime+stopSlack)) || c.ended.Sub(c.sent) >= documentTime {
			continue
		}
		cut++
		w.logf("%s, sent %.3f s after the SIGTERM, ends %.3f s after it: %s", c.id, c.sent.Sub(from).Seconds(), c.ended.Sub(from).Seconds(), c.problem)
	}
	w.logf("%s: running %t; %d requests that it had passed on got no complete answer", m.name, m.running(), cut)
	return cut > 0
}

// lost returns the requests that a node passed on to a server and whose connection ended
// without a whole answer, from a time on.
func (w *world) lost(node string, from time.Time) []call {
	ran := w.runs.all()
	var out []call
	for _, c := range w.calls.all() {
		if c.node == node && !c.sent.Before(from) && !c.whole && c.problem != noConnection && len(ran[c.id]) > 0 {
			out = append(out, c)
		}
	}
	return out
}
