package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// smuggleRequests is the number of requests of the case "smuggle".
	smuggleRequests = 10
	// smuggleWait is how long the requester reads answers on a connection.
	smuggleWait = 700 * time.Millisecond
)

func init() {
	cases["smuggle"] = smuggle
}

// smuggle sends requests whose bodies contain the text of another request. The rule is broken
// if a server runs what was only a part of a body. In trouble, the requests have a field
// Transfer-Encoding besides their Content-Length.
func smuggle(b *bed) (bool, error) {
	orders, err := b.addNode("orders")
	if err != nil {
		return false, err
	}
	front, err := b.addNode("catalogue")
	if err != nil {
		return false, err
	}
	if err := b.store.putConfiguration(1, []string{"orders", "catalogue"}, []route{{"/orders/", "orders", "non_idempotent", 1000}}); err != nil {
		return false, err
	}
	s, err := newServer(orders, "i-orders-1", "orders", "attica-a", 6, 40*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := b.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // both nodes know the server
	begun := time.Now()
	sent := make(map[string]bool)
	surplus := 0
	for i := range smuggleRequests {
		id := fmt.Sprintf("order-%05d", i)
		sent[id] = true
		answers, err := sendNested(b, front, id)
		if err != nil {
			return false, err
		}
		surplus += max(answers-1, 0)
	}
	unasked := 0
	for _, r := range s.runsAfter(begun) {
		if !sent[r.id] {
			unasked++
			b.record.linef("%s: no requester sent this request; it was a part of a body", r.id)
		}
	}
	b.record.summaryf("%d requests were sent; the server ran %d that nobody sent, and the requester got %d answers too many",
		smuggleRequests, unasked, surplus)
	return unasked > 0, nil
}

// sendNested sends one request on a connection of its own and returns the number of answers.
func sendNested(b *bed, n *node, id string) (int, error) {
	nested := fmt.Sprintf("POST /orders/nested HTTP/1.1\r\nHost: %s\r\nRequest-Id: nested-%s\r\nContent-Length: 0\r\n\r\n", callerHost, id)
	body := "0\r\n\r\n" + nested
	coding := ""
	if b.trouble {
		coding = "Transfer-Encoding: chunked\r\n"
	}
	conn, err := net.Dial("tcp", n.outbound)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /orders/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Remaining-Ms: 1000\r\nContent-Length: %d\r\n%s\r\n%s",
		callerHost, id, len(body), coding, body)
	if err != nil {
		return 0, err
	}
	b.record.linef("%s: POST /orders/1 with a Content-Length of %d; other framing: %q", id, len(body), coding)
	if err := conn.SetReadDeadline(time.Now().Add(smuggleWait)); err != nil {
		return 0, err
	}
	r := bufio.NewReader(conn)
	for answers := 0; ; answers++ {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return answers, nil // the connection has ended, or no further answer comes
		}
		text, _ := io.ReadAll(resp.Body) // only for the record
		b.record.linef("%s: answer %d: status %d for %s, body %q", id, answers+1, resp.StatusCode, resp.Header.Get("Request-Id"), text)
	}
}
