package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// mixedRounds is the largest number of connections, one after the other, mixedTime
	// bounds the time for them, and enough is the number of foreign bodies that ends the
	// case.
	mixedRounds = 1000
	mixedTime   = 90 * time.Second
	enough      = 5
	// largeAnswer is the size of the first answer on a connection, and smallAnswer that of
	// the others.
	largeAnswer, smallAnswer = 8_000_000, 6_000
	// behind is the number of requests that are sent behind the first one.
	behind = 14
	// readDelay is how long the requester waits before it sends the last request, and again
	// before it reads the first answer.
	readDelay = 30 * time.Millisecond
	// mixedBudget is the time budget of each request.
	mixedBudget = 3 * time.Second
)

// errForeign reports a successful answer with another body than the server gave.
var errForeign = errors.New("success with a body that is not the server's")

// runMixed sends idempotent requests behind each other on slowly read connections, the
// last one with a body that it announces with "Expect: 100-continue".
func runMixed(f *fleet, trouble bool) (bool, error) {
	n, err := f.addMachine("attica-a", "catalogue")
	if err != nil {
		return false, err
	}
	c := newConfiguration([]string{"catalogue"}, route{
		Name: "r-catalogue", Prefix: "/catalogue/", Kind: "idempotent", TimeoutMS: 3000, TargetLatencyMS: 3000, Priority: 2, Service: "catalogue", MaxAttempts: 2,
	})
	if err = f.configure(7, c); err != nil {
		return false, err
	}
	if err = f.startAll(); err != nil {
		return false, err
	}
	if _, err = f.startApp(n, "i-catalogue", 9); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	foreign, round := 0, 0
	for end := time.Now().Add(mixedTime); round < mixedRounds && foreign < enough && time.Now().Before(end); round++ {
		err := f.pipeline(n, round, trouble)
		if errors.Is(err, errForeign) {
			foreign++
		} else if err != nil {
			return false, err
		}
	}
	f.logf("%d of %d connections got a foreign body", foreign, round)
	return foreign > 0, nil
}

// pipeline sends the requests of one connection and checks the answers.
func (f *fleet) pipeline(n *node, round int, trouble bool) error {
	conn, err := net.Dial("tcp", n.outbound)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(2 * mixedBudget)); err != nil {
		return err
	}
	var ids []string
	var sizes []int
	var text strings.Builder
	for i := range 1 + behind {
		ids, sizes = append(ids, fmt.Sprintf("m%d-%d", round, i)), append(sizes, smallAnswer)
		if i == 0 {
			sizes[0] = largeAnswer
		}
		writePipelined(&text, ids[i], sizes[i], i == behind, trouble)
		if i < behind-1 {
			continue
		}
		if _, err := io.WriteString(conn, text.String()); err != nil {
			return err
		}
		text.Reset()
		time.Sleep(readDelay)
	}
	f.notef("connection %d: %d requests sent", round, len(ids))
	r := bufio.NewReaderSize(conn, 1<<16)
	for i, id := range ids {
		if err := f.checkAnswer(r, id, sizes[i]); err != nil {
			f.logf("connection %d, request %s: %v", round, id, err)
			return err
		}
	}
	return nil
}

// writePipelined appends a request to the text: a GET, or a PUT with a body.
func writePipelined(text *strings.Builder, id string, size int, put, trouble bool) {
	method := "GET"
	if put {
		method = "PUT"
	}
	fmt.Fprintf(text, "%s /catalogue/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Remaining-Ms: %d\r\nAnswer-Bytes: %d\r\n",
		method, host, id, mixedBudget.Milliseconds(), size)
	if !put {
		text.WriteString("\r\n")
		return
	}
	if trouble {
		text.WriteString("Expect: 100-continue\r\n")
	}
	text.WriteString("Content-Length: 5\r\n\r\nhello")
}

// checkAnswer reads the final answer to a request. It returns errForeign for a success
// with a body that is not the server's, and no error for other complete answers.
func (f *fleet) checkAnswer(r *bufio.Reader, id string, size int) error {
	resp, err := http.ReadResponse(r, nil)
	for err == nil && resp.StatusCode == http.StatusContinue {
		resp, err = http.ReadResponse(r, nil)
	}
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		f.notef("%s: status %d", id, resp.StatusCode)
		return nil
	}
	want := answerBody(id, size)
	if bytes.Equal(body, want) {
		f.notef("%s: status 200, the server's %d bytes", id, size)
		return nil
	}
	at := 0
	for at < min(len(body), len(want)) && body[at] == want[at] {
		at++
	}
	f.logf("%s: status 200, signature %q, id %q, %d bytes; at byte %d the server sent %.40q, the requester got %.40q", id,
		resp.Header.Get("Server-Signature"), resp.Header.Get("Request-Id"), len(body), at, want[min(at, len(want)):], body[min(at, len(body)):])
	return errForeign
}
