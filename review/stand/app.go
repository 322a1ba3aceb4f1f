package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// heartbeatTime is the setting heartbeat-ms.
	heartbeatTime = 1500 * time.Millisecond
	// appQueue is the number of requests that a server queues beside its slots.
	appQueue = 24
)

type (
	// app is the stand-in for the application server on a machine. It announces itself
	// at the machine's node and runs each request for the time in its Work-Ms header.
	app struct {
		*record
		id       string
		node     *node
		slots    int
		born     int64
		server   *http.Server
		free     chan struct{}
		stopped  chan struct{}
		stopOnce sync.Once

		mu       sync.Mutex
		sequence int
		waiting  int
		state    string
		// runs holds the runs by Request-Id.
		runs map[string][]span
	}

	// span is one run; end is zero while it lasts.
	span struct {
		start, end time.Time
		// line is the method and the request target that the server got.
		line string
	}
)

// startApp starts a server on the node's machine.
func (f *fleet) startApp(n *node, id string, slots int) (*app, error) {
	l, err := net.Listen("tcp", n.app)
	if err != nil {
		return nil, err
	}
	a := &app{
		record: f.record, id: id, node: n, slots: slots, born: time.Now().UnixMilli(), state: "ready",
		free: make(chan struct{}, slots), stopped: make(chan struct{}), runs: make(map[string][]span),
	}
	a.server = &http.Server{Handler: http.HandlerFunc(a.handle)}
	go func() { _ = a.server.Serve(l) }()
	go a.beat()
	f.apps = append(f.apps, a)
	return a, nil
}

// close ends the server.
func (a *app) close() {
	a.stopOnce.Do(func() { close(a.stopped) })
	_ = a.server.Close()
}

// beat sends a status report every heartbeatTime, and more often until the first ack.
func (a *app) beat() {
	for acked := false; ; {
		acked = a.report(a.nextReport()) || acked
		wait := heartbeatTime
		if !acked {
			wait = 200 * time.Millisecond
		}
		select {
		case <-a.stopped:
			return
		case <-time.After(wait):
		}
	}
}

// nextReport returns the body of the next status report.
func (a *app) nextReport() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	body, _ := json.Marshal(map[string]any{
		"address": a.node.app, "born": a.born,
		"info":   map[string]any{"service": a.node.service, "version": "v1", "zone": a.node.zone, "slots": a.slots},
		"status": map[string]any{"state": a.state, "sequence": a.sequence, "cold-remaining-ms": 0},
	})
	return body
}

// report sends a status report to the control address on the machine and reports whether
// it was acknowledged within a second.
func (a *app) report(body []byte) bool {
	req, err := http.NewRequest(http.MethodPut, "http://"+a.node.control+"/-/instances/"+a.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	a.notef("%s: report %s: %d", a.id, body, resp.StatusCode)
	return resp.StatusCode/100 == 2
}

// load returns the header that tells the server's load.
func (a *app) load() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(a.free), a.waiting, a.slots)
}

// handle answers a liveness check or a request.
func (a *app) handle(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/healthz" {
		a.health(w)
		return
	}
	a.serve(w, r)
}

// health answers a liveness check.
func (a *app) health(w http.ResponseWriter) {
	a.mu.Lock()
	state := a.state
	a.mu.Unlock()
	w.Header().Set("Instance-Id", a.id)
	w.Header().Set("Server-Load", a.load())
	if state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serve runs a request, or answers that it was not run.
func (a *app) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Instance-Id", a.id)
	if e := r.Header.Get("Expected-Instance"); e != "" && e != a.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	budget, err := strconv.ParseFloat(r.Header.Get("Timeout-Remaining-Ms"), 64)
	if err != nil || id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(time.Duration(budget * float64(time.Millisecond)))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the connection is closed
	}
	if !a.acquire(r, deadline) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-a.free }()
	a.run(w, r, id, len(body), deadline)
}

// acquire waits for a slot until the deadline.
func (a *app) acquire(r *http.Request, deadline time.Time) bool {
	a.mu.Lock()
	full := a.waiting >= appQueue
	if !full {
		a.waiting++
	}
	a.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		a.mu.Lock()
		a.waiting--
		a.mu.Unlock()
	}()
	select {
	case a.free <- struct{}{}:
		return true
	case <-time.After(time.Until(deadline)):
	case <-r.Context().Done():
	}
	return false
}

// run works on a request and answers it.
func (a *app) run(w http.ResponseWriter, r *http.Request, id string, size int, deadline time.Time) {
	a.mu.Lock()
	index := len(a.runs[id])
	a.runs[id] = append(a.runs[id], span{start: time.Now(), line: r.Method + " " + r.RequestURI})
	a.mu.Unlock()
	a.notef("%s: runs %s %s %s (%d bytes)", a.id, id, r.Method, r.RequestURI, size)
	work, _ := strconv.ParseFloat(r.Header.Get("Work-Ms"), 64) // 0 without the header
	status := http.StatusOK
	select {
	case <-time.After(time.Duration(work * float64(time.Millisecond))):
	case <-time.After(time.Until(deadline)):
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		status = 0
	}
	a.mu.Lock()
	a.runs[id][index].end = time.Now()
	a.mu.Unlock()
	if status == 0 {
		a.notef("%s: dropped %s, its connection was closed", a.id, id)
		return
	}
	w.Header().Set("Server-Load", a.load())
	w.Header().Set("Server-Signature", "stand."+a.id+"."+id)
	w.WriteHeader(status)
	length, _ := strconv.Atoi(r.Header.Get("Answer-Bytes")) // 0 without the header
	_, _ = w.Write(answerBody(id, length))
}

// answerBody returns the body of the answer to a request, which repeats its id.
func answerBody(id string, length int) []byte {
	return bytes.Repeat([]byte(id+"\n"), length/(len(id)+1)+1)[:max(length, len(id)+1)]
}

// runsOf returns the runs of a request.
func (a *app) runsOf(id string) []span {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]span(nil), a.runs[id]...)
}
