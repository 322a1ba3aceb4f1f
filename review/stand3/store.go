package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// maxFeedRows bounds the changes that the store keeps for its feed.
const maxFeedRows = 100_000

type (
	// storeRow is a row of the store in its format on the wire.
	storeRow struct {
		Table         string `json:"table"`
		Part          string `json:"part"`
		Key           string `json:"key"`
		Value         []byte `json:"value,omitempty"`
		SchemaVersion uint64 `json:"schema-version"`
		Deleted       bool   `json:"deleted,omitempty"`
	}

	// storeAnswer is the body of the store's answers.
	storeAnswer struct {
		Rows          []storeRow `json:"rows"`
		HasMore       bool       `json:"has-more"`
		SchemaVersion uint64     `json:"schema-version"`
		NowMillis     int64      `json:"now-ms"`
	}

	// storeTransaction is the body of a transaction.
	storeTransaction struct {
		Expected []storeRow `json:"expected"`
		Writes   []storeRow `json:"writes"`
		Remove   []storeRow `json:"remove"`
	}

	// rowKey identifies a row.
	rowKey struct{ table, part, key string }

	// storeCopy is a copy of a store.
	storeCopy struct {
		version uint64
		rows    map[rowKey]storeRow
	}

	// store is a stand-in for the platform's store. It keeps everything in memory.
	store struct {
		address string
		started time.Time

		mu sync.Mutex
		// era rises each time that the store comes back from a copy.
		era uint64
		// away is set while the store resets all calls.
		away    bool
		version uint64
		rows    map[rowKey]storeRow
		// changes holds the changed rows in order.
		changes []storeRow
		// changed is closed at the next change.
		changed chan struct{}
	}
)

// startStore starts a store on a free loopback port.
func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), started: time.Now(), rows: make(map[rowKey]storeRow), changed: make(chan struct{}), era: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	server := &http.Server{Handler: s.unlessAway(mux), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return s, nil
}

// unlessAway resets the connection of a call while the store is away.
func (s *store) unlessAway(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away := s.away
		s.mu.Unlock()
		if away {
			reset(w)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// reset resets the connection of a call.
func reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// copy returns a copy of the store.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{version: s.version, rows: maps.Clone(s.rows)}
}

// leave makes the store reset all calls, also those that wait.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore makes the store come back from a copy: what was written since is gone.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.era = false, s.era+1
	s.version, s.rows, s.changes = c.version, c.rows, nil
}

// put writes a row on behalf of the operators.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(storeTransaction{Writes: []storeRow{{Table: table, Key: key, Value: value}}})
}

// apply applies a transaction whose conditions hold. The caller holds mu.
func (s *store) apply(t storeTransaction) {
	s.version++
	for _, r := range t.Writes {
		r.SchemaVersion = s.version
		s.rows[rowKey{r.Table, r.Part, r.Key}] = r
		s.changes = append(s.changes, r)
	}
	for _, r := range t.Remove {
		delete(s.rows, rowKey{r.Table, r.Part, r.Key})
		s.changes = append(s.changes, storeRow{Table: r.Table, Part: r.Part, Key: r.Key, SchemaVersion: s.version, Deleted: true})
	}
	s.changes = s.changes[max(len(s.changes)-maxFeedRows, 0):]
	close(s.changed)
	s.changed = make(chan struct{})
}

// transact handles a transaction.
func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t storeTransaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, rows := http.StatusOK, []storeRow{}
	for _, e := range t.Expected {
		present := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if present.SchemaVersion != e.SchemaVersion {
			status = http.StatusPreconditionFailed
		}
		if present.SchemaVersion > 0 {
			rows = append(rows, present)
		}
	}
	if status == http.StatusOK {
		s.apply(t)
	}
	s.answer(w, status, rows)
}

// get handles a read of a table.
func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storeRow{}
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") {
			rows = append(rows, v)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if limit, err := strconv.Atoi(q.Get("limit")); err == nil && len(rows) > limit {
		rows = rows[:limit]
	}
	s.answer(w, http.StatusOK, rows)
}

// feed handles a wait for the changes of a table.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	s.mu.Lock()
	unknown := after > s.version
	s.mu.Unlock()
	if unknown {
		s.mu.Lock()
		s.answer(w, http.StatusGone, []storeRow{})
		s.mu.Unlock()
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			reset(w)
			return
		}
		rows := []storeRow{}
		for _, c := range s.changes {
			if c.Table == q.Get("table") && c.SchemaVersion > after {
				rows = append(rows, c)
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
		case <-r.Context().Done():
			return
		case <-timeout:
			s.mu.Lock()
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
	}
}

// answer writes an answer. The caller holds mu.
func (s *store) answer(w http.ResponseWriter, status int, rows []storeRow) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.WriteHeader(status)
	body, err := json.Marshal(storeAnswer{Rows: rows, SchemaVersion: s.version, NowMillis: time.Since(s.started).Milliseconds()})
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(w, "%s\n", body)
}
