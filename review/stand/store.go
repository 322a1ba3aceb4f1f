package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// row is a row of the store.
	row struct {
		Table         string `json:"table"`
		Part          string `json:"part"`
		Key           string `json:"key"`
		Value         []byte `json:"value"`
		SchemaVersion uint64 `json:"schema-version"`
	}

	// rowsAnswer is the answer to a read.
	rowsAnswer struct {
		Rows          []row  `json:"rows"`
		HasMore       bool   `json:"has-more"`
		SchemaVersion uint64 `json:"schema-version"`
		NowMS         int64  `json:"now-ms"`
	}

	// store is the stand-in for the platform's metadata store. It holds the calls that
	// the nodes make: rows-get, rows-feed and unconditional rows-tx.
	store struct {
		start    time.Time
		listener net.Listener
		server   *http.Server

		mu      sync.Mutex
		rows    map[string]row
		version uint64
		// changed is closed and replaced at each write.
		changed chan struct{}
	}
)

const (
	// pageRows is the largest number of rows in one answer.
	pageRows = 500
	// answerTime is the time that the store takes for an answer.
	answerTime = 4 * time.Millisecond
)

// openStore starts a store on a free loopback port.
func openStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{start: time.Now(), listener: l, rows: make(map[string]row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// address returns the store's host:port.
func (s *store) address() string { return s.listener.Addr().String() }

// close stops the store.
func (s *store) close() { _ = s.server.Close() }

// put writes a row and returns its version.
func (s *store) put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"\x00\x00"+key] = row{Table: table, Key: key, Value: value, SchemaVersion: s.version}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// matching returns the rows that a filter accepts, in order, and the newest version.
func (s *store) matching(accept func(row) bool, order func(a, b row) int) ([]row, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []row{}
	for _, r := range s.rows {
		if accept(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, order)
	return out, s.version, s.changed
}

// get answers a read of a table.
func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	rows, version, _ := s.matching(func(x row) bool {
		return x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to"))
	}, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	s.answer(w, rowsAnswer{Rows: rows[:min(limit, len(rows))], HasMore: more, SchemaVersion: version})
}

// feed answers with the rows that changed after a version, as soon as there is one.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		rows, version, changed := s.matching(func(x row) bool { return x.Table == q.Get("table") && x.SchemaVersion > after },
			func(a, b row) int { return int(a.SchemaVersion) - int(b.SchemaVersion) })
		if len(rows) > 0 {
			s.answer(w, rowsAnswer{Rows: rows, SchemaVersion: version})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, rowsAnswer{Rows: rows, SchemaVersion: version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transact writes rows. The nodes' transactions expect and remove nothing.
func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	var t struct {
		Expected, Writes, Remove []row
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Remove) > 0 {
		http.Error(w, "not supported by the stand-in", http.StatusBadRequest)
		return
	}
	var version uint64
	for _, x := range t.Writes {
		version = s.put(x.Table, x.Key, x.Value)
	}
	s.answer(w, rowsAnswer{Rows: []row{}, SchemaVersion: version})
}

// answer writes an answer.
func (s *store) answer(w http.ResponseWriter, a rowsAnswer) {
	a.NowMS = time.Since(s.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a) // fails only if the node has left
}
