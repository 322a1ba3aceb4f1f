package stats

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// Counter returns a counter named name in Namespace.
func Counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help})
}

// Counters returns a counter with labels.
func Counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
}

// CounterFunc returns a counter whose value is returned by f and never decreases.
func CounterFunc(name, help string, f func() float64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, f)
}

// Gauge returns a gauge.
func Gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help})
}

// GaugeFunc returns a gauge whose value is returned by f.
func GaugeFunc(name, help string, f func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}, f)
}

// Histogram returns a histogram; buckets holds the upper bounds, in seconds.
func Histogram(name, help string, buckets []float64) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: Namespace, Name: name, Help: help, Buckets: buckets})
}

// Register registers collectors with r; a nil r leaves them unregistered.
func Register(r prometheus.Registerer, collectors ...prometheus.Collector) error {
	if r == nil {
		return nil
	}
	var failures []error
	for _, c := range collectors {
		failures = append(failures, r.Register(c))
	}
	return errors.Join(failures...)
}
