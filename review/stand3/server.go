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
	"sync/atomic"
	"time"
)

const (
	// reportInterval is the time between two status reports of a server.
	reportInterval = 870 * time.Millisecond
	// reportTimeout is how long a server waits for the answer to a report.
	reportTimeout = time.Second
	// healthPath is the path of health checks.
	healthPath = "/healthz"
)

type (
	// run is one run of a request at a server.
	run struct {
		server, request string
		began, ended    time.Time
	}

	// runs records all runs of all servers.
	runs struct {
		mu   sync.Mutex
		list []*run
	}

	// server is a stand-in for an application server.
	server struct {
		id, service, zone, address string
		// control is the address of its machine for status reports.
		control string
		slots   int
		born    int64
		runs    *runs
		// work is how long a request is at work.
		work time.Duration
		// answerBytes is the size of an answer; 0 means a short line of text.
		answerBytes int
		running     atomic.Int64
		// leaving is set once the server leaves: it says so in all its answers.
		leaving  atomic.Bool
		sequence atomic.Int64
		http     *http.Server
	}
)

// begin records the start of a run.
func (r *runs) begin(server, request string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	one := &run{server: server, request: request, began: time.Now()}
	r.list = append(r.list, one)
	return one
}

// end records the end of a run.
func (r *runs) end(one *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one.ended = time.Now()
}

// all returns the runs by request.
func (r *runs) all() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]run, len(r.list))
	for _, one := range r.list {
		out[one.request] = append(out[one.request], *one)
	}
	return out
}

// start binds the address of the server, serves, and reports its status.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.born = time.Now().UnixMilli()
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(l) }()
	go s.reportAll()
	return nil
}

// handle serves a health check or runs a request.
func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	w.Header().Set("Instance-Id", s.id)
	running := s.running.Add(1)
	defer s.running.Add(-1)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", min(running, int64(s.slots)), s.slots))
	if s.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == healthPath {
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if running > int64(s.slots) || id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	one := s.runs.begin(s.id, id)
	body, _ := io.ReadAll(r.Body)
	time.Sleep(s.work)
	s.runs.end(one)
	w.Header().Set("Server-Signature", s.id+"."+id)
	if s.answerBytes > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(s.answerBytes))
		_, _ = w.Write(bytes.Repeat([]byte{'%'}, s.answerBytes))
		return
	}
	fmt.Fprintf(w, "%s ran %s with %d bytes\n", s.id, id, len(body))
}

// reportAll reports the status of the server again and again until it leaves. A report
// without an answer is followed by the next one.
func (s *server) reportAll() {
	for !s.leaving.Load() {
		s.send(http.MethodPut, s.report())
		time.Sleep(reportInterval)
	}
}

// report returns the body of the next status report.
func (s *server) report() []byte {
	body, err := json.Marshal(map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": "ready", "sequence": s.sequence.Add(1), "cold-remaining-ms": 0},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// leave makes the server leave: it says so to its node and goes on serving. It reports
// whether the node has acknowledged that.
func (s *server) leave() bool {
	s.leaving.Store(true)
	return s.send(http.MethodDelete, fmt.Appendf(nil, `{"born":%d}`, s.born))
}

// send sends a report and returns whether it was acknowledged.
func (s *server) send(method string, body []byte) bool {
	req, err := http.NewRequest(method, "http://"+s.control+"/-/instances/"+s.id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: reportTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < http.StatusMultipleChoices
}
