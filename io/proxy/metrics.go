package proxy

import (
	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/admit"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
)

const (
	// classCount and verdictCount are the sizes of the metrics' fixed labels.
	classCount   = int(model.Browse) + 1
	verdictCount = int(result.Ran) + 1
)

// delayBuckets are upper bounds in seconds, from well below to well above a
// target's usual run time of a few milliseconds.
var delayBuckets = prometheus.ExponentialBuckets(0.0005, 2, 16)

type (
	// gatewayMetrics counts what the gateway decides. The counters of fixed
	// labels are looked up once.
	gatewayMetrics struct {
		started  [classCount]prometheus.Counter
		refused  [classCount]prometheus.Counter
		verdicts [verdictCount]prometheus.Counter
		voids    prometheus.Counter
		run      prometheus.Histogram
	}
)

// open creates the collectors and registers them.
func (m *gatewayMetrics) open(r prometheus.Registerer, load func() admit.Load) error {
	decisions := counters("gateway_decisions_total", "Decisions of the admission gate.", "decision", "class")
	for i := range classCount {
		class := model.Class(i).String()
		m.started[i] = decisions.WithLabelValues("start", class)
		m.refused[i] = decisions.WithLabelValues("refuse", class)
	}
	verdicts := counters("gateway_calls_total", "Calls that ended at the gate.", "verdict")
	for i := range verdictCount {
		m.verdicts[i] = verdicts.WithLabelValues(result.Verdict(i).String())
	}
	m.voids = counter("gateway_voids_total", "Voids that other nodes asked for.")
	m.run = histogram("gateway_run_seconds", "Time that a started call spent at the target.")
	return register(r, decisions, verdicts, m.voids, m.run,
		gauge("gateway_free_slots", "Free slots of the target.", func() float64 { return float64(load().Free) }),
		gauge("gateway_queued_calls", "Calls that wait for a slot.", func() float64 { return float64(load().Queued) }))
}

// register registers the collectors; a nil r keeps them private.
func register(r prometheus.Registerer, collectors ...prometheus.Collector) error {
	if r == nil {
		return nil
	}
	for _, c := range collectors {
		if err := r.Register(c); err != nil {
			return err
		}
	}
	return nil
}

// counter returns a counter.
func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "hickoryrail", Name: name, Help: help})
}

// counters returns a labelled counter.
func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "hickoryrail", Name: name, Help: help}, labels)
}

// histogram returns a histogram of delays in seconds.
func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "hickoryrail", Name: name, Help: help, Buckets: delayBuckets,
	})
}

// gauge returns a gauge that reads f.
func gauge(name, help string, f func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "hickoryrail", Name: name, Help: help}, f)
}
