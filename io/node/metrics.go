package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/member"
	"hickoryrail/io/stats"
)

type (
	// metrics are the node's own counters and gauges.
	metrics struct {
		version          prometheus.Gauge
		malformedControl prometheus.Counter
		refusedReleases  prometheus.Counter
		holdsLease       prometheus.Gauge
		sourceErrors     prometheus.Counter
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
		version:          stats.Gauge("release_version", "Version of the release in force; 0 means none."),
		malformedControl: stats.Counter("control_malformed_total", "Control messages that could not be encoded or decoded."),
		refusedReleases:  stats.Counter("releases_refused_total", "Releases refused because they were not whole and valid."),
		holdsLease:       stats.Gauge("lease_held", "1 while this node is the reader of its region."),
		sourceErrors:     stats.Counter("source_errors_total", "Failed calls to the platform by the reader and at start."),
	}
}

// register registers the metrics and a collector that counts the members of f.
func (m *metrics) register(r prometheus.Registerer, f *fleet) error {
	members := &memberCollector{fleet: f, description: prometheus.NewDesc(
		"hickoryrail_members", "Known nodes by state.", []string{"state"}, nil)}
	return stats.Register(r, m.version, m.malformedControl, m.refusedReleases, m.holdsLease, m.sourceErrors, members)
}

// Describe implements prometheus.Collector.
func (c *memberCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.description
}

// Collect implements prometheus.Collector. It sends the number of nodes in each state.
func (c *memberCollector) Collect(out chan<- prometheus.Metric) {
	var counts [member.Left + 1]int
	for _, r := range c.fleet.records() {
		counts[min(r.State, member.Left)]++
	}
	for state, n := range counts {
		out <- prometheus.MustNewConstMetric(c.description, prometheus.GaugeValue, float64(n), member.State(state).String())
	}
}
