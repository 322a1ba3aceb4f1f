package proxy

import (
	"bufio"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/result"
)

const (
	// endlessMillis is the time that a request to an endless target has.
	endlessMillis = 1 * clock.Second
	// endlessSlack allows for the scheduling of the test.
	endlessSlack = 500 * time.Millisecond
	// endlessLimit is the size limit of a body and of a header.
	endlessLimit = 64 << 10
)

// startEndless starts a target that answers each request with head and then sends block
// again and again until the connection is closed, with a pause after each block. It
// returns the address and the number of connections that are still being written to.
func startEndless(t *testing.T, head, block string, pause time.Duration) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	writing := new(atomic.Int64)
	repeated := []byte(block) // the target allocates nothing while it writes
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			writing.Add(1)
			go func() {
				defer writing.Add(-1)
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := c.Write([]byte(head))
				for err == nil {
					_, err = c.Write(repeated)
					time.Sleep(pause)
				}
			}()
		}
	}()
	return l.Addr().String(), writing
}

// TestEndlessAnswers guards against an answer without end that takes more memory than
// the limits of a response, or that holds a request or its connection longer than the
// request's own time.
func TestEndlessAnswers(t *testing.T) {
	const filler = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
	for name, c := range map[string]struct {
		head, block string
		pause       time.Duration
		// atOnce is set if a size limit ends the request before its time is over.
		atOnce bool
	}{
		"status line":        {"HTTP/1.1 200 ", filler, 0, true},
		"no answer":          {"", filler, 0, true},
		"empty lines":        {"", "\r\n", 0, false},
		"header lines":       {"HTTP/1.1 200 OK\r\n", "X-Filler: " + filler + "\r\n", 0, true},
		"one header value":   {"HTTP/1.1 200 OK\r\nX-Filler: ", filler, 0, true},
		"slow header":        {"HTTP/1.1 200 OK\r\nX-Filler: ", "x", 5 * time.Millisecond, false},
		"interim answers":    {"", "HTTP/1.1 102 Processing\r\n\r\n", 0, true},
		"body to the end":    {"HTTP/1.1 200 OK\r\nStamp: s\r\n\r\n", filler, 0, true},
		"slow body":          {"HTTP/1.1 200 OK\r\nStamp: s\r\n\r\n", "x", 5 * time.Millisecond, false},
		"length over limit":  {"HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 99999999999\r\n\r\n", filler, 0, true},
		"chunks":             {"HTTP/1.1 200 OK\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", "40\r\n" + filler + "\r\n", 0, true},
		"one chunk":          {"HTTP/1.1 200 OK\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", filler, 0, true},
		"chunk size":         {"HTTP/1.1 200 OK\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", "0", 0, true},
		"chunk extension":    {"HTTP/1.1 200 OK\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n1;", filler, 0, false},
		"trailer":            {"HTTP/1.1 200 OK\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: " + filler + "\r\n", 0, true},
		"answers to another": {"", "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: earlier\r\nContent-Length: 3\r\n\r\nold", 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, writing := startEndless(t, c.head, c.block, c.pause)
			d := customDialect()
			target := newTarget("t-1", address, 4, Limits{HeaderBytes: endlessLimit, BodyBytes: endlessLimit}, &d, &leftCounters{})
			peak := startHeapWatch()
			begin := time.Now()
			_, err := target.call(t.Context(), 0, endlessMillis, customRequest(1, true))
			took := time.Since(begin)
			grown := peak()
			is.True(err != nil)
			is.Equal(result.Of(err), result.MayHaveRun)
			is.True(took < endlessMillis.Duration()+endlessSlack)
			if c.atOnce {
				is.True(took < endlessMillis.Duration()/2)
			}
			is.True(grown < 16*endlessLimit) // buffers double as they grow, and the test itself allocates
			for end := time.Now().Add(endlessSlack); writing.Load() > 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			is.Equal(writing.Load(), int64(0)) // the connection is closed
		})
	}
}

// startHeapWatch samples the heap until the returned function is called, which returns
// the growth up to the largest sample in bytes.
func startHeapWatch() func() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	base, largest := m.HeapAlloc, m.HeapAlloc
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			largest = max(largest, m.HeapAlloc)
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	return func() int {
		close(stop)
		<-stopped
		return int(largest - base)
	}
}
