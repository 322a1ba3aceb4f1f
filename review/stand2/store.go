package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

type (
	// row is a row of the store in its wire format.
	row struct {
		Table         string `json:"table"`
		Part          string `json:"part"`
		Key           string `json:"key"`
		Value         []byte `json:"value,omitempty"`
		SchemaVersion uint64 `json:"schema-version"`
		Deleted       bool   `json:"deleted,omitempty"`
	}

	// rowKey identifies a row.
	rowKey struct {
		table, part, key string
	}

	// transaction is the body of a call to write rows.
	transaction struct {
		Expected []row `json:"expected"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
	}

	// rowsAnswer is the answer to a read.
	rowsAnswer struct {
		Rows          []row  `json:"rows"`
		HasMore       bool   `json:"has-more"`
		SchemaVersion uint64 `json:"schema-version"`
		NowMillis     int64  `json:"now-ms"`
	}

	// store is a stand-in for the platform's metadata store. It keeps its whole history.
	store struct {
		address string
		started time.Time

		mu      sync.Mutex
		rows    map[rowKey]row
		history []row
		version uint64
		// changed is closed and replaced at each transaction.
		changed chan struct{}
	}
)

// newStore starts a store on a free port of ip.
func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), started: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.handleTransaction)
	mux.HandleFunc("GET /-/rows-get", s.handleGet)
	mux.HandleFunc("GET /-/rows-feed", s.handleFeed)
	go func() { _ = http.Serve(l, mux) }() // ends with the process
	return s, nil
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Writes: []row{{Table: table, Key: key, Value: value}}})
}

// apply performs a transaction whose conditions hold. The caller holds mu.
func (s *store) apply(t transaction) {
	s.version++
	for _, r := range t.Writes {
		r.SchemaVersion = s.version
		s.rows[rowKey{r.Table, r.Part, r.Key}] = r
		s.history = append(s.history, r)
	}
	for _, r := range t.Remove {
		delete(s.rows, rowKey{r.Table, r.Part, r.Key})
		s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, SchemaVersion: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// handleTransaction serves a call to write rows.
func (s *store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []row
	for _, e := range t.Expected {
		if current := s.rows[rowKey{e.Table, e.Part, e.Key}]; current.SchemaVersion != e.SchemaVersion {
			conflicts = append(conflicts, current)
		}
	}
	if len(conflicts) > 0 {
		s.answer(w, http.StatusPreconditionFailed, conflicts)
		return
	}
	s.apply(t)
	s.answer(w, http.StatusOK, nil)
}

// handleGet serves a read of a table.
func (s *store) handleGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") {
			rows = append(rows, v)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.answer(w, http.StatusOK, rows)
}

// handleFeed serves a wait for changes.
func (s *store) handleFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []row{}
		for _, v := range s.history {
			if v.Table == q.Get("table") && v.SchemaVersion > after {
				rows = append(rows, v)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
			continue
		case <-r.Context().Done():
			return
		case <-deadline:
		}
		s.mu.Lock()
		s.answer(w, http.StatusOK, rows)
		s.mu.Unlock()
		return
	}
}

// answer writes rows. The caller holds mu.
func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(rowsAnswer{ // fails only if the node has left
		Rows: rows, SchemaVersion: s.version, NowMillis: time.Since(s.started).Milliseconds(),
	})
}

// route is a route of the configuration that a case writes.
type route struct {
	prefix, service, kind string
	timeoutMillis         int
}

// putConfiguration writes a configuration with the routes of callerHost.
func (s *store) putConfiguration(version int, services []string, routes []route) error {
	return s.putHosts(version, services, []virtualHost{{callerHost, routes}})
}

// putHosts writes a configuration in which each service accepts up to 130 connections.
func (s *store) putHosts(version int, services []string, hosts []virtualHost) error {
	type object = map[string]any
	var listed, entries []object
	for _, name := range services {
		listed = append(listed, object{"name": name, "health-path": "/healthz", "max-connections": 130, "protocol": "h1", "tls": false})
	}
	for i, h := range hosts {
		var paths []object
		for j, r := range h.routes {
			paths = append(paths, object{
				"name": fmt.Sprintf("r-%d-%d", i, j), "prefix": r.prefix, "kind": r.kind, "timeout-ms": r.timeoutMillis,
				"target-latency-ms": r.timeoutMillis / 2, "priority": 1, "service": r.service, "max-attempts": 2,
			})
		}
		entries = append(entries, object{"host": h.host, "paths": paths})
	}
	body, err := json.Marshal(object{
		"version": fmt.Sprintf("%08x", version), "services": listed,
		"limits": object{
			"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"virtual-hosts": entries,
	})
	if err != nil {
		return err
	}
	s.put("op", "config", body)
	return nil
}
