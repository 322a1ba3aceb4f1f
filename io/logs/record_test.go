package logs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/result"
)

// blockingWriter is a writer that blocks until unblocked is closed.
type blockingWriter struct {
	unblocked chan struct{}
	buf       bytes.Buffer
}

// Write waits until the writer is unblocked and stores the line.
func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.unblocked
	return w.buf.Write(p)
}

// waitCount returns the number of decisions that waited because the ring was full.
func (l *DecisionLog) waitCount() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waits
}

// TestRecordLosesNoLine guards against a line that is lost or repeated when several
// goroutines record into a full ring, and against a line that remains in the ring when
// Run ends.
func TestRecordLosesNoLine(t *testing.T) {
	for _, capacity := range []int{1, 4, 300, 5000} {
		t.Run(strconv.Itoa(capacity), func(t *testing.T) { recordConcurrently(t, capacity) })
	}
}

// recordConcurrently records from several goroutines, ends Run in the meantime and
// checks the lines.
func recordConcurrently(t *testing.T, capacity int) {
	is := is.New(t)
	const writers, lines = 8, 200
	w := &blockingWriter{unblocked: make(chan struct{})}
	l := NewDecisionLog(New(w, log.ErrorLevel), All, capacity)
	is.NoErr(l.Register(prometheus.NewRegistry()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() {
			for j := range lines {
				l.Record(Decision{Kind: Admit, Request: ident.RequestID(fmt.Sprintf("%d-%d", i, j)), Attempt: j + 1, Reason: "slot free"})
				if i == 0 && j == lines/2 {
					cancel() // Run ends while goroutines still record
				}
			}
		})
	}
	// While the writer is blocked, Run holds one batch, so a ring without room for the
	// remaining lines becomes full.
	fills := capacity+maxBatch < writers*lines
	for fills && l.waitCount() == 0 {
		runtime.Gosched()
	}
	close(w.unblocked)
	wg.Wait()
	is.NoErr(<-ended)
	seen := map[string]int{}
	last := map[string]float64{}
	for line := range strings.Lines(w.buf.String()) {
		var entry struct {
			Fields map[string]any `json:"fields"`
		}
		is.NoErr(json.Unmarshal([]byte(line), &entry))
		id := entry.Fields["Request"].(string)
		seen[id]++
		writer, attempt := id[:1], entry.Fields["Attempt"].(float64)
		is.True(attempt > last[writer]) // the lines of one goroutine keep their order
		last[writer] = attempt
	}
	is.Equal(len(seen), writers*lines)
	is.Equal(l.recorded, uint64(writers*lines))
	is.Equal(l.waits > 0, fills)
	for id, n := range seen {
		if n != 1 {
			t.Fatalf("line %s was written %d times", id, n)
		}
	}
}

// TestFilter guards against a problem that is filtered out, against a line in a log
// that is off, and against a filter name that does not parse.
func TestFilter(t *testing.T) {
	cases := []struct {
		d       Decision
		problem bool
	}{
		{Decision{Kind: Route}, false},
		{Decision{Kind: Route, Verdict: result.NotRun}, true},
		{Decision{Kind: Admit, Verdict: result.Ran}, false},
		{Decision{Kind: Retry}, true},
		{Decision{Kind: Eject}, true},
		{Decision{Kind: Lease}, true},
	}
	is := is.New(t)
	for _, c := range cases {
		is.True(All.Passes(&c.d))
		is.Equal(Problems.Passes(&c.d), c.problem)
		is.True(!Off.Passes(&c.d))
	}
	for _, f := range []Filter{All, Problems, Off} {
		parsed, ok := ParseFilter(f.String())
		is.True(ok && parsed == f && strings.Contains(FilterNames, f.String()))
	}
}

// TestRecordAllocates guards against an allocation on the request path.
func TestRecordAllocates(t *testing.T) {
	l := NewDecisionLog(New(io.Discard, log.InfoLevel), All, 1<<16)
	d := Decision{Kind: Route, Request: "r", Target: "t", Reason: "lower score"}
	if n := testing.AllocsPerRun(1000, func() { l.Record(d) }); n != 0 {
		t.Fatalf("Record allocates %v times", n)
	}
}

// BenchmarkRecord measures Record while the ring is not full.
func BenchmarkRecord(b *testing.B) {
	l := NewDecisionLog(New(io.Discard, log.InfoLevel), All, 1<<16)
	d := Decision{Kind: Route, Request: "r", Target: "t", Reason: "lower score"}
	b.ReportAllocs()
	for b.Loop() {
		if l.count == len(l.ring) {
			l.count = 0
		}
		l.Record(d)
	}
}

// BenchmarkRecordOff measures Record with the filter Off.
func BenchmarkRecordOff(b *testing.B) {
	l := NewDecisionLog(New(io.Discard, log.InfoLevel), Off, 1)
	d := Decision{Kind: Route, Request: "r", Target: "t", Reason: "lower score"}
	b.ReportAllocs()
	for b.Loop() {
		l.Record(d)
	}
}

// BenchmarkWrite measures the write of one line.
func BenchmarkWrite(b *testing.B) {
	l := NewDecisionLog(New(io.Discard, log.InfoLevel), All, 1)
	d := Decision{Kind: Route, Request: "r", Target: "t", Reason: "lower score"}
	b.ReportAllocs()
	for b.Loop() {
		l.write(&d)
	}
}

// TestBoundedLog guards against a log with a bound that blocks Record, or that omits
// lines without reporting their number.
func TestBoundedLog(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := NewDecisionLog(New(&out, log.InfoLevel), All, 8)
	l.PerSecond = 3
	for i := range 20 { // Run has not started, so a Record that waits would block forever
		l.Record(Decision{At: clock.Millis(i), Kind: Admit, Reason: "first second"})
	}
	l.Record(Decision{At: 1500, Kind: Answer, Status: 503, Reason: "second second"})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(l.Run(ctx))
	text := out.String()
	is.Equal(strings.Count(text, "first second"), 3)
	is.Equal(strings.Count(text, "second second"), 1)
	is.True(strings.Contains(text, `"Count":17`))
	is.Equal(l.omitted, uint64(17))
}
