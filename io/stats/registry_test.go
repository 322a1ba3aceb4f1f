package stats

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// TestHandler guards against metrics of the Go runtime, the process or a package that
// are not served.
func TestHandler(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: Namespace, Name: "calls_total"})
	r.MustRegister(c)
	c.Inc()
	w := httptest.NewRecorder()
	Handler(r).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{"go_goroutines", "process_resident_memory_bytes", "hickoryrail_calls_total 1"} {
		is.True(strings.Contains(w.Body.String(), want))
	}
}
