package proxy

import (
	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/result"
	"hickoryrail/io/stats"
)

// ingressMetrics holds the metrics of the ingress.
type ingressMetrics struct {
	verdicts [verdictCount]prometheus.Counter
	attempts prometheus.Counter
	retries  prometheus.Counter
	hedges   prometheus.Counter
	voids    prometheus.Counter
	refused  prometheus.Counter
	left     leftCounters
	// rejected holds the counter of each reason in rejectionLabels.
	rejected map[string]prometheus.Counter
	picks    pickCounters
	delay    prometheus.Histogram
}

// register creates the collectors and registers them with r.
func (m *ingressMetrics) register(r prometheus.Registerer) error {
	verdicts := stats.Counters("ingress_requests_total", "Requests of callers that were answered.", "verdict")
	for i := range verdictCount {
		m.verdicts[i] = verdicts.WithLabelValues(result.Verdict(i).String())
	}
	m.attempts = stats.Counter("ingress_attempts_total", "Attempts that were sent to a gate.")
	m.retries = stats.Counter("ingress_retries_total", "Attempts after a failed one.")
	m.hedges = stats.Counter("ingress_hedges_total", "Attempts beside a slow one.")
	m.voids = stats.Counter("ingress_voids_total", "Voids that were asked for.")
	m.refused = stats.Counter("ingress_malformed_total", "Requests that were malformed or too large.")
	m.delay = stats.Histogram("ingress_delay_seconds", "Time from a whole request to its answer.", delayBuckets)
	left, leftCollector := newLeftCounters("ingress_caller_left_total")
	m.left = left
	rejected := stats.Counters("ingress_rejected_total", "Requests that were rejected because of their access key or team.", "reason")
	m.rejected = make(map[string]prometheus.Counter, len(rejectionLabels))
	for reason, label := range rejectionLabels {
		m.rejected[reason] = rejected.WithLabelValues(label)
	}
	picks, pickCollector := newPickCounters()
	m.picks = picks
	return stats.Register(r, verdicts, m.attempts, m.retries, m.hedges, m.voids, m.refused, leftCollector, rejected, pickCollector, m.delay)
}
