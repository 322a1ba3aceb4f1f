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
	// heartbeat is the time between two status reports.
	heartbeat = 1500 * time.Millisecond
	// reportTimeout is the time in which a status report must be acknowledged.
	reportTimeout = time.Second
)

type (
	// server is a stand-in for an application server.
	server struct {
		id, service, zone string
		born              int64
		slots             int
		node              *node
		record            *record
		// work is how long a request runs.
		work time.Duration
		// answer, if set, writes the answer to a request that has run in place of a success.
		answer func(w http.ResponseWriter, r *http.Request)
		// decorate, if set, adds header fields to each answer.
		decorate func(h http.Header)

		listener net.Listener
		running  atomic.Int32
		sequence atomic.Uint64
		// silent ends the status reports, and leaving makes the liveness check fail.
		silent, leaving atomic.Bool

		mu   sync.Mutex
		runs []run
	}

	// run is a request on which a server has begun to work.
	run struct {
		id, path string
		at       time.Time
	}
)

// newServer starts a server beside a node. It reports to the node once started.
func newServer(n *node, id, service, zone string, slots int, work time.Duration) (*server, error) {
	s, err := prepareServer(n, id, service, zone, slots, work)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(s.listener, http.HandlerFunc(s.handle)) }() // ends with the process
	go s.reportAll()
	return s, nil
}

// prepareServer returns a server that listens and does not serve or report yet.
func prepareServer(n *node, id, service, zone string, slots int, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", n.application)
	if err != nil {
		return nil, err
	}
	return &server{
		id: id, service: service, zone: zone, born: time.Now().UnixMilli(), slots: slots, node: n, record: n.record,
		work: work, listener: l,
	}, nil
}

// handle serves a liveness check or a request.
func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	load := fmt.Sprintf("%d,0,%d", s.running.Load(), s.slots)
	w.Header().Set("Server-Load", load)
	if s.decorate != nil {
		s.decorate(w.Header())
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", s.id)
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if int(s.running.Add(1)) > s.slots {
		s.running.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.running.Add(-1)
	s.mu.Lock()
	s.runs = append(s.runs, run{id: id, path: r.URL.Path, at: time.Now()})
	s.mu.Unlock()
	s.record.linef("%s: runs %s %s (%s, %d bytes)", s.id, id, r.URL.Path, r.Method, len(body))
	time.Sleep(s.work)
	w.Header().Set("Server-Signature", "sig."+s.id+"."+id)
	if s.answer != nil {
		s.answer(w, r)
		return
	}
	_, _ = io.WriteString(w, "done "+id+"\n") // fails only if the node has left
}

// runsAfter returns the runs that began after an instant.
func (s *server) runsAfter(at time.Time) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []run
	for _, r := range s.runs {
		if r.at.After(at) {
			out = append(out, r)
		}
	}
	return out
}

// hasRun reports whether the server has begun to work on a request.
func (s *server) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if r.id == id {
			return true
		}
	}
	return false
}

// reportAll sends status reports until the server is silent.
func (s *server) reportAll() {
	for !s.silent.Load() {
		s.send(s.report("ready"))
		time.Sleep(heartbeat)
	}
}

// report returns a new status report.
func (s *server) report(state string) []byte {
	type object = map[string]any
	body, err := json.Marshal(object{
		"address": s.node.application, "born": s.born,
		"info":   object{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": object{"state": state, "sequence": s.sequence.Add(1), "cold-remaining-ms": 0},
	})
	if err != nil {
		panic(err) // every value has an encoding
	}
	return body
}

// send sends a status report and reports whether it was acknowledged.
func (s *server) send(body []byte) bool {
	return s.call(http.MethodPut, body)
}

// leave says that the server leaves, and reports whether that was acknowledged.
func (s *server) leave() bool {
	s.silent.Store(true)
	s.leaving.Store(true)
	body := []byte(`{"born":` + strconv.FormatInt(s.born, 10) + `}`)
	return s.call(http.MethodDelete, body)
}

// call calls the control address of the server's node.
func (s *server) call(method string, body []byte) bool {
	req, err := http.NewRequest(method, "http://"+s.node.control+"/-/instances/"+s.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: reportTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // the body has no meaning
	s.record.linef("%s: %s %s is answered %d", s.id, method, body, resp.StatusCode)
	return resp.StatusCode/100 == 2
}
