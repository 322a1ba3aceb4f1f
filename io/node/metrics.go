package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/member"
)

type (
	// metrics are the node's own counters and gauges.
	metrics struct {
		version         prometheus.Gauge
		malformed       prometheus.Counter
		refusedReleases prometheus.Counter
		holdsLease      prometheus.Gauge
		sourceErrors    prometheus.Counter
	}

	// memberCollector counts the known nodes by state at each scrape.
	memberCollector struct {
		fleet       *fleet
		description *prometheus.Desc
	}
)

// newMetrics creates the metrics.
func newMetrics() *metrics {
	return &metrics{
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hickoryrail_release_version", Help: "Version of the release in force; 0 means none.",
		}),
		malformed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hickoryrail_control_malformed_total", Help: "Control messages that could not be encoded or decoded.",
		}),
		refusedReleases: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hickoryrail_releases_refused_total", Help: "Releases refused because they were not whole and valid.",
		}),
		holdsLease: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hickoryrail_lease_held", Help: "1 while this node is the reader of its region.",
		}),
		sourceErrors: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hickoryrail_source_errors_total", Help: "Failed calls to the platform by the reader and at start.",
		}),
	}
}

// register registers the metrics and the count of members.
func (m *metrics) register(r prometheus.Registerer, f *fleet) error {
	members := &memberCollector{fleet: f, description: prometheus.NewDesc(
		"hickoryrail_members", "Known nodes by state.", []string{"state"}, nil)}
	for _, c := range []prometheus.Collector{m.version, m.malformed, m.refusedReleases, m.holdsLease, m.sourceErrors, members} {
		if err := r.Register(c); err != nil {
			return err
		}
	}
	return nil
}

// Describe sends the description of the count.
func (c *memberCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.description
}

// Collect sends the count of each state.
func (c *memberCollector) Collect(out chan<- prometheus.Metric) {
	var counts [member.Left + 1]int
	for _, r := range c.fleet.records() {
		counts[min(r.State, member.Left)]++
	}
	for state, n := range counts {
		out <- prometheus.MustNewConstMetric(c.description, prometheus.GaugeValue, float64(n), member.State(state).String())
	}
}
