package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/report"
	"hickoryrail/io/proxy"
)

// TestLeavingAnswerDrains guards against requests to a target that stated in an answer
// that it leaves, although its later reports say that it is ready, and against a target
// that gets none after a restart.
func TestLeavingAnswerDrains(t *testing.T) {
	is := is.New(t)
	var leaving atomic.Bool
	var runs atomic.Int64
	target := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		if leaving.Load() {
			w.Header().Set("Leaving", "1")
		}
	})}
	l := listen(t)
	go func() { _ = target.Serve(l) }()
	t.Cleanup(func() { _ = target.Close() })

	h := newFakePlatform(t)
	h.dialect = proxy.Dialect{Notice: func(header func(string) []byte) report.Notice {
		return report.Notice{Leaving: len(header("Leaving")) > 0}
	}}
	a, _ := h.start(t, "a")
	b, _ := h.start(t, "b")
	is.NoErr(h.controls[1].Report(targetReport("t", l.Addr().String(), 1)))
	get := func(n *Node) int { return statusOf(t, n) }
	for _, n := range []*Node{a, b} {
		await(t, "an answer of the target", func() bool { return n.Ready() && get(n) == http.StatusOK })
	}
	leaving.Store(true)
	is.Equal(get(a), http.StatusOK)
	ran := runs.Load()
	for sequence := range uint64(3) {
		is.NoErr(h.controls[1].Report(targetReport("t", l.Addr().String(), 2+sequence)))
		is.Equal(get(a), http.StatusServiceUnavailable)
		is.Equal(get(b), http.StatusServiceUnavailable)
	}
	is.Equal(runs.Load(), ran)
	await(t, "the departure at the other node", func() bool { return a.RoutableTargets() == 0 })

	leaving.Store(false)
	again := targetReport("t", l.Addr().String(), 1)
	again.StartedAt++
	is.NoErr(h.controls[1].Report(again))
	for _, n := range []*Node{a, b} {
		await(t, "an answer of the restarted target", func() bool { return get(n) == http.StatusOK })
	}
	http.DefaultClient.CloseIdleConnections()
	for _, n := range []*Node{a, b} {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		is.NoErr(n.Stop(ctx))
		cancel()
	}
}
