package proxy

import (
	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/route"
	"hickoryrail/io/stats"
)

// pickCounters counts the choices of a target by reason. The reasons are constants, so the
// number of counters is bounded.
type pickCounters map[string]prometheus.Counter

// newPickCounters returns the counters and their collector.
func newPickCounters() (pickCounters, prometheus.Collector) {
	picks := stats.Counters("ingress_picks_total", "Choices of a target for an attempt.", "reason")
	out := make(pickCounters)
	for _, reason := range route.Reasons() {
		out[reason] = picks.WithLabelValues(reason)
	}
	return out, picks
}

// count counts a choice.
func (p pickCounters) count(c route.Choice) {
	if counter, ok := p[c.Reason]; ok {
		counter.Inc()
	}
}
