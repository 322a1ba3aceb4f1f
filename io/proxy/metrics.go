package proxy

import (
	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/admit"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
	"hickoryrail/io/stats"
)

const (
	// classCount and verdictCount are the numbers of values of the labels class and
	// verdict.
	classCount   = int(model.Browse) + 1
	verdictCount = int(result.Ran) + 1
)

// delayBuckets are upper bounds in seconds, from well below to well above a target's
// usual run time of a few milliseconds.
var delayBuckets = prometheus.ExponentialBuckets(0.0005, 2, 16)

type (
	// gatewayMetrics holds the metrics of the gateway. The counters of all label
	// values are looked up once, in register.
	gatewayMetrics struct {
		started  [classCount]prometheus.Counter
		refused  [classCount]prometheus.Counter
		verdicts [verdictCount]prometheus.Counter
		voids    prometheus.Counter
		left     leftCounters
		leaving  prometheus.Counter
		link     prometheus.Counter
		run      prometheus.Histogram
	}

	// gatewayGauges holds the functions that return the values of the gateway's gauges.
	gatewayGauges struct {
		load                     func() admit.Load
		limit, pace, answerBytes func() float64
	}
)

// register creates the collectors and registers them with r.
func (m *gatewayMetrics) register(r prometheus.Registerer, g gatewayGauges) error {
	decisions := stats.Counters("gateway_decisions_total", "Decisions of the admission gate.", "decision", "class")
	for i := range classCount {
		class := model.Class(i).String()
		m.started[i] = decisions.WithLabelValues("start", class)
		m.refused[i] = decisions.WithLabelValues("refuse", class)
	}
	verdicts := stats.Counters("gateway_calls_total", "Calls that ended at the gate.", "verdict")
	for i := range verdictCount {
		m.verdicts[i] = verdicts.WithLabelValues(result.Verdict(i).String())
	}
	m.voids = stats.Counter("gateway_voids_total", "Voids that other nodes asked for.")
	left, leftCollector := newLeftCounters("gateway_caller_left_total")
	m.left = left
	m.leaving = stats.Counter("gateway_leaving_notices_total", "Targets that stated in an answer that they leave.")
	m.link = stats.Counter("gateway_link_refused_total", "Calls that were refused because the link could not send their answers in time.")
	m.run = stats.Histogram("gateway_run_seconds", "Time that a started call spent at the target.", delayBuckets)
	return stats.Register(r, decisions, verdicts, m.voids, leftCollector, m.leaving, m.link, m.run,
		stats.GaugeFunc("gateway_free_slots", "Free slots of the target.", func() float64 { return float64(g.load().Free) }),
		stats.GaugeFunc("gateway_queued_calls", "Calls that wait for a slot.", func() float64 { return float64(g.load().Queued) }),
		stats.GaugeFunc("gateway_limit_per_second", "Requests per second that the target stated as its limit; -1 without one.", g.limit),
		stats.GaugeFunc("gateway_pace", "Factor by which calls are expected to run longer than usual, as the target states it.", g.pace),
		stats.GaugeFunc("gateway_answer_bytes", "Bytes of large answers that wait to be sent or that calls at the gate are expected to cause.", g.answerBytes))
}
