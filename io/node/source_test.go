package node

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
)

// safeBuffer is a buffer that is safe for concurrent use.
type safeBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// fieldsOf returns the fields of the logged decisions with a reason.
func (b *safeBuffer) fieldsOf(reason string) []map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []map[string]any
	for line := range strings.Lines(b.buf.String()) {
		var entry struct {
			Fields map[string]any `json:"fields"`
		}
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Fields["Reason"] == reason {
			out = append(out, entry.Fields)
		}
	}
	return out
}

// text returns what was written.
func (b *safeBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// gauge returns the value of a metric of the node without labels.
func gauge(t *testing.T, n *Node, name string) float64 {
	t.Helper()
	families, err := n.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0].GetGauge().GetValue()
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}

// stopNodes stops nodes.
func stopNodes(t *testing.T, nodes ...*Node) {
	t.Helper()
	for _, n := range nodes {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		if err := n.Stop(ctx); err != nil {
			t.Error(err)
		}
		cancel()
	}
}

// TestSourceOfReleaseIsShown guards against logs and metrics from which nobody can tell
// by which release of which source a node goes, and since when.
func TestSourceOfReleaseIsShown(t *testing.T) {
	is := is.New(t)
	h := newFakePlatform(t)
	h.position.Era = 4
	log := &safeBuffer{}
	h.log = log
	before := float64(time.Now().Unix())
	a, _ := h.start(t, "a")
	await(t, "the release", a.Ready)
	is.Equal(gauge(t, a, "hickoryrail_release_version"), 1.0)
	is.Equal(gauge(t, a, "hickoryrail_release_from_store"), 1.0)
	is.True(gauge(t, a, "hickoryrail_release_applied_timestamp_seconds") >= before)
	is.Equal(gauge(t, a, "hickoryrail_source_era"), 4.0)
	is.Equal(gauge(t, a, "hickoryrail_source_revision"), 1.0)
	is.True(gauge(t, a, "hickoryrail_source_answered_timestamp_seconds") >= before)

	h.mu.Lock()
	h.newestFails = true
	h.mu.Unlock()
	b, _ := h.start(t, "b")
	await(t, "the release at the second node", b.Ready)
	is.Equal(gauge(t, b, "hickoryrail_release_from_store"), 0.0)
	stopNodes(t, a, b)
	var sources []any
	for _, f := range log.fieldsOf(reasonInForce) {
		sources = append(sources, f["Source"])
	}
	is.Equal(sources, []any{sourceStore, "a"})
}

// TestRefusedReleaseIsShown guards against a release of the source that a node refuses while
// its log says that the source does not answer, and against a node that misses the next
// valid one.
func TestRefusedReleaseIsShown(t *testing.T) {
	is := is.New(t)
	h := newFakePlatform(t)
	log := &safeBuffer{}
	h.log = log
	a, _ := h.start(t, "a")
	await(t, "the release", a.Ready)
	h.change(func() { h.invalid = true })
	h.publish(t)
	await(t, "the refusal", func() bool { return strings.Contains(log.text(), "Route/r/TimeoutMillis") })
	time.Sleep(2 * refusedDelayMillis.Duration()) // the release is read again
	is.Equal(strings.Count(log.text(), "release of the source is refused"), 1)
	is.Equal(len(log.fieldsOf(reasonSourceLost)), 0)
	is.Equal(a.Version(), ident.Version(1))
	h.change(func() { h.invalid = false })
	h.publish(t)
	await(t, "the next release", func() bool { return a.Version() == 3 })
	stopNodes(t, a)
}
