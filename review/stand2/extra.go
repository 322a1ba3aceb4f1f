package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// extraRequests is the number of requests of the case "extra". The server fails every
	// extraEvery-th run, so that it sends an extra answer after 3 in 100 of its answers.
	extraRequests = 400
	extraEvery    = 33
	// latePrefix begins the body of an extra answer.
	latePrefix = "late "
)

func init() {
	cases["extra"] = extra
}

// extra plays a server that fails some requests with its own 500, and in trouble sends an extra
// answer for each of them later, where its next answer on the connection is expected. The rule
// is broken if a requester gets the extra answer.
func extra(b *bed) (bool, error) {
	orders, err := b.addNode("orders")
	if err != nil {
		return false, err
	}
	front, err := b.addNode("catalogue")
	if err != nil {
		return false, err
	}
	if err := b.store.putConfiguration(1, []string{"orders", "catalogue"}, []route{{"/orders/", "orders", "idempotent", 1000}}); err != nil {
		return false, err
	}
	s, err := prepareServer(orders, "i-orders-1", "orders", "attica-a", 6, 10*time.Millisecond)
	if err != nil {
		return false, err
	}
	go s.serveConnections(b.trouble)
	go s.reportAll()
	if err := b.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // both nodes know the server
	c := newCaller(front, "check")
	defer c.close()
	succeeded, foreign := 0, 0
	for range extraRequests {
		o := c.do(http.MethodGet, "/orders/1", "", time.Second)
		if o.err != nil || o.status != http.StatusOK {
			continue
		}
		succeeded++
		if strings.HasPrefix(o.body, latePrefix) {
			foreign++
			b.record.linef("%s: the requester got the extra answer %q", o.id, o.body)
		}
	}
	b.record.summaryf("%d requests succeeded; %d of them got an extra answer, which belongs to no request", succeeded, foreign)
	return foreign > 0, nil
}

// serveConnections serves connections until the process ends, with extra answers if set.
func (s *server) serveConnections(extras bool) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConnection(conn, extras)
	}
}

// serveConnection serves the requests of one connection, one at a time.
func (s *server) serveConnection(conn net.Conn, extras bool) {
	defer conn.Close()
	b := bufio.NewReader(conn)
	pending := ""
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // the requests have no body
		if r.URL.Path == "/healthz" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: 0,0,%d\r\nContent-Length: 0\r\n\r\n", s.id, s.slots)
			continue
		}
		id := r.Header.Get("Request-Id")
		s.mu.Lock()
		s.runs = append(s.runs, run{id: id, path: r.URL.Path, at: time.Now()})
		number := len(s.runs)
		s.mu.Unlock()
		s.record.linef("%s: run %d is of %s", s.id, number, id)
		if pending != "" {
			s.record.linef("%s: sends an extra answer to an earlier request", s.id)
		}
		_, _ = io.WriteString(conn, pending) // a lost connection shows at the next read
		pending = ""
		time.Sleep(s.work)
		if number%extraEvery != 0 {
			_, _ = io.WriteString(conn, s.wholeAnswer("200 OK", id, fmt.Sprintf("done %s in run %d\n", id, number)))
			continue
		}
		_, _ = io.WriteString(conn, s.wholeAnswer("500 Internal Server Error", id, "failed\n"))
		if extras {
			pending = s.wholeAnswer("200 OK", id, fmt.Sprintf("%s%s in run %d\n", latePrefix, id, number))
		}
	}
}

// wholeAnswer returns an answer to the request with an id.
func (s *server) wholeAnswer(status, id, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nServer-Signature: sig.%s.%s\r\nServer-Load: 1,0,%d\r\nContent-Length: %d\r\n\r\n%s",
		status, id, s.id, id, s.slots, len(body), body)
}
